package burlridge.allocation

import burlridge.core.StepContext
import burlridge.store.Row

/** Rebuilds the open allocations of a new leader from the batch rows that it finds. */
internal class AllocationReconciler(
    private val context: StepContext,
    private val jobs: Map<String, Job>,
    private val index: AllocationIndex,
    private val batches: AllocationBatchSet,
) {
    /** Adds the batch in [row]; [reconcile] follows once all rows are loaded. */
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

    /** Of several attempts of one task only the latest can be open, and none of a task that is done. */
    fun reconcile() {
        for (batch in batches.all) {
            batch.allocations.forEach { releaseIfSuperseded(it) }
        }
        // Rows are loaded in no order of time: an earlier attempt on the same machine that was loaded last has displaced the later one.
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

    /** A gang attempt that was allocated in part never began; one that has lost a task is over. */
    private fun reconcileGangs() {
        for ((job, attempt) in latestGangAttempts()) {
            // No allocation of an attempt is made before all tasks of the one before it are known to be gone.
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
