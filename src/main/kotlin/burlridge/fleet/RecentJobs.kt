package burlridge.fleet

import burlridge.allocation.Job
import burlridge.allocation.JobRegistry
import burlridge.core.StepContext

/** The most recent jobs of each job class, from which future ones are predicted. */
internal class RecentJobs(
    private val context: StepContext,
    private val registry: JobRegistry,
) {
    private val byClass = HashMap<String, ArrayDeque<Job>>()
    private val observedIds = HashSet<String>()

    /** Records the jobs that are new since the last call. */
    fun observe() {
        registry.jobs.values.forEach { if (!it.isEnding && observedIds.add(it.spec.id)) addToClass(it) }
        // Ids of ended jobs are not needed: an ended job does not appear again.
        if (observedIds.size > MAX_OBSERVED_IDS && observedIds.size > registry.jobs.size * 2) observedIds.retainAll(registry.jobs.keys)
    }

    private fun addToClass(job: Job) {
        val jobs = byClass.getOrPut(job.spec.jobClass) { ArrayDeque() }
        jobs.addLast(job)
        if (jobs.size > MAX_JOBS_PER_CLASS) jobs.removeFirst()
    }

    /** The most recent jobs of [jobClass], the newest last; null if there have been none. */
    fun ofClass(jobClass: String?): List<Job>? = byClass[jobClass]

    /** Machine types that are the only choice for the newest job of some class; jobs that can use another type avoid them. */
    fun indispensableTypes(catalog: Catalog): Set<String> =
        byClass.values.mapNotNullTo(HashSet()) { jobs ->
            catalog
                .eligibleTypes(jobs.last().spec)
                .singleOrNull()
                ?.name
        }

    /** Whether no job of the class of [jobs] has arrived for many times the usual gap, so that capacity kept for it would be wasted. */
    fun hasStoppedArriving(jobs: List<Job>): Boolean {
        if (jobs.size < MAX_JOBS_PER_CLASS) return false
        val submittedMillis = jobs.map { it.submittedMillis }
        val meanGapMillis = (submittedMillis.max() - submittedMillis.min()).toDouble() / (jobs.size - 1)
        val minQuietMillis = context.settings.workers.leaseSeconds * MILLIS_PER_SECOND
        return context.wallMillis - submittedMillis.max() > maxOf(meanGapMillis * MAX_GAP_FACTOR, minQuietMillis)
    }

    private companion object {
        const val MAX_JOBS_PER_CLASS = 10
        const val MAX_OBSERVED_IDS = 1000

        /** Jobs of a class have stopped arriving after this many times the mean gap between them. */
        const val MAX_GAP_FACTOR = 8
        const val MILLIS_PER_SECOND = 1000
    }
}
