package burlridge.balance

import burlridge.core.StepContext
import burlridge.leadership.Leadership
import burlridge.store.Change
import burlridge.store.Condition
import burlridge.store.RequestPriority
import burlridge.store.StoreClient
import burlridge.store.Transaction
import burlridge.store.TransactionResult

/** Writes and deletes the rows of moves, fenced by the leader's term. */
internal class MoveBatchWriter(
    private val context: StepContext,
    private val store: StoreClient,
    private val leadership: Leadership,
    private val moves: MoveRegistry,
    /** Called for each batch whose row has become durable. */
    private val onDurable: (MoveBatch) -> Unit,
) {
    private var nextBatchNumber = 0L

    /** Whether the write of a row is in flight; no further moves are planned meanwhile. */
    var isWriting: Boolean = false
        private set

    /** Resets the batch numbers and the state of writes; called when a term begins or ends. */
    fun clear() {
        nextBatchNumber = 0
        isWriting = false
    }

    /** Creates a batch with a unique key, made of the term and a number. */
    fun newBatch(planned: List<Move>): MoveBatch =
        MoveBatch("${MoveBatch.PREFIX}${leadership.term}-${nextBatchNumber++}", context.wallMillis, planned)

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

            // No other leader writes this key, so a conflict means that an earlier copy of the same write was executed.
            result is TransactionResult.Committed || result is TransactionResult.Conflict -> {
                batch.isDurable = true
                onDurable(batch)
            }

            else -> {
                context.error("move row rejected", "row" to batch.key)
                moves.discard(batch)
            }
        }
    }

    /** Deletes the rows of batches for which [isNeeded] returns false. */
    fun removeUnused(isNeeded: (MoveBatch) -> Boolean) {
        val unusedBatches = moves.allBatches.filterNot(isNeeded).take(context.settings.storeLimits.changesPerTransaction)
        if (unusedBatches.isEmpty()) return
        unusedBatches.forEach { it.isBeingRemoved = true }
        val transaction = Transaction(listOf(leadership.fenceCondition()), unusedBatches.map { Change.Delete(it.key) })
        store.commitUntilKnown(transaction, RequestPriority.CLEANUP, leadership.whileLeading(leadership.term)) { result ->
            if (result is TransactionResult.Committed) unusedBatches.forEach(moves::removeBatch) else leadership.stepDownOnSupersededTerm()
        }
    }
}
