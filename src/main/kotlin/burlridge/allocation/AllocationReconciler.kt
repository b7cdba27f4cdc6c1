package burlridge.allocation

import burlridge.core.StepContext
import burlridge.store.Row

/** Rebuilds the open allocations of a new leader from the stored batch rows. */
internal class AllocationReconciler(
    private val context: StepContext,
    private val jobs: Map<String, Job>,
    private val index: AllocationIndex,
    private val batches: AllocationBatchSet,
) {
    /** Loads the batch in [row]; [reconcile] must be called once all rows are loaded. */
    fun load(row: Row) {
        val batch = AllocationBatchCodec.decode(row)
        batch.allocations.forEach { it.allocatedAt = context.now }
        batch.modRevision = row.modRevision
        batches.put(batch)
        batch.allocations.forEach { allocation ->
            allocation.batch = batch
            allocation.isPersisted = true
            if (allocation.isLost) {
                allocation.phase = AllocationPhase.ENDED
                jobs[allocation.job]?.recordAttempt(allocation)
            } else {
                index.add(allocation)
            }
        }
    }

    /** Releases outdated attempts: only the latest attempt of a task can be open, and none if the task is done. */
    fun reconcile() {
        for (batch in batches.all) {
            batch.allocations.forEach { releaseIfSuperseded(it) }
        }
        // Rows are not loaded in chronological order: an earlier attempt that was loaded last has replaced the later one in the index.
        for (batch in batches.all) {
            batch.allocations.filter { !it.hasEnded }.forEach { index.restore(it) }
        }
        reconcileGangs()
    }

    private fun releaseIfSuperseded(allocation: Allocation) {
        if (allocation.hasEnded) return
        val job = jobs[allocation.job] ?: return
        when {
            allocation.attempt < job.lastAttemptByTask.get(allocation.task) -> index.release(allocation, isLost = true)
            job.persistedDone.get(allocation.task) -> index.release(allocation, isLost = false)
        }
    }

    /** Releases partially allocated gang attempts, which never began, and aborts those that have lost a task. */
    private fun reconcileGangs() {
        for ((job, attempt) in latestGangAttempts()) {
            // An attempt is allocated only after all tasks of the previous attempt are known to have ended.
            job.allocations.values
                .filter { it.attempt < job.highestAttempt }
                .forEach { index.release(it, isLost = true) }
            if (GangRules.isPartiallyAllocated(job, attempt)) {
                index.releaseAll(job, attempt.filter { !it.hasEnded })
            } else if (attempt.any { it.hasEnded }) {
                index.abortAttempt(job)
            }
        }
    }

    private fun latestGangAttempts(): Map<Job, List<Allocation>> {
        val attempts = HashMap<Job, ArrayList<Allocation>>()
        for (batch in batches.all) {
            for (allocation in batch.allocations) {
                val job = jobs[allocation.job]?.takeIf { it.spec.gang && allocation.attempt == it.highestAttempt } ?: continue
                attempts.getOrPut(job) { ArrayList() } += allocation
            }
        }
        return attempts
    }
}
