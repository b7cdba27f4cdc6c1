package burlridge.placement

import burlridge.allocation.Job
import burlridge.allocation.JobRegistry
import burlridge.core.StepContext
import burlridge.job.Resources

/** The order in which jobs that wait for machines are placed. */
internal class JobQueue(
    private val context: StepContext,
    private val registry: JobRegistry,
    private val objectives: PlacementObjectives,
    private val quotas: TeamQuotas,
    private val canStartAttempt: (gang: Job) -> Boolean,
) {
    private class Entry(
        val job: Job,
        /** It can no longer be done by its deadline. */
        val isLate: Boolean,
        /** The part of its guaranteed share that the team uses. */
        val shareUsed: Double,
        /** Its place among the jobs of its team, the lowest first. */
        val rank: Double,
        val ageSeconds: Double,
    )

    /**
     * Jobs with tasks that may be placed. The highest priority goes first; within it the team that uses the smallest part of its guaranteed
     * share; within a team the lowest [rank]. Jobs that will be late anyway yield to the others, without starving: a job that has waited
     * long without being allocated goes before all others, and the oldest late one has every fourth turn.
     */
    fun ordered(): List<Job> {
        val entries =
            registry.jobs.values
                .filter { isWaiting(it) }
                .map { entry(it) }
        if (entries.isEmpty()) return emptyList()
        val (starved, others) = entries.partition { !it.job.hasBeenAllocated && it.ageSeconds > MAX_START_SECONDS / 2 }
        val (late, timely) = others.partition { it.isLate }
        val order = ArrayList<Job>(entries.size)
        starved.sortedByDescending { it.ageSeconds }.mapTo(order) { it.job }
        val timelyInTurn =
            timely
                .sortedWith(
                    compareBy<Entry> { it.job.spec.priority }.thenBy { it.shareUsed }.thenBy { it.rank },
                ).iterator()
        val lateInTurn = late.sortedByDescending { it.ageSeconds }.iterator()
        while (timelyInTurn.hasNext() || lateInTurn.hasNext()) {
            repeat(TIMELY_JOBS_PER_LATE_JOB) { if (timelyInTurn.hasNext()) order += timelyInTurn.next().job }
            if (lateInTurn.hasNext()) order += lateInTurn.next().job
        }
        return order
    }

    private fun isWaiting(job: Job): Boolean = !job.isEnding && job.unallocatedCount > 0 && (!job.spec.gang || canStartAttempt(job))

    private fun entry(job: Job): Entry {
        val team = job.spec.team
        val shareUsed = quotas.shareUsed(team, registry.allocations.usageByTeam[team] ?: Resources.NONE)
        return Entry(job, willBeLate(job), shareUsed, rank(job), job.ageSeconds(context.wallMillis))
    }

    private fun willBeLate(job: Job): Boolean {
        val limitSeconds = job.spec.deadlineSeconds ?: objectives.finishSeconds(job.spec.jobClass) ?: return false
        return job.ageSeconds(context.wallMillis) + job.spec.estimatedRunSeconds * MIN_PART_OF_ESTIMATE > limitSeconds
    }

    /** With a deadline the earliest goes first, otherwise the least work, by which most jobs meet a common objective. */
    private fun rank(job: Job): Double {
        val spec = job.spec
        spec.deadlineSeconds?.let { return it - job.ageSeconds(context.wallMillis) }
        val remainingTasks = spec.taskCount - job.done.cardinality()
        return remainingTasks * spec.estimatedRunSeconds - job.ageSeconds(context.wallMillis)
    }

    private companion object {
        /** Estimates are often too high; a run surely takes at least this part of one. */
        const val MIN_PART_OF_ESTIMATE = 0.3

        /** By the protocol every job starts within four minutes. */
        const val MAX_START_SECONDS = 240.0
        const val TIMELY_JOBS_PER_LATE_JOB = 3
    }
}
