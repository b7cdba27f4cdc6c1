package burlridge.store

import burlridge.core.StepContext

/** Repeats [transaction] until its outcome is known; see [StoreClient.commitUntilKnown]. */
internal class CommitRetry(
    private val context: StepContext,
    private val store: StoreClient,
    private val transaction: Transaction,
    private val priority: RequestPriority,
    private val isWanted: () -> Boolean,
    private val onUncertaintyChanged: (Boolean) -> Unit,
    private val onResult: (TransactionResult) -> Unit,
) {
    /** Whether the outcome of any attempt so far is unknown. */
    private var hasUnknownAttempt = false

    /** Sends the transaction, and retries it until its outcome is known. */
    fun run() {
        store.commit(transaction, priority, UNLIMITED_WAIT_SECONDS, { onUncertaintyChanged(true) }, ::onOutcome)
    }

    private fun onOutcome(result: TransactionResult) {
        if (!isWanted()) return
        if (result !is TransactionResult.Rejected && result !is TransactionResult.Unknown) return onResult(result)
        hasUnknownAttempt = hasUnknownAttempt || result is TransactionResult.Unknown
        onUncertaintyChanged(hasUnknownAttempt)
        context.schedule(RETRY_DELAY_SECONDS) { if (isWanted()) run() }
    }

    private companion object {
        const val RETRY_DELAY_SECONDS = 0.25

        /** Long enough that the transaction is never dropped from the queue. */
        const val UNLIMITED_WAIT_SECONDS = 1e9
    }
}
