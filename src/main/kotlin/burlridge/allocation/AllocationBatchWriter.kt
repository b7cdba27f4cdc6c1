package burlridge.allocation

import burlridge.core.StepContext
import burlridge.leadership.FencedStore
import burlridge.leadership.Leadership
import burlridge.store.Change
import burlridge.store.Condition
import burlridge.store.ReadResult
import burlridge.store.RequestPriority
import burlridge.store.StoreClient
import burlridge.store.TransactionLimits
import burlridge.store.TransactionResult

/** Writes new batches of allocations, and determines which of them may be started. */
internal class AllocationBatchWriter(
    private val context: StepContext,
    private val store: StoreClient,
    private val leadership: Leadership,
    private val jobs: Map<String, Job>,
    private val index: AllocationIndex,
    private val batches: AllocationBatchSet,
) {
    private val fenced = FencedStore(store, leadership)
    private var nextSequenceNumber = 0L

    /** Number of batches whose write has no known outcome yet. */
    var pendingBatches: Int = 0
        private set

    /** Maximum number of allocations in one row; halved when a row turns out to be too large. */
    var maxAllocationsPerBatch: Int = 1
        private set

    /** Maximum number of jobs in one row and in the conditions of its transaction; halved when a row turns out to be too large. */
    var maxJobsPerBatch: Int = 1
        private set

    /** Resets the numbering of batches, the count of pending writes and the maximum batch size. */
    fun clear() {
        nextSequenceNumber = 0
        pendingBatches = 0
        val limits = context.settings.storeLimits
        val maxJobConditions = limits.changesPerTransaction * TransactionLimits.CONDITIONS_PER_CHANGE - OWN_CONDITIONS
        maxAllocationsPerBatch = (limits.valueBytes / BYTES_PER_ALLOCATION).coerceAtLeast(1)
        maxJobsPerBatch = minOf(maxJobConditions, limits.valueBytes / BYTES_PER_JOB).coerceAtLeast(1)
    }

    /**
     * Reserves the resources of [allocations] and writes their row. [onCommitted] receives those that may be started: the allocations of a
     * gang only once its whole attempt is written, which may take several rows.
     */
    fun write(
        allocations: List<Allocation>,
        onCommitted: (List<Allocation>) -> Unit,
    ) {
        val batchId = "${leadership.term}-${nextSequenceNumber++}"
        val overwritten = batches.reusable.removeLastOrNull()
        val batch = AllocationBatch(overwritten?.slot ?: batchId, batchId, allocations)
        batches.put(batch)
        allocations.forEach {
            it.batch = batch
            it.allocatedAt = context.now
            index.add(it)
        }
        val jobConditions = allocations.map { it.job }.distinct().mapNotNull { id -> jobs[id]?.let { ActiveJobRow.condition(it) } }
        val row = AllocationBatchCodec.encode(batch, leadership.term, liveUntilMillis(context))
        batch.isWriting = true
        pendingBatches++
        context.count("intent.rows")
        context.count("intent.starts", allocations.size)
        fenced.commit(
            listOf(Condition(batch.rowKey, overwritten?.modRevision ?: 0)) + jobConditions,
            listOf(Change.Put(batch.rowKey, row)),
            RequestPriority.CLAIM,
        ) { result -> onResult(batch, overwritten, result, onCommitted) }
    }

    private fun onResult(
        batch: AllocationBatch,
        overwritten: AllocationBatch?,
        result: TransactionResult,
        onCommitted: (List<Allocation>) -> Unit,
    ) {
        when (result) {
            is TransactionResult.Committed -> {
                onWritten(batch, result.revision, onCommitted)
            }

            is TransactionResult.Conflict -> {
                when {
                    fenced.isFenced(result) -> fenced.stepDown()

                    // Only the leader writes this key, so an earlier copy of this transaction was applied.
                    batch.rowKey in result.failed -> readBack(batch, overwritten, onCommitted)

                    // One of its jobs has ended, so nothing was written.
                    else -> discard(batch, overwritten)
                }
            }

            else -> {
                if (result is TransactionResult.TooLarge) {
                    maxAllocationsPerBatch = (maxAllocationsPerBatch / 2).coerceAtLeast(1)
                    maxJobsPerBatch = (maxJobsPerBatch / 2).coerceAtLeast(1)
                }
                discard(batch, overwritten)
            }
        }
    }

    private fun onWritten(
        batch: AllocationBatch,
        modRevision: Long,
        onCommitted: (List<Allocation>) -> Unit,
    ) {
        batch.modRevision = modRevision
        batch.isWriting = false
        pendingBatches--
        onCommitted(startable(batch))
    }

    private fun startable(batch: AllocationBatch): List<Allocation> {
        batch.allocations.forEach { it.isPersisted = true }
        // A job may have ended while the row was being written: its allocations must not be started any more.
        batch.allocations.filter { it.job !in jobs }.forEach { index.release(it, isLost = true) }
        val gangs = batch.allocations.mapNotNull { allocation -> jobs[allocation.job]?.takeIf { it.spec.gang } }.distinct()
        val ofArrays = batch.allocations.filter { it.phase == AllocationPhase.COMMITTING && jobs[it.job]?.spec?.gang != true }
        val ofGangs = gangs.flatMap { startableOfGang(it) }
        return (ofArrays + ofGangs).filter { it.phase == AllocationPhase.COMMITTING }.onEach { it.phase = AllocationPhase.COMMITTED }
    }

    private fun startableOfGang(job: Job): List<Allocation> {
        val attempt = job.allocations.values
        if (!attempt.all { it.isPersisted }) return emptyList()
        if (attempt.size == job.spec.taskCount) return attempt.toList()
        // An allocation of the attempt was lost while the row was being written.
        index.abortAttempt(job)
        return emptyList()
    }

    private fun readBack(
        batch: AllocationBatch,
        overwritten: AllocationBatch?,
        onCommitted: (List<Allocation>) -> Unit,
    ) {
        val term = leadership.term
        store.get(batch.rowKey, RequestPriority.CLAIM) { read ->
            if (!leadership.whileLeading(term)()) return@get
            val row = (read as? ReadResult.Found)?.value
            when {
                row != null && AllocationBatchCodec.batchIdOf(row) == batch.batchId -> {
                    onWritten(batch, row.modRevision, onCommitted)
                }

                read is ReadResult.Failed -> {
                    context.schedule(READ_RETRY_SECONDS) {
                        if (leadership.whileLeading(term)()) readBack(batch, overwritten, onCommitted)
                    }
                }

                else -> {
                    discard(batch, null)
                }
            }
        }
    }

    /** Releases the allocations of [batch], of which nothing was written; its row, if any, still holds the batch [overwritten]. */
    private fun discard(
        batch: AllocationBatch,
        overwritten: AllocationBatch?,
    ) {
        pendingBatches--
        batches.remove(batch)
        overwritten?.let {
            batches.put(it)
            batches.reusable.addLast(it)
        }
        batch.allocations.forEach { index.release(it, isLost = true) }
    }

    internal companion object {
        private const val MILLIS_PER_SECOND = 1000
        private const val READ_RETRY_SECONDS = 1.0

        /** Number of conditions of a batch's transaction besides those on its jobs: the fencing token and the row itself. */
        private const val OWN_CONDITIONS = 2

        /** Upper bounds of the bytes that an allocation, and a job with its charge, take in a row. */
        private const val BYTES_PER_ALLOCATION = 54
        private const val BYTES_PER_JOB = 250

        /** The wall-clock time until which a batch row written now counts as live: one worker lease from now. */
        fun liveUntilMillis(context: StepContext): Long =
            context.wallMillis + (context.settings.workers.leaseSeconds * MILLIS_PER_SECOND).toLong()
    }
}
