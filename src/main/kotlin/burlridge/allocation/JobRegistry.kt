package burlridge.allocation

import burlridge.core.BoundedMap
import burlridge.core.StepContext
import burlridge.job.InvalidJobException
import burlridge.leadership.Leadership
import burlridge.store.Condition
import burlridge.store.Row
import burlridge.store.StoreClient

/** The leader's jobs, with their progress and allocations. Every write is conditional on the leader's fencing token. */
internal class JobRegistry(
    private val context: StepContext,
    store: StoreClient,
    private val leadership: Leadership,
) {
    /** Active jobs by id, in the order in which they were admitted. */
    val jobs: Map<String, Job> get() = activeJobs
    private val activeJobs = LinkedHashMap<String, Job>()
    val allocations: AllocationTable = AllocationTable(context, store, leadership, activeJobs)
    private val progress = ProgressWriter(context, store, leadership)
    private val finisher = JobFinisher(context, store, leadership, ::onFinished)

    /** Rows of ended jobs, the least recently used dropped first. Only stored rows are added, since a stored end never changes. */
    private val finishedJobs = BoundedMap<String, FinishedJobRow>(MAX_FINISHED_JOBS)
    private var lastCleanUpAt = 0.0

    /** The row of [job] if it is known to have ended, otherwise null. */
    fun finishedJob(job: String): FinishedJobRow? = finishedJobs[job]

    /** Records that [job] has ended; [row] must be stored already. */
    fun recordFinished(
        job: String,
        row: FinishedJobRow,
    ) {
        finishedJobs[job] = row
    }

    /** Clears the state that only a leader may hold; ended jobs are kept. */
    fun clear() {
        activeJobs.clear()
        allocations.clear()
        progress.clear()
    }

    /** The condition that fences every write of this leader's term. */
    fun fenceCondition(): Condition = leadership.fenceCondition()

    /** Reconciles the loaded allocations and ends the jobs that are complete; called once all rows are loaded. */
    fun reconcileLoaded() {
        allocations.reconcileLoaded()
        jobs.values.toList().forEach { if (it.isComplete) finish(it, JobState.DONE) }
    }

    /** Adds the active job stored in [row], unless it is there already; null if the job has ended or the row cannot be read. */
    fun admit(row: Row): Job? {
        val id = ActiveJobRow.jobOf(row.key)
        jobs[id]?.let { return it }
        if (finishedJob(id) != null) return null
        val active =
            try {
                JobRowCodec.decodeActive(row)
            } catch (e: InvalidJobException) {
                context.error("job row unreadable", "row" to row.key, "reason" to e.message)
                return null
            }
        val spec = active.spec
        context.debug(
            "job admitted",
            "job" to id,
            "class" to spec.jobClass,
            "tasks" to spec.taskCount,
            "cpus" to spec.taskResources.cpus,
            "estimate_seconds" to spec.estimatedRunSeconds,
            "deadline_seconds" to spec.deadlineSeconds,
        )
        return Job(spec, row.modRevision, active.submittedMillis).also { activeJobs[id] = it }
    }

    /** Loads a progress row that a new leader has read. */
    fun loadProgress(row: Row) = progress.load(row, jobs[ProgressCodec.jobOf(row)])

    /** Marks [task] of [job] as done; the job ends with its last task. */
    fun markDone(
        job: Job,
        task: Int,
    ) {
        if (!job.done.get(task)) {
            if (job.done.cardinality() == job.persistedDone.cardinality()) job.unpersistedSince = context.now
            // The tasks of a gang complete together: if one is done, all are.
            val (first, end) = if (job.spec.gang) 0 to job.spec.taskCount else task to task + 1
            job.done.set(first, end)
            job.doneOrAllocated.set(first, end)
        }
        if (job.isComplete) finish(job, JobState.DONE)
    }

    /** Ends [job] with [jobState], unless this leader is writing or has written a final state already. */
    fun finish(
        job: Job,
        jobState: JobState,
    ) = finisher.finish(job, jobState)

    private fun onFinished(
        job: Job,
        row: FinishedJobRow,
    ) {
        val id = job.spec.id
        job.finalState = row.jobState
        finishedJobs[id] = row
        activeJobs.remove(id)
        progress.addOrphanedRows(job)
        // Allocations whose start command has not been sent must not be started any more.
        job.allocations.values
            .filter { it.phase == AllocationPhase.COMMITTED }
            .forEach { allocations.release(it, isLost = true) }
        val ageSeconds = job.ageSeconds(context.wallMillis).toLong()
        context.info("job ended", "job" to id, "state" to row.jobState.wireName, "age_seconds" to ageSeconds)
        job.notifyEnd(row.jobState)
    }

    /** Persists progress and cleans up rows, at most once a second. */
    fun tick() {
        if (context.now - lastCleanUpAt < CLEAN_UP_INTERVAL_SECONDS) return
        lastCleanUpAt = context.now
        jobs.values.forEach { progress.persistIfDue(it) }
        progress.removeOrphanedRows()
        allocations.cleanUp()
    }

    private companion object {
        const val MAX_FINISHED_JOBS = 20_000
        const val CLEAN_UP_INTERVAL_SECONDS = 1.0
    }
}
