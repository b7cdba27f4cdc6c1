package burlridge.allocation

import burlridge.core.StepContext
import burlridge.leadership.Leadership
import burlridge.store.Change
import burlridge.store.Condition
import burlridge.store.ReadResult
import burlridge.store.RequestPriority
import burlridge.store.StoreClient
import burlridge.store.TransactionResult

/** Keeps batch rows up to date: settled ones are offered for reuse and later removed, and lost allocations are marked in their rows. */
internal class AllocationBatchCleaner(
    private val context: StepContext,
    private val store: StoreClient,
    private val leadership: Leadership,
    private val jobs: Map<String, Job>,
    private val batches: AllocationBatchSet,
) {
    private val fenced = FencedStore(store, leadership)

    /** One pass: reuses, rewrites and removes batch rows where that is due. */
    fun run() {
        batches.all.filter { isNewlySettled(it) }.forEach {
            it.settledAt = context.now
            batches.reusable.addLast(it)
        }
        val unused = batches.reusable.takeWhile { hasExpired(it) }.take(context.settings.store.changesPerTransaction)
        if (unused.isNotEmpty()) remove(unused)
        batches.all
            .filter { it.isStale && it.modRevision > 0 && !it.isWriting && it.settledAt == null }
            .take(MAX_REWRITES_PER_RUN)
            .forEach { rewrite(it) }
    }

    private fun isNewlySettled(batch: AllocationBatch): Boolean =
        batch.modRevision > 0 && !batch.isWriting && batch.settledAt == null && batch.allocations.all(::isSettled)

    /** Whether no later batch has reused the row of [batch] for a heartbeat interval. */
    private fun hasExpired(batch: AllocationBatch): Boolean =
        context.now > (batch.settledAt ?: context.now) + context.settings.workers.reportSeconds

    /** Whether no leader needs to know of [allocation] any more: its task's end is persisted, or a later attempt is. */
    private fun isSettled(allocation: Allocation): Boolean {
        if (!allocation.hasEnded) return false
        val job = jobs[allocation.job] ?: return true
        if (job.persistedDone.get(allocation.task)) return true
        val open = job.allocations.get(allocation.task) ?: return false
        return open.attempt > allocation.attempt && open.phase != AllocationPhase.COMMITTING
    }

    private fun remove(expired: List<AllocationBatch>) {
        expired.forEach {
            it.isWriting = true
            batches.reusable.remove(it)
        }
        fenced.commit(emptyList(), expired.map { Change.Delete(it.rowKey) }, RequestPriority.CLEANUP) { result ->
            if (result is TransactionResult.Committed) {
                expired.forEach { batches.remove(it) }
            } else {
                fenced.stepDown()
            }
        }
    }

    /**
     * Marks the lost allocations of [batch] in its row, and leaves out those that are settled. A row that was written under larger limits
     * may still be too large for that: then it stays as it is, and a new leader learns of the losses from heartbeats.
     */
    private fun rewrite(batch: AllocationBatch) {
        batch.isStale = false
        val unsettled = batch.allocations.filter { jobs[it.job]?.spec?.gang == true || !isSettled(it) }
        val row = AllocationBatchCodec.encode(batch, leadership.term, AllocationBatchWriter.liveUntilMillis(context), unsettled)
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

    /** An earlier copy of the transaction may have been applied: the row is written again under the revision that it now has. */
    private fun readRevision(batch: AllocationBatch) {
        store.get(batch.rowKey, RequestPriority.CLEANUP) { read ->
            (read as? ReadResult.Found)?.let { batch.modRevision = it.value.modRevision }
            batch.isStale = true
        }
    }

    private companion object {
        /** Bounds what marking losses takes of the store's write rate. */
        const val MAX_REWRITES_PER_RUN = 2
    }
}
