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
    data object Done : TransferOutcome

    /** The term is over: by an earlier copy of the transfer, or by another member's election. */
    data class Deposed(
        val reason: StepDownReason,
    ) : TransferOutcome

    /** Nothing was changed and nothing will be; the leader leads on. */
    data class Refused(
        val reason: String,
    ) : TransferOutcome
}

/**
 * The one transaction by which a leader transfers its leadership, retried until its outcome is definite. It is conditional on the fence of
 * the term, so that of all copies at most one is executed, and none after another election.
 */
internal class LeadershipTransfer(
    private val context: StepContext,
    private val store: StoreClient,
) {
    private class Attempt(
        val fence: Long,
        val transaction: Transaction,
        val leaseSeconds: Double,
        val giveUpAt: Double,
        val onResult: (TransferOutcome) -> Unit,
    ) {
        /** Whether a copy of the transaction may have been executed, or may still be. */
        var isInDoubt = false

        val retryDelaySeconds: Double get() = leaseSeconds / RETRIES_PER_LEASE
    }

    private var current: Attempt? = null

    /** True from the moment the first copy leaves until the outcome is definite. */
    val isUnderWay: Boolean get() = current != null

    /** Sends [transaction], which is conditional on the leader's [fence]; [leaseSeconds] is the time to live of the leader's lease. */
    fun begin(
        transaction: Transaction,
        fence: Long,
        leaseSeconds: Double,
        onResult: (TransferOutcome) -> Unit,
    ) {
        val giveUpAt = context.now + leaseSeconds / GIVE_UP_FRACTION
        val attempt = Attempt(fence, transaction, leaseSeconds, giveUpAt, onResult)
        current = attempt
        send(attempt)
    }

    /** The term is over for another reason; the outcome of the copies does not matter any more. */
    fun cancel() {
        current = null
    }

    private fun end(
        attempt: Attempt,
        outcome: TransferOutcome,
    ) {
        current = null
        attempt.onResult(outcome)
    }

    /** Only in the answer to one copy is another sent or the transfer given up, so that none can leave after that. */
    private fun send(attempt: Attempt) {
        store.commit(attempt.transaction, RequestPriority.LEADERSHIP, attempt.leaseSeconds / GIVE_UP_FRACTION) { result ->
            if (current === attempt) onAnswer(attempt, result)
        }
    }

    private fun onAnswer(
        attempt: Attempt,
        result: TransactionResult,
    ) {
        when (result) {
            is TransactionResult.Committed -> {
                end(attempt, TransferOutcome.Done)
            }

            is TransactionResult.Conflict -> {
                val reason = if (TermRow.KEY in result.failed) StepDownReason.TermPassed else StepDownReason.LeaseExpired
                end(attempt, TransferOutcome.Deposed(reason))
            }

            TransactionResult.Rejected -> {
                retryOrGiveUp(attempt)
            }

            TransactionResult.Unknown -> {
                attempt.isInDoubt = true
                retryOrGiveUp(attempt)
            }

            TransactionResult.LeaseNotFound, TransactionResult.TooLarge -> {
                if (attempt.isInDoubt) readOutcome(attempt) else end(attempt, TransferOutcome.Refused(LEASE_ENDED))
            }
        }
    }

    private fun retryOrGiveUp(attempt: Attempt) {
        if (!attempt.isInDoubt && context.now >= attempt.giveUpAt) {
            return end(attempt, TransferOutcome.Refused(SERVICE_REFUSES))
        }
        context.schedule(attempt.retryDelaySeconds) { if (current === attempt) send(attempt) }
    }

    /** The successor's lease is gone, so that no copy can be executed any more; the term row says whether one was. */
    private fun readOutcome(attempt: Attempt) {
        store.get(TermRow.KEY, RequestPriority.LEADERSHIP) { read ->
            if (current !== attempt) return@get
            when {
                read is ReadResult.Found && read.value.modRevision == attempt.fence -> {
                    end(attempt, TransferOutcome.Refused(LEASE_ENDED))
                }

                read is ReadResult.Failed -> {
                    context.schedule(attempt.retryDelaySeconds) { if (current === attempt) readOutcome(attempt) }
                }

                else -> {
                    end(attempt, TransferOutcome.Deposed(StepDownReason.TermPassed))
                }
            }
        }
    }

    private companion object {
        /** What the state service refuses is given up after this part of a lease, so that the leader's own does not expire over it. */
        const val GIVE_UP_FRACTION = 4
        const val RETRIES_PER_LEASE = 16

        // Both reach the other member in a message.
        const val LEASE_ENDED = "the successor's lease has ended"
        const val SERVICE_REFUSES = "the state service refuses it"
    }
}
