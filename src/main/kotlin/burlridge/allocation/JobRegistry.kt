package burlridge.allocation

import burlridge.core.BoundedMap
import burlridge.core.StepContext
import burlridge.job.InvalidJobException
import burlridge.job.JobSpec
import burlridge.json.Json
import burlridge.leadership.Leadership
import burlridge.store.Change
import burlridge.store.Condition
import burlridge.store.ReadResult
import burlridge.store.RequestPriority
import burlridge.store.Row
import burlridge.store.StoreClient
import burlridge.store.Transaction
import burlridge.store.TransactionResult
import com.fasterxml.jackson.databind.JsonNode
import java.util.BitSet

/** The leader's picture of jobs and claims, each of its changes written under the fence of its term. */
internal class JobRegistry(
    private val context: StepContext,
    private val store: StoreClient,
    private val leadership: Leadership,
) {
    val jobs: LinkedHashMap<String, Job> = LinkedHashMap()

    private var flushing = 0
    private var lastCleanAt = 0.0
    val allocations: AllocationTable = AllocationTable(context, store, leadership, jobs)
    private val progress = Progress(context.settings.store.valueBytes)

    /** Progress rows of jobs that are over, still to be removed. */
    private val orphanedProgressKeys = LinkedHashSet<String>()

    /** Ends once told stay told; only durable ones get in here. */
    private val ends = BoundedMap<String, End>(ENDS_KEPT)

    data class End(
        val jobState: JobState,
        val fingerprint: String,
        val tasks: Int,
    )

    fun end(job: String): End? = ends[job]

    fun recordEnd(
        job: String,
        row: JsonNode,
    ): End? {
        val jobState = JobState.entries.firstOrNull { it.wire == row.path("st").asText() } ?: return null
        return End(jobState, row.path("fp").asText(), row.path("n").asInt()).also { ends[job] = it }
    }

    fun clear() {
        jobs.clear()
        allocations.clear()
        flushing = 0
        orphanedProgressKeys.clear()
    }

    fun fenceCondition(): Condition = leadership.fenceCondition()

    private fun whileLeading(term: Long): () -> Boolean = leadership.whileLeading(term)

    /** All rows are in. */
    fun reconcileLoaded() {
        allocations.reconcileLoaded()
        jobs.values.toList().forEach { if (it.complete) finish(it, JobState.DONE) }
    }

    // --- jobs

    fun admit(
        job: String,
        row: JsonNode,
        modRevision: Long,
    ): Job? {
        jobs[job]?.let { return it }
        if (end(job) != null) return null
        val spec =
            try {
                JobSpec.parse(row.path("job"))
            } catch (e: InvalidJobException) {
                context.error("row live/$job cannot be read: ${e.message}")
                return null
            }
        context.debug(
            "job $job: ${spec.tasks} of ${spec.jobClass}, ${spec.size.cpus} CPUs, ${spec.estimateSeconds} " +
                "s, due in ${spec.deadlineSeconds} s",
        )
        return Job(spec, modRevision, row.path("at").asLong()).also { jobs[job] = it }
    }

    fun loadProgress(row: Row) {
        val job = jobs[Progress.jobOf(row)]
        if (job == null) {
            orphanedProgressKeys += row.key
            return
        }
        val done = progress.decode(row) ?: return
        job.done.or(done)
        job.taken.or(done)
        job.durable.or(done)
        job.progress[row.key] = row.modRevision
    }

    fun markDone(
        job: Job,
        task: Int,
    ) {
        if (!job.done.get(task)) {
            if (job.done.cardinality() == job.durable.cardinality()) job.unwrittenSince = context.now
            // The tasks of a gang complete together: if one is done, all are.
            val (first, end) = if (job.spec.gang) 0 to job.spec.tasks else task to task + 1
            job.done.set(first, end)
            job.taken.set(first, end)
        }
        if (job.complete) finish(job, JobState.DONE)
    }

    /** Writes the end of [job]; the one transaction that moves its row decides between done and withdrawn. */
    fun finish(
        job: Job,
        jobState: JobState,
    ) {
        if (job.ending != null) return
        job.ending = jobState
        val id = job.spec.id
        val row =
            Json.obj {
                put("st", jobState.wire)
                put("fp", job.spec.fingerprint)
                put("n", job.spec.tasks)
            }
        // Progress rows that this transaction has no room for are removed afterwards, or by a later leader that finds them.
        val removed = job.progress.keys.take((context.settings.store.changesPerTransaction - 2).coerceAtLeast(0))
        val transaction =
            Transaction(
                listOf(fenceCondition(), Condition("live/$id", job.modRevision), Condition("over/$id", 0)),
                listOf(Change.Delete("live/$id"), Change.Put("over/$id", row)) + removed.map { Change.Delete(it) },
            )
        val priority = if (jobState == JobState.DONE) RequestPriority.FINISH else RequestPriority.USER
        store.commitUntilKnown(transaction, priority, whileLeading(leadership.term), { job.inDoubt = it }) { result ->
            when (result) {
                is TransactionResult.Committed -> {
                    job.progress -= removed
                    ended(job, jobState)
                }

                is TransactionResult.Conflict -> {
                    if (Leadership.TERM in result.failed) {
                        leadership.stepDownOnPassedTerm()
                    } else {
                        readEnd(job)
                    }
                }

                else -> {
                    job.ending = null
                    job.inDoubt = false
                }
            }
        }
    }

    /** An earlier copy of our own transaction may have been the one that was applied. */
    private fun readEnd(job: Job) {
        val term = leadership.term
        store.get("over/${job.spec.id}", RequestPriority.FINISH) { read ->
            if (!whileLeading(term)()) return@get
            val end = (read as? ReadResult.Found)?.value?.value?.let { recordEnd(job.spec.id, it) }
            if (end != null) ended(job, end.jobState) else context.schedule(1.0) { if (whileLeading(term)()) readEnd(job) }
        }
    }

    private fun ended(
        job: Job,
        jobState: JobState,
    ) {
        job.over = jobState
        ends[job.spec.id] = End(jobState, job.spec.fingerprint, job.spec.tasks)
        jobs.remove(job.spec.id)
        orphanedProgressKeys += job.progress.keys
        // What was claimed and has not left will not be started any more.
        job.allocations.values
            .filter { it.phase == AllocationPhase.COMMITTED }
            .forEach { allocations.release(it, lost = true) }
        context.info("job ${job.spec.id} is ${jobState.wire} after ${(context.wallMillis - job.submittedMillis) / 1000} s")
        job.endListeners.forEach { it(jobState) }
        job.endListeners.clear()
    }

    // --- lazy writes

    fun tick() {
        if (context.now - lastCleanAt < CLEAN_SECONDS) return
        lastCleanAt = context.now
        jobs.values.forEach { flush(it) }
        if (orphanedProgressKeys.isNotEmpty()) removeLeftovers()
        allocations.clean()
    }

    private fun removeLeftovers() {
        val some = orphanedProgressKeys.take(context.settings.store.changesPerTransaction)
        orphanedProgressKeys -= some.toSet()
        store.commitUntilKnown(
            Transaction(
                listOf(fenceCondition()),
                some.map {
                    Change.Delete(it)
                },
            ),
            RequestPriority.CLEANUP,
            whileLeading(leadership.term),
        ) { result ->
            if (result !is TransactionResult.Committed) leadership.stepDownOnPassedTerm()
        }
    }

    /**
     * An end that is not durable yet is kept by its worker, unreaped, and a task started again there or elsewhere would end at
     * once: so progress is written late, and for a job that is over before then not at all.
     */
    private fun flush(job: Job) {
        if (job.flushing || job.ending != null || flushing >= MOST_FLUSHES) return
        if (job.done.cardinality() == job.durable.cardinality() ||
            context.now < job.unwrittenSince + context.settings.workers.leaseSeconds
        ) {
            return
        }
        val fresh = job.done.clone() as BitSet
        fresh.andNot(job.durable)
        val part = progress.partOf(job, fresh.nextSetBit(0))
        val written = job.done.get(part.first, part.end)
        job.flushing = true
        flushing++
        context.count("intent.progress")
        job.unwrittenSince = context.now
        // Under the row's own stamp: an earlier copy carried out late would else undo what a later one wrote.
        val before = job.progress.getOrPut(part.key) { 0L }
        val conditions = listOf(fenceCondition(), Condition("live/${job.spec.id}", job.modRevision), Condition(part.key, before))
        val transaction = Transaction(conditions, listOf(Change.Put(part.key, progress.encode(job.done, part))))
        store.commitUntilKnown(transaction, RequestPriority.FINISH, whileLeading(leadership.term)) { result ->
            job.flushing = false
            flushing--
            when {
                result is TransactionResult.Committed -> {
                    job.progress[part.key] = result.revision
                    written.stream().forEach { job.durable.set(part.first + it) }
                }

                result is TransactionResult.Conflict && Leadership.TERM in result.failed -> {
                    leadership.stepDownOnPassedTerm()
                }

                result is TransactionResult.Conflict && part.key in result.failed -> {
                    readProgress(job, part.key)
                }
            }
        }
    }

    /** An earlier copy of our own write was the one that was applied: the row says what is durable. */
    private fun readProgress(
        job: Job,
        key: String,
    ) {
        val mine = whileLeading(leadership.term)
        job.flushing = true
        store.get(key, RequestPriority.FINISH) { read ->
            job.flushing = false
            if (!mine()) return@get
            if (read is ReadResult.Absent) job.progress[key] = 0L
            if (read !is ReadResult.Found) return@get
            job.progress[key] = read.value.modRevision
            progress.decode(read.value)?.let(job.durable::or)
        }
    }

    internal companion object {
        private const val ENDS_KEPT = 20_000
        private const val CLEAN_SECONDS = 1.0
        private const val MOST_FLUSHES = 4
    }
}
