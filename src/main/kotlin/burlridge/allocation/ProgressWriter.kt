package burlridge.allocation

import burlridge.core.StepContext
import burlridge.leadership.FencedStore
import burlridge.leadership.Leadership
import burlridge.store.Change
import burlridge.store.Condition
import burlridge.store.ReadResult
import burlridge.store.RequestPriority
import burlridge.store.Row
import burlridge.store.StoreClient
import burlridge.store.TransactionResult
import java.util.BitSet

/**
 * Persists which tasks are done, and removes the progress rows of jobs that have ended. Progress is written with a delay, and not at all if
 * the job ends before that: a worker keeps an ended task until its end is persisted, so a task that is started again ends at once.
 */
internal class ProgressWriter(
    private val context: StepContext,
    private val store: StoreClient,
    private val leadership: Leadership,
) {
    private val fenced = FencedStore(store, leadership)
    private val codec = ProgressCodec(context.settings.storeLimits.valueBytes)

    /** Keys of the progress rows of ended jobs that are still to be removed. */
    private val orphanedKeys = LinkedHashSet<String>()
    private var pendingWrites = 0

    /** Resets the state when a term begins or ends. */
    fun clear() {
        pendingWrites = 0
        orphanedKeys.clear()
    }

    /** Adds the done tasks in [row], which a new leader has read, to [job]; if that is null, the row is removed later. */
    fun load(
        row: Row,
        job: Job?,
    ) {
        if (job == null) {
            orphanedKeys += row.key
            return
        }
        val done = codec.decode(row) ?: return
        job.done.or(done)
        job.doneOrAllocated.or(done)
        job.persistedDone.or(done)
        job.progressRevisions[row.key] = row.modRevision
    }

    /** Schedules the remaining progress rows of [job], which has ended, for removal. */
    fun addOrphanedRows(job: Job) {
        orphanedKeys += job.progressRevisions.keys
    }

    /** Removes as many progress rows of ended jobs as fit into one transaction. */
    fun removeOrphanedRows() {
        if (orphanedKeys.isEmpty()) return
        val removed = orphanedKeys.take(context.settings.storeLimits.changesPerTransaction)
        orphanedKeys -= removed.toSet()
        fenced.commit(emptyList(), removed.map { Change.Delete(it) }, RequestPriority.CLEANUP) { result ->
            if (result !is TransactionResult.Committed) fenced.stepDown()
        }
    }

    /** Writes one progress row of [job] if that is due. */
    fun persistIfDue(job: Job) {
        if (job.isPersistingProgress || job.isEnding || pendingWrites >= MAX_PENDING_WRITES) return
        if (job.done.cardinality() == job.persistedDone.cardinality()) return
        if (context.now < job.unpersistedSince + context.settings.workers.leaseSeconds) return
        val unpersisted = job.done.clone() as BitSet
        unpersisted.andNot(job.persistedDone)
        persist(job, codec.rangeOf(job, unpersisted.nextSetBit(0)))
    }

    private fun persist(
        job: Job,
        range: ProgressRange,
    ) {
        val written = job.done.get(range.first, range.end)
        job.isPersistingProgress = true
        pendingWrites++
        context.count("intent.progress")
        job.unpersistedSince = context.now
        // The condition on the row's mod revision keeps an earlier copy that is applied late from overwriting a later write.
        val modRevision = job.progressRevisions.getOrPut(range.key) { 0L }
        fenced.commit(
            listOf(ActiveJobRow.condition(job), Condition(range.key, modRevision)),
            listOf(Change.Put(range.key, codec.encode(job.done, range))),
            RequestPriority.FINISH,
        ) { result ->
            job.isPersistingProgress = false
            pendingWrites--
            onPersisted(job, range, written, result)
        }
    }

    private fun onPersisted(
        job: Job,
        range: ProgressRange,
        written: BitSet,
        result: TransactionResult,
    ) {
        when {
            result is TransactionResult.Committed -> {
                job.progressRevisions[range.key] = result.revision
                written.stream().forEach { job.persistedDone.set(range.first + it) }
            }

            result is TransactionResult.Conflict && fenced.isFenced(result) -> {
                fenced.stepDown()
            }

            result is TransactionResult.Conflict && range.key in result.failed -> {
                readBack(job, range.key)
            }
        }
    }

    /** Reads what is persisted from the row: an earlier copy of this leader's own write was applied. */
    private fun readBack(
        job: Job,
        key: String,
    ) {
        val stillLeading = leadership.whileLeading(leadership.term)
        job.isPersistingProgress = true
        store.get(key, RequestPriority.FINISH) { read ->
            job.isPersistingProgress = false
            if (!stillLeading()) return@get
            if (read is ReadResult.Absent) job.progressRevisions[key] = 0L
            if (read !is ReadResult.Found) return@get
            job.progressRevisions[key] = read.value.modRevision
            codec.decode(read.value)?.let(job.persistedDone::or)
        }
    }

    private companion object {
        /** Limits how much of the store's write rate is used for progress. */
        const val MAX_PENDING_WRITES = 4
    }
}
