package burlridge.store

import burlridge.core.StepContext

/** Repeats [transaction] until its outcome is known; see [StoreClient.commitUntilKnown]. */
internal class CommitRetry(
    private val context: StepContext,
    private val store: StoreClient,
    private val transaction: Transaction,
    private val priority: RequestPriority,
    private val isWanted: () -> Boolean,
    private val onDoubt: (Boolean) -> Unit,
    private val onResult: (TransactionResult) -> Unit,
) {
    /** Whether the outcome of any copy sent so far is unknown. */
    private var hasUnknownCopy = false

    /** Sends the transaction, and again until its outcome is known. */
    fun run() {
        store.commit(transaction, priority, NO_MAX_WAIT_SECONDS, { onDoubt(true) }, ::onOutcome)
    }

    private fun onOutcome(result: TransactionResult) {
        if (!isWanted()) return
        if (result !is TransactionResult.Rejected && result !is TransactionResult.Unknown) return onResult(result)
        hasUnknownCopy = hasUnknownCopy || result is TransactionResult.Unknown
        onDoubt(hasUnknownCopy)
        context.schedule(RETRY_SECONDS) { if (isWanted()) run() }
    }

    private companion object {
        const val RETRY_SECONDS = 0.25

        /** So long that the transaction is never dropped from the queue. */
        const val NO_MAX_WAIT_SECONDS = 1e9
    }
}
