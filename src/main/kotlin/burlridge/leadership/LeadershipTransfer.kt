package burlridge.leadership

import burlridge.core.StepContext
import burlridge.store.ReadResult
import burlridge.store.RequestPriority
import burlridge.store.StoreClient
import burlridge.store.Transaction
import burlridge.store.TransactionResult

/** How a transfer of leadership ended. */
internal sealed interface TransferOutcome {
    /** The leader row and the term row name the successor. */
    data object Completed : TransferOutcome

    /** This member's term has ended: by an earlier copy of the transfer, another member's election or the expiry of its lease. */
    data class Deposed(
        val reason: StepDownReason,
    ) : TransferOutcome

    /** Nothing was changed and nothing will be; this member continues to lead. */
    data class Aborted(
        val reason: String,
    ) : TransferOutcome
}

/**
 * Sends the transaction by which a leader transfers its leadership, and retries it until its outcome is definite. The transaction is
 * conditional on the fencing token of the term, so that at most one of all copies is executed, and none after another election.
 */
internal class LeadershipTransfer(
    private val context: StepContext,
    private val store: StoreClient,
) {
    private class Attempt(
        val fencingToken: Long,
        val transaction: Transaction,
        val leaseTtlSeconds: Double,
        val giveUpAt: Double,
        val onResult: (TransferOutcome) -> Unit,
    ) {
        /** Whether a copy of the transaction may have been executed, or may still be. */
        var mayHaveCommitted = false

        val retryDelaySeconds: Double get() = leaseTtlSeconds / RETRIES_PER_LEASE
    }

    private var current: Attempt? = null

    /** Whether a transfer is in progress: from the sending of the first copy until the outcome is definite. */
    val isInProgress: Boolean get() = current != null

    /** Sends [transaction], conditional on the leader's [fencingToken]; [leaseTtlSeconds] is the time to live of the leader's lease. */
    fun begin(
        transaction: Transaction,
        fencingToken: Long,
        leaseTtlSeconds: Double,
        onResult: (TransferOutcome) -> Unit,
    ) {
        val giveUpAt = context.now + leaseTtlSeconds / GIVE_UP_DIVISOR
        val attempt = Attempt(fencingToken, transaction, leaseTtlSeconds, giveUpAt, onResult)
        current = attempt
        send(attempt)
    }

    /** Stops the transfer because the term has ended for another reason; the outcome of the copies no longer matters. */
    fun cancel() {
        current = null
    }

    private fun finish(
        attempt: Attempt,
        outcome: TransferOutcome,
    ) {
        current = null
        attempt.onResult(outcome)
    }

    /** Sends one copy. Another is sent, or the transfer given up, only after its outcome, so that no copy is sent after giving up. */
    private fun send(attempt: Attempt) {
        store.commit(attempt.transaction, RequestPriority.LEADERSHIP, attempt.leaseTtlSeconds / GIVE_UP_DIVISOR) { result ->
            if (current === attempt) onAnswer(attempt, result)
        }
    }

    private fun onAnswer(
        attempt: Attempt,
        result: TransactionResult,
    ) {
        when (result) {
            is TransactionResult.Committed -> {
                finish(attempt, TransferOutcome.Completed)
            }

            is TransactionResult.Conflict -> {
                val reason = if (TermRow.KEY in result.failed) StepDownReason.TermSuperseded else StepDownReason.LeaseExpired
                finish(attempt, TransferOutcome.Deposed(reason))
            }

            TransactionResult.Rejected -> {
                retryOrGiveUp(attempt)
            }

            TransactionResult.Unknown -> {
                attempt.mayHaveCommitted = true
                retryOrGiveUp(attempt)
            }

            TransactionResult.LeaseNotFound, TransactionResult.TooLarge -> {
                if (attempt.mayHaveCommitted) readOutcome(attempt) else finish(attempt, TransferOutcome.Aborted(SUCCESSOR_LEASE_EXPIRED))
            }
        }
    }

    private fun retryOrGiveUp(attempt: Attempt) {
        if (!attempt.mayHaveCommitted && context.now >= attempt.giveUpAt) {
            return finish(attempt, TransferOutcome.Aborted(STORE_REFUSED))
        }
        context.schedule(attempt.retryDelaySeconds) { if (current === attempt) send(attempt) }
    }

    /** Reads from the term row whether a copy was executed. None can be any more, since the successor's lease no longer exists. */
    private fun readOutcome(attempt: Attempt) {
        store.get(TermRow.KEY, RequestPriority.LEADERSHIP) { read ->
            if (current !== attempt) return@get
            when {
                read is ReadResult.Found && read.value.modRevision == attempt.fencingToken -> {
                    finish(attempt, TransferOutcome.Aborted(SUCCESSOR_LEASE_EXPIRED))
                }

                read is ReadResult.Failed -> {
                    context.schedule(attempt.retryDelaySeconds) { if (current === attempt) readOutcome(attempt) }
                }

                else -> {
                    finish(attempt, TransferOutcome.Deposed(StepDownReason.TermSuperseded))
                }
            }
        }
    }

    private companion object {
        /** A refused transfer is given up after the time to live divided by this, so that the leader's lease does not expire meanwhile. */
        const val GIVE_UP_DIVISOR = 4
        const val RETRIES_PER_LEASE = 16

        // Both texts are sent to the successor in a message.
        const val SUCCESSOR_LEASE_EXPIRED = "the successor's lease has ended"
        const val STORE_REFUSED = "the state service refuses it"
    }
}
