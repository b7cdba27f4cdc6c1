package burlridge.placement

import burlridge.allocation.Job
import burlridge.allocation.JobRegistry
import burlridge.core.StepContext
import burlridge.job.Resources

/** Determines the order in which waiting jobs are placed. */
internal class JobQueue(
    private val context: StepContext,
    private val registry: JobRegistry,
    private val objectives: PlacementObjectives,
    private val quotas: TeamQuotas,
    private val canStartAttempt: (gang: Job) -> Boolean,
) {
    private class Entry(
        val job: Job,
        /** Whether it can no longer finish by its deadline or, without one, within the finish objective of its class. */
        val isLate: Boolean,
        /** Fraction of its guaranteed share that the job's team uses. */
        val guaranteedShareUsed: Double,
        /** Order among the jobs of the same team, lowest first. */
        val rank: Double,
        val ageSeconds: Double,
    )

    /**
     * Jobs with tasks that may be placed, in the order of placement: by priority, highest first; then by the fraction of the guaranteed
     * share that the team uses, smallest first; then by [rank], lowest first. Jobs that will be late anyway come after the others, but do
     * not starve: every fourth job is the oldest late one, and jobs that have waited for half of [MAX_START_SECONDS] without any task being
     * allocated go before all others.
     */
    fun ordered(): List<Job> {
        val entries =
            registry.jobs.values
                .filter { isWaiting(it) }
                .map { entry(it) }
        if (entries.isEmpty()) return emptyList()
        val (starved, others) = entries.partition { !it.job.hasBeenAllocated && it.ageSeconds > MAX_START_SECONDS / 2 }
        val (late, onTime) = others.partition { it.isLate }
        val order = ArrayList<Job>(entries.size)
        starved.sortedByDescending { it.ageSeconds }.mapTo(order) { it.job }
        val onTimeIterator =
            onTime
                .sortedWith(
                    compareBy<Entry> { it.job.spec.priority }.thenBy { it.guaranteedShareUsed }.thenBy { it.rank },
                ).iterator()
        val lateIterator = late.sortedByDescending { it.ageSeconds }.iterator()
        while (onTimeIterator.hasNext() || lateIterator.hasNext()) {
            repeat(ON_TIME_JOBS_PER_LATE_JOB) { if (onTimeIterator.hasNext()) order += onTimeIterator.next().job }
            if (lateIterator.hasNext()) order += lateIterator.next().job
        }
        return order
    }

    private fun isWaiting(job: Job): Boolean = !job.isEnding && job.unallocatedCount > 0 && (!job.spec.gang || canStartAttempt(job))

    private fun entry(job: Job): Entry {
        val team = job.spec.team
        val guaranteedShareUsed = quotas.guaranteedShareUsed(team, registry.allocations.usageByTeam[team] ?: Resources.NONE)
        return Entry(job, willBeLate(job), guaranteedShareUsed, rank(job), job.ageSeconds(context.wallMillis))
    }

    private fun willBeLate(job: Job): Boolean {
        val limitSeconds = job.spec.deadlineSeconds ?: objectives.finishWithinSeconds(job.spec.jobClass) ?: return false
        return job.ageSeconds(context.wallMillis) + job.spec.estimatedRunSeconds * MIN_FRACTION_OF_ESTIMATE > limitSeconds
    }

    /**
     * Ranks a job with a deadline by the time left until then, and a job without one by its remaining work less its age: with the least
     * work first, the most jobs meet a common objective.
     */
    private fun rank(job: Job): Double {
        val spec = job.spec
        spec.deadlineSeconds?.let { return it - job.ageSeconds(context.wallMillis) }
        val remainingTasks = spec.taskCount - job.done.cardinality()
        return remainingTasks * spec.estimatedRunSeconds - job.ageSeconds(context.wallMillis)
    }

    private companion object {
        /** Estimates are often too high, but a run takes at least this fraction of its estimate. */
        const val MIN_FRACTION_OF_ESTIMATE = 0.3

        /** The protocol requires that every job starts within four minutes. */
        const val MAX_START_SECONDS = 240.0
        const val ON_TIME_JOBS_PER_LATE_JOB = 3
    }
}
