package burlridge.allocation

import burlridge.core.StepContext
import burlridge.leadership.FencedStore
import burlridge.leadership.Leadership
import burlridge.store.Change
import burlridge.store.Condition
import burlridge.store.ReadResult
import burlridge.store.RequestPriority
import burlridge.store.StoreClient
import burlridge.store.TransactionResult

/** Maintains the batch rows: obsolete rows are offered for reuse and later removed, and lost allocations are marked in their rows. */
internal class AllocationBatchCleaner(
    private val context: StepContext,
    private val store: StoreClient,
    private val leadership: Leadership,
    private val jobs: Map<String, Job>,
    private val batches: AllocationBatchSet,
) {
    private val fenced = FencedStore(store, leadership)

    /** Offers newly obsolete batch rows for reuse, and removes or rewrites those that are due. */
    fun run() {
        batches.all.filter { isNewlyObsolete(it) }.forEach {
            it.obsoleteSince = context.now
            batches.reusable.addLast(it)
        }
        val unused = batches.reusable.takeWhile { isDueForRemoval(it) }.take(context.settings.storeLimits.changesPerTransaction)
        if (unused.isNotEmpty()) remove(unused)
        batches.all
            .filter { it.isStale && it.modRevision > 0 && !it.isWriting && it.obsoleteSince == null }
            .take(MAX_REWRITES_PER_RUN)
            .forEach { rewrite(it) }
    }

    private fun isNewlyObsolete(batch: AllocationBatch): Boolean =
        batch.modRevision > 0 && !batch.isWriting && batch.obsoleteSince == null && batch.allocations.all(::isObsolete)

    /** Whether [batch], whose row may be reused, has been obsolete for more than a heartbeat interval. */
    private fun isDueForRemoval(batch: AllocationBatch): Boolean =
        context.now > (batch.obsoleteSince ?: context.now) + context.settings.workers.reportSeconds

    /** Whether no leader needs [allocation] any more: its job has ended, its task is persisted as done, or a later attempt is stored. */
    private fun isObsolete(allocation: Allocation): Boolean {
        if (!allocation.hasEnded) return false
        val job = jobs[allocation.job] ?: return true
        if (job.persistedDone.get(allocation.task)) return true
        val open = job.allocations.get(allocation.task) ?: return false
        return open.attempt > allocation.attempt && open.phase != AllocationPhase.COMMITTING
    }

    private fun remove(unused: List<AllocationBatch>) {
        unused.forEach {
            it.isWriting = true
            batches.reusable.remove(it)
        }
        fenced.commit(emptyList(), unused.map { Change.Delete(it.rowKey) }, RequestPriority.CLEANUP) { result ->
            if (result is TransactionResult.Committed) {
                unused.forEach { batches.remove(it) }
            } else {
                fenced.stepDown()
            }
        }
    }

    /**
     * Marks the lost allocations of [batch] in its row, and leaves out obsolete allocations other than those of gangs. A row that was
     * written under larger limits may still be too large to be rewritten: it then stays as it is, and a new leader learns of the losses
     * from heartbeats.
     */
    private fun rewrite(batch: AllocationBatch) {
        batch.isStale = false
        val neededAllocations = batch.allocations.filter { jobs[it.job]?.spec?.gang == true || !isObsolete(it) }
        val row = AllocationBatchCodec.encode(batch, leadership.term, AllocationBatchWriter.liveUntilMillis(context), neededAllocations)
        if (!store.fitsValueLimit(row)) {
            context.debug("batch row too large to rewrite", "row" to batch.rowKey)
            return
        }
        batch.isWriting = true
        fenced.commit(
            listOf(Condition(batch.rowKey, batch.modRevision)),
            listOf(Change.Put(batch.rowKey, row)),
            RequestPriority.CLEANUP,
        ) { result -> onRewritten(batch, result) }
    }

    private fun onRewritten(
        batch: AllocationBatch,
        result: TransactionResult,
    ) {
        batch.isWriting = false
        when (result) {
            is TransactionResult.Committed -> batch.modRevision = result.revision
            is TransactionResult.Conflict -> if (fenced.isFenced(result)) fenced.stepDown() else readRevision(batch)
            else -> batch.isStale = true
        }
    }

    /** Reads the row's current revision, to rewrite the row under it: an earlier copy of the transaction may have been applied. */
    private fun readRevision(batch: AllocationBatch) {
        store.get(batch.rowKey, RequestPriority.CLEANUP) { read ->
            (read as? ReadResult.Found)?.let { batch.modRevision = it.value.modRevision }
            batch.isStale = true
        }
    }

    private companion object {
        /** Limits how much of the store's write rate is used for marking losses. */
        const val MAX_REWRITES_PER_RUN = 2
    }
}
