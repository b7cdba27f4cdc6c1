package burlridge.balance

import burlridge.core.StepContext
import burlridge.leadership.FencedStore
import burlridge.leadership.Leadership
import burlridge.store.Change
import burlridge.store.Condition
import burlridge.store.RequestPriority
import burlridge.store.StoreClient
import burlridge.store.TransactionResult

/** Writes and deletes the rows of moves, fenced by the leader's term. */
internal class MoveBatchWriter(
    private val context: StepContext,
    store: StoreClient,
    private val leadership: Leadership,
    private val moves: MoveRegistry,
    /** Called for each batch whose row has become durable. */
    private val onDurable: (MoveBatch) -> Unit,
) {
    private val fenced = FencedStore(store, leadership)
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
        fenced.commit(listOf(Condition(batch.key, 0)), listOf(Change.Put(batch.key, batch.encode())), RequestPriority.CLAIM) {
            onWritten(batch, it)
        }
    }

    private fun onWritten(
        batch: MoveBatch,
        result: TransactionResult,
    ) {
        isWriting = false
        when {
            result is TransactionResult.Conflict && fenced.isFenced(result) -> {
                fenced.stepDown()
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
        fenced.commit(emptyList(), unusedBatches.map { Change.Delete(it.key) }, RequestPriority.CLEANUP) { result ->
            if (result is TransactionResult.Committed) unusedBatches.forEach(moves::removeBatch) else fenced.stepDown()
        }
    }
}
