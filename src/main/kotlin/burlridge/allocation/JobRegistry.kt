package burlridge.allocation

import burlridge.core.BoundedMap
import burlridge.core.StepContext
import burlridge.job.InvalidJobException
import burlridge.leadership.Leadership
import burlridge.store.Condition
import burlridge.store.Row
import burlridge.store.StoreClient

/** The jobs that a leader knows, with their progress and allocations. Every change is written under the leader's fencing token. */
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

    /** The latest jobs known to have ended. An end never changes, so only those that are stored get in here. */
    private val finishedJobs = BoundedMap<String, FinishedJobRow>(MAX_FINISHED_JOBS)
    private var lastCleanUpAt = 0.0

    /** How [job] has ended; null where it has not, or that is not known. */
    fun endOf(job: String): FinishedJobRow? = finishedJobs[job]

    /** Remembers that [job] has ended; [row] is stored. */
    fun recordEnd(
        job: String,
        row: FinishedJobRow,
    ) {
        finishedJobs[job] = row
    }

    /** Forgets all that only a leader may know. Ended jobs are remembered. */
    fun clear() {
        activeJobs.clear()
        allocations.clear()
        progress.clear()
    }

    /** The condition that fences every write of this leader's term. */
    fun fenceCondition(): Condition = leadership.fenceCondition()

    /** Settles what the loaded rows amount to, once all of them are loaded. */
    fun reconcileLoaded() {
        allocations.reconcileLoaded()
        jobs.values.toList().forEach { if (it.isComplete) finish(it, JobState.DONE) }
    }

    /** Adds the active job that [row] holds; null where it has ended or the row cannot be read. */
    fun admit(row: Row): Job? {
        val id = ActiveJobRow.jobOf(row.key)
        jobs[id]?.let { return it }
        if (endOf(id) != null) return null
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
            "tasks" to spec.tasks,
            "cpus" to spec.size.cpus,
            "estimate_seconds" to spec.estimateSeconds,
            "deadline_seconds" to spec.deadlineSeconds,
        )
        return Job(spec, row.modRevision, active.submittedMillis).also { activeJobs[id] = it }
    }

    /** Adds a progress row that a new leader finds. */
    fun loadProgress(row: Row) = progress.load(row, jobs[ProgressCodec.jobOf(row)])

    /** [task] of [job] is done; with its last task the job ends. */
    fun markDone(
        job: Job,
        task: Int,
    ) {
        if (!job.done.get(task)) {
            if (job.done.cardinality() == job.persistedDone.cardinality()) job.unpersistedSince = context.now
            // The tasks of a gang complete together: if one is done, all are.
            val (first, end) = if (job.spec.gang) 0 to job.spec.tasks else task to task + 1
            job.done.set(first, end)
            job.doneOrAllocated.set(first, end)
        }
        if (job.isComplete) finish(job, JobState.DONE)
    }

    /** Ends [job] as [jobState], unless an end of it is being written already. */
    fun finish(
        job: Job,
        jobState: JobState,
    ) = finisher.finish(job, jobState)

    private fun onFinished(
        job: Job,
        row: FinishedJobRow,
    ) {
        val id = job.spec.id
        job.endState = row.jobState
        finishedJobs[id] = row
        activeJobs.remove(id)
        progress.orphan(job)
        // Allocations whose start command has not been sent are not started any more.
        job.allocations.values
            .filter { it.phase == AllocationPhase.COMMITTED }
            .forEach { allocations.release(it, isLost = true) }
        val ageSeconds = job.ageSeconds(context.wallMillis).toLong()
        context.info("job ended", "job" to id, "state" to row.jobState.wire, "age_seconds" to ageSeconds)
        job.notifyEnd(row.jobState)
    }

    /** Does once a second what can wait: persists progress and cleans up rows. */
    fun tick() {
        if (context.now - lastCleanUpAt < CLEAN_UP_INTERVAL_SECONDS) return
        lastCleanUpAt = context.now
        jobs.values.forEach { progress.persistIfDue(it) }
        progress.removeOrphans()
        allocations.cleanUp()
    }

    private companion object {
        const val MAX_FINISHED_JOBS = 20_000
        const val CLEAN_UP_INTERVAL_SECONDS = 1.0
    }
}
