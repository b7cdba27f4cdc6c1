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

    /** The term is over: by an earlier copy of the transfer, or by somebody else's election. */
    data class Deposed(
        val reason: String,
    ) : TransferOutcome

    /** Nothing was changed and nothing will be; the leader leads on. */
    data class Refused(
        val reason: String,
    ) : TransferOutcome
}

/**
 * The one transaction by which a leader gives its term away, repeated until its outcome is definite. It is conditional on the fence of the
 * term, so that of all copies one at most is carried out, and none after another election.
 */
internal class LeadershipTransfer(
    private val context: StepContext,
    private val store: StoreClient,
    private val leadership: Leadership,
) {
    private class Attempt(
        val term: Long,
        val fence: Long,
        val transaction: Transaction,
        val leaseSeconds: Double,
        val giveUpAt: Double,
        val onResult: (TransferOutcome) -> Unit,
    ) {
        /** A copy of the transaction may have been carried out, or may still be. */
        var inDoubt = false
    }

    private var current: Attempt? = null

    /** From the moment the first copy leaves until the outcome is definite. */
    val isUnderWay: Boolean get() = current != null

    fun begin(
        transaction: Transaction,
        leaseSeconds: Double,
        onResult: (TransferOutcome) -> Unit,
    ) {
        val attempt =
            Attempt(leadership.term, leadership.fence, transaction, leaseSeconds, context.now + leaseSeconds / GIVE_UP_PART, onResult)
        current = attempt
        send(attempt)
    }

    /** The term is over for another reason; whatever comes of the copies is of no interest any more. */
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
        store.commit(attempt.transaction, RequestPriority.LEADERSHIP, attempt.leaseSeconds / GIVE_UP_PART) { result ->
            if (current !== attempt) return@commit
            when (result) {
                is TransactionResult.Committed -> {
                    end(attempt, TransferOutcome.Done)
                }

                is TransactionResult.Conflict -> {
                    val passed = Leadership.TERM in result.failed
                    val reason = if (passed) Leadership.TERM_PASSED else "the lease of the leader row has ended"
                    end(attempt, TransferOutcome.Deposed(reason))
                }

                TransactionResult.Rejected, TransactionResult.Unknown -> {
                    attempt.inDoubt = attempt.inDoubt || result == TransactionResult.Unknown
                    repeatOrGiveUp(attempt)
                }

                TransactionResult.LeaseNotFound, TransactionResult.TooLarge -> {
                    if (attempt.inDoubt) readOutcome(attempt) else end(attempt, TransferOutcome.Refused(LEASE_ENDED))
                }
            }
        }
    }

    private fun repeatOrGiveUp(attempt: Attempt) {
        if (!attempt.inDoubt && context.now >= attempt.giveUpAt) {
            return end(attempt, TransferOutcome.Refused("the state service refuses it"))
        }
        context.schedule(attempt.leaseSeconds / RETRIES_PER_LEASE) { if (current === attempt) send(attempt) }
    }

    /** The successor's lease is gone, so that no copy can be carried out any more; the term's row says whether one was. */
    private fun readOutcome(attempt: Attempt) {
        store.get(Leadership.TERM, RequestPriority.LEADERSHIP) { read ->
            if (current !== attempt) return@get
            when {
                read is ReadResult.Found && read.value.modRevision == attempt.fence -> {
                    end(attempt, TransferOutcome.Refused(LEASE_ENDED))
                }

                read is ReadResult.Failed -> {
                    context.schedule(attempt.leaseSeconds / RETRIES_PER_LEASE) {
                        if (current ===
                            attempt
                        ) {
                            readOutcome(attempt)
                        }
                    }
                }

                else -> {
                    end(attempt, TransferOutcome.Deposed(Leadership.TERM_PASSED))
                }
            }
        }
    }

    private companion object {
        /** What the state service refuses is given up after this part of a lease, so that the leader's own does not run out over it. */
        const val GIVE_UP_PART = 4
        const val RETRIES_PER_LEASE = 16
        const val LEASE_ENDED = "the successor's lease has ended"
    }
}
