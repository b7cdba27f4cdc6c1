package burlridge.fleet

import burlridge.allocation.Job
import burlridge.allocation.JobRegistry
import burlridge.core.StepContext

/** The last jobs of each job class, from which coming ones are predicted. */
internal class RecentJobs(
    private val context: StepContext,
    private val registry: JobRegistry,
) {
    private val byClass = HashMap<String, ArrayDeque<Job>>()
    private val observedIds = HashSet<String>()

    /** Takes note of the jobs that are new. */
    fun observe() {
        registry.jobs.values.forEach { if (!it.isEnding && observedIds.add(it.spec.id)) remember(it) }
        // A job that is over does not come again.
        if (observedIds.size > MAX_OBSERVED && observedIds.size > registry.jobs.size * 2) observedIds.retainAll(registry.jobs.keys)
    }

    private fun remember(job: Job) {
        val jobs = byClass.getOrPut(job.spec.jobClass) { ArrayDeque() }
        jobs.addLast(job)
        if (jobs.size > MAX_JOBS_PER_CLASS) jobs.removeFirst()
    }

    /** The last jobs of [jobClass], the newest last; null if there was none. */
    fun of(jobClass: String?): List<Job>? = byClass[jobClass]

    /** Types that the newest job of some class cannot do without: other jobs leave them alone if they have a choice. */
    fun indispensableTypes(catalog: Catalog): Set<String> =
        byClass.values.mapNotNullTo(HashSet()) { jobs ->
            catalog
                .allowed(jobs.last().spec)
                .singleOrNull()
                ?.name
        }

    /** Whether none of [jobs]' class has come for many times as long as usual, so that capacity kept for it would be wasted. */
    fun hasStoppedArriving(jobs: List<Job>): Boolean {
        if (jobs.size < MAX_JOBS_PER_CLASS) return false
        val submittedMillis = jobs.map { it.submittedMillis }
        val meanGapMillis = (submittedMillis.max() - submittedMillis.min()).toDouble() / (jobs.size - 1)
        val minQuietMillis = context.settings.workers.leaseSeconds * MILLIS_PER_SECOND
        return context.wallMillis - submittedMillis.max() > maxOf(meanGapMillis * MAX_GAP_FACTOR, minQuietMillis)
    }

    private companion object {
        const val MAX_JOBS_PER_CLASS = 10
        const val MAX_OBSERVED = 1000

        /** A class has stopped arriving after so many times its mean gap between jobs. */
        const val MAX_GAP_FACTOR = 8
        const val MILLIS_PER_SECOND = 1000
    }
}
