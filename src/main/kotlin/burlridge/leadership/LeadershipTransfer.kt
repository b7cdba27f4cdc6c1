package burlridge.leadership

import burlridge.core.StepContext
import burlridge.store.ReadResult
import burlridge.store.RequestPriority
import burlridge.store.StoreClient
import burlridge.store.Transaction
import burlridge.store.TransactionResult

/** How a transfer of leadership ended. */
internal sealed interface TransferOutcome {
    /** The rows name the successor. */
    data object Completed : TransferOutcome

    /** The term is over: by an earlier copy of the transfer, or by another member's election. */
    data class Deposed(
        val reason: StepDownReason,
    ) : TransferOutcome

    /** Nothing was changed and nothing will be; the leader leads on. */
    data class Aborted(
        val reason: String,
    ) : TransferOutcome
}

/**
 * The one transaction by which a leader transfers its leadership, retried until its outcome is definite. It is conditional on the fencingToken of
 * the term, so that of all copies at most one is executed, and none after another election.
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

    /** True from the moment the first copy leaves until the outcome is definite. */
    val isInProgress: Boolean get() = current != null

    /** Sends [transaction], which is conditional on the leader's [fencingToken]; [leaseTtlSeconds] is the time to live of the leader's lease. */
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

    /** The term is over for another reason; the outcome of the copies does not matter any more. */
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

    /** Only in the answer to one copy is another sent or the transfer given up, so that none can leave after that. */
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

    /** The successor's lease is gone, so that no copy can be executed any more; the term row says whether one was. */
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
        /** What the state service refuses is given up after this part of a lease, so that the leader's own does not expire over it. */
        const val GIVE_UP_DIVISOR = 4
        const val RETRIES_PER_LEASE = 16

        // Both reach the other member in a message.
        const val SUCCESSOR_LEASE_EXPIRED = "the successor's lease has ended"
        const val STORE_REFUSED = "the state service refuses it"
    }
}
