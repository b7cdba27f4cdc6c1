package burlridge.balance

import burlridge.core.StepContext
import burlridge.leadership.Leadership
import burlridge.store.Change
import burlridge.store.Condition
import burlridge.store.RequestPriority
import burlridge.store.StoreClient
import burlridge.store.Transaction
import burlridge.store.TransactionResult

/** Writes and removes the rows of moves under the leader's fence. */
internal class MoveBatchWriter(
    private val context: StepContext,
    private val store: StoreClient,
    private val leadership: Leadership,
    private val moves: MoveRegistry,
    /** Told of each batch whose row is durable. */
    private val onDurable: (MoveBatch) -> Unit,
) {
    private var nextBatch = 0L

    /** Whether the outcome of a row is open; no more is planned meanwhile. */
    var isWriting: Boolean = false
        private set

    /** Forgets this term's numbering and open writes. */
    fun clear() {
        nextBatch = 0
        isWriting = false
    }

    /** A batch under a key that no other batch ever has. */
    fun newBatch(planned: List<Move>): MoveBatch =
        MoveBatch("${MoveBatch.PREFIX}${leadership.term}-${nextBatch++}", context.wallMillis, planned)

    /** Writes the row of [batch]. */
    fun write(batch: MoveBatch) {
        isWriting = true
        val transaction =
            Transaction(
                listOf(leadership.fenceCondition(), Condition(batch.key, 0)),
                listOf(Change.Put(batch.key, batch.encode())),
            )
        store.commitUntilKnown(transaction, RequestPriority.CLAIM, leadership.whileLeading(leadership.term)) { onWritten(batch, it) }
    }

    private fun onWritten(
        batch: MoveBatch,
        result: TransactionResult,
    ) {
        isWriting = false
        when {
            result is TransactionResult.Conflict && Leadership.TERM_ROW_KEY in result.failed -> {
                leadership.stepDownOnSupersededTerm()
            }

            // No other leader writes this key: on a conflict an earlier copy of this same write was executed.
            result is TransactionResult.Committed || result is TransactionResult.Conflict -> {
                batch.durable = true
                onDurable(batch)
            }

            else -> {
                context.error("move row rejected", "row" to batch.key)
                moves.discard(batch)
            }
        }
    }

    /** Removes the rows of batches that nobody needs any more. */
    fun removeUnused(isNeeded: (MoveBatch) -> Boolean) {
        val unused = moves.allBatches.filterNot(isNeeded).take(context.settings.storeLimits.changesPerTransaction)
        if (unused.isEmpty()) return
        unused.forEach { it.removing = true }
        val transaction = Transaction(listOf(leadership.fenceCondition()), unused.map { Change.Delete(it.key) })
        store.commitUntilKnown(transaction, RequestPriority.CLEANUP, leadership.whileLeading(leadership.term)) { result ->
            if (result is TransactionResult.Committed) unused.forEach(moves::forget) else leadership.stepDownOnSupersededTerm()
        }
    }
}
