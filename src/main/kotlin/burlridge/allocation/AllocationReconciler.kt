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
            if (allocation.isLost) allocation.phase = AllocationPhase.ENDED
            jobs[allocation.job]?.recordAttempt(allocation)
        }
    }

    /** Adds the attempts that may still run to the index: of each task the latest one, unless it was lost or its task is done. */
    fun reconcile() {
        val allocations = batches.all.flatMap { it.allocations }
        // Determined from the rows alone, since a job that has ended, or cannot be read, is not among the jobs.
        val latestAttempts = allocations.groupingBy { it.taskName }.fold(0) { latest, allocation -> maxOf(latest, allocation.attempt) }
        for (allocation in allocations.filter { !it.hasEnded }) {
            val isSuperseded = allocation.attempt < latestAttempts.getValue(allocation.taskName)
            if (isSuperseded) allocation.end(isLost = true) else index.add(allocation)
        }
        releaseDone()
        reconcileGangs()
    }

    private fun releaseDone() {
        for (job in jobs.values) {
            job.allocations.values
                .filter { job.persistedDone.get(it.task) }
                .forEach { index.release(it, isLost = false) }
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
        val attempts = LinkedHashMap<Job, ArrayList<Allocation>>()
        for (batch in batches.all) {
            for (allocation in batch.allocations) {
                val job = jobs[allocation.job]?.takeIf { it.spec.gang && allocation.attempt == it.highestAttempt } ?: continue
                attempts.getOrPut(job) { ArrayList() } += allocation
            }
        }
        return attempts
    }
}
