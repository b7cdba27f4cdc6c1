package burlridge.allocation

import burlridge.core.StepContext
import burlridge.job.Resources
import burlridge.leadership.Leadership
import burlridge.store.Change
import burlridge.store.Condition
import burlridge.store.ReadResult
import burlridge.store.RequestPriority
import burlridge.store.Row
import burlridge.store.StoreClient
import burlridge.store.Transaction
import burlridge.store.TransactionResult

/** The claims of a leader, what they take of machines and limits, and the rows that they stand in. */
internal class AllocationTable(
    private val context: StepContext,
    private val store: StoreClient,
    private val leadership: Leadership,
    private val jobs: Map<String, Job>,
) {
    /** Active claims by machine. */
    val byMachine: HashMap<String, LinkedHashMap<String, Allocation>> = HashMap()
    val used: HashMap<String, Resources> = HashMap()

    /** What the claims on each machine take. */
    private val usedOn = HashMap<String, Resources>()
    private val batches = LinkedHashMap<String, AllocationBatch>()

    /** Rows whose round is settled: claimed anew by the next rounds, which saves their removal. */
    private val spare = ArrayDeque<AllocationBatch>()
    private var nextBatch = 0L

    /** Rounds whose row's outcome is open; more are not begun while the state service is behind. */
    var pendingBatches: Int = 0
        private set

    /** Starts and jobs that one row and its transaction's conditions hold; fewer once a row has turned out too large. */
    var maxStartsPerBatch: Int = 1
        private set
    var maxJobsPerBatch: Int = 1
        private set

    init {
        clear()
    }

    fun usedOn(machine: String): Resources = usedOn[machine] ?: Resources.NONE

    fun clear() {
        byMachine.clear()
        used.clear()
        usedOn.clear()
        batches.clear()
        spare.clear()
        nextBatch = 0
        pendingBatches = 0
        val limits = context.settings.store
        maxStartsPerBatch = (limits.valueBytes / BYTES_PER_START).coerceAtLeast(1)
        maxJobsPerBatch =
            minOf(limits.changesPerTransaction * StoreClient.CONDITIONS_PER_OP - 2, limits.valueBytes / BYTES_PER_JOB).coerceAtLeast(1)
    }

    /**
     * Reserves [allocations] and writes their row; [onResult] is told which may now be sent. Those of a gang may once all of its
     * attempt are
     * durable, in however many rows.
     */
    fun allocate(
        allocations: List<Allocation>,
        onResult: (List<Allocation>) -> Unit,
    ) {
        val number = "${leadership.term}-${nextBatch++}"
        val before = spare.removeLastOrNull()
        val batch = AllocationBatch(before?.slot ?: number, number, allocations)
        batches[batch.slot] = batch
        allocations.forEach {
            it.batch = batch
            it.allocatedAt = context.now
            hold(it)
        }
        val conditions = allocations.map { it.job }.distinct().mapNotNull { id -> jobs[id]?.let { Condition("live/$id", it.modRevision) } }
        val key = "round/${batch.slot}"
        val transaction =
            Transaction(
                listOf(leadership.fenceCondition(), Condition(key, before?.modRevision ?: 0)) + conditions,
                listOf(Change.Put(key, encode(batch, leadership.term, allocatedUntilMillis()))),
            )
        batch.writing = true
        pendingBatches++
        context.count("intent.rows")
        context.count("intent.starts", allocations.size)
        store.commitUntilKnown(
            transaction,
            RequestPriority.CLAIM,
            leadership.whileLeading(leadership.term),
        ) { result -> onBatchCommitted(batch, before, result, onResult) }
    }

    private fun onBatchCommitted(
        batch: AllocationBatch,
        before: AllocationBatch?,
        result: TransactionResult,
        onResult: (List<Allocation>) -> Unit,
    ) {
        when (result) {
            is TransactionResult.Committed -> {
                batch.modRevision = result.revision
                batch.writing = false
                pendingBatches--
                onResult(startable(batch))
            }

            is TransactionResult.Conflict -> {
                when {
                    Leadership.TERM in result.failed -> {
                        leadership.stepDownOnPassedTerm()
                    }

                    // An earlier copy of this very transaction was applied: only we write this key.
                    "round/${batch.slot}" in result.failed -> {
                        readBatch(batch, before, onResult)
                    }

                    // A job in it is over, so nothing was claimed.
                    else -> {
                        drop(batch, before)
                    }
                }
            }

            else -> {
                if (result is TransactionResult.TooLarge) {
                    maxStartsPerBatch = (maxStartsPerBatch / 2).coerceAtLeast(1)
                    maxJobsPerBatch = (maxJobsPerBatch / 2).coerceAtLeast(1)
                }
                drop(batch, before)
            }
        }
    }

    private fun startable(batch: AllocationBatch): List<Allocation> {
        batch.allocations.forEach { it.durable = true }
        // Of a job that has ended while the row was being written nothing is started any more.
        batch.allocations.filter { it.job !in jobs }.forEach { release(it, lost = true) }
        val gangs = batch.allocations.mapNotNull { c -> jobs[c.job]?.takeIf { it.spec.gang } }.distinct()
        val alone = batch.allocations.filter { it.phase == AllocationPhase.COMMITTING && jobs[it.job]?.spec?.gang != true }
        val whole =
            gangs.flatMap { job ->
                val all = job.allocations.values
                if (!all.all { it.durable }) {
                    emptyList()
                } else if (all.size == job.spec.tasks) {
                    all.toList()
                } else {
                    // One of them was lost while the row was being written.
                    abortAttempt(job)
                    emptyList()
                }
            }
        return (alone + whole).filter { it.phase == AllocationPhase.COMMITTING }.onEach { it.phase = AllocationPhase.COMMITTED }
    }

    /** A task of a gang's attempt is gone, so the attempt is over. */
    fun abortAttempt(job: Job) {
        if (job.breaking) return
        job.breaking = true
        GangRules.broken(job).forEach { release(it, lost = true) }
        job.breaking = false
    }

    private fun readBatch(
        batch: AllocationBatch,
        before: AllocationBatch?,
        onResult: (List<Allocation>) -> Unit,
    ) {
        val term = leadership.term
        store.get("round/${batch.slot}", RequestPriority.CLAIM) { read ->
            if (!leadership.whileLeading(term)()) return@get
            val row = (read as? ReadResult.Found)?.value
            when {
                row != null && row.value.path("n").asText() == batch.number -> {
                    onBatchCommitted(batch, before, TransactionResult.Committed(row.modRevision), onResult)
                }

                read is ReadResult.Failed -> {
                    context.schedule(1.0) { if (leadership.whileLeading(term)()) readBatch(batch, before, onResult) }
                }

                else -> {
                    drop(batch, null)
                }
            }
        }
    }

    /** Nothing was claimed; the row is what it was [before]. */
    private fun drop(
        batch: AllocationBatch,
        before: AllocationBatch?,
    ) {
        pendingBatches--
        batches.remove(batch.slot)
        before?.let {
            batches[it.slot] = it
            spare.addLast(it)
        }
        batch.allocations.forEach { release(it, lost = true) }
    }

    private fun hold(allocation: Allocation) {
        jobs[allocation.job]?.let { job ->
            job.allocations.put(allocation.task, allocation)
            job.taken.set(allocation.task)
            job.allocatedAt = context.now
            job.note(allocation)
        }
        byMachine.getOrPut(allocation.machine) { LinkedHashMap() }[allocation.taskName] = allocation
        used.merge(allocation.charge.team, allocation.charge.size, Resources::plus)
        usedOn.merge(allocation.machine, allocation.charge.size, Resources::plus)
    }

    /** The claim's task is known to be gone from its machine, and no start of it can come any more. */
    fun release(
        allocation: Allocation,
        lost: Boolean,
    ) {
        if (allocation.ended) return
        allocation.phase = AllocationPhase.ENDED
        allocation.lost = lost
        if (lost) allocation.batch?.stale = true
        byMachine[allocation.machine]?.let { if (it[allocation.taskName] === allocation) it.remove(allocation.taskName) }
        jobs[allocation.job]?.let { job ->
            if (job.allocations.get(allocation.task) === allocation) {
                job.allocations.remove(allocation.task)
                if (!job.done.get(allocation.task)) job.taken.clear(allocation.task)
            }
            if (lost && job.spec.gang && allocation.attempt == job.highestAttempt) abortAttempt(job)
        }
        used.merge(allocation.charge.team, allocation.charge.size, Resources::minus)
        usedOn.merge(allocation.machine, allocation.charge.size, Resources::minus)
    }

    private fun allocatedUntilMillis(): Long = context.wallMillis + (context.settings.workers.leaseSeconds * MILLIS_PER_SECOND).toLong()

    fun loadBatch(row: Row) {
        val batch = decode(row)
        batch.allocations.forEach { it.allocatedAt = context.now }
        batch.modRevision = row.modRevision
        batches[batch.slot] = batch
        batch.allocations.forEach { allocation ->
            allocation.batch = batch
            allocation.durable = true
            if (allocation.lost) {
                allocation.phase = AllocationPhase.ENDED
                jobs[allocation.job]?.note(allocation)
            } else {
                hold(allocation)
            }
        }
    }

    /** After all rows are in: of two claims of one task only the later can be open. */
    fun reconcileLoaded() {
        for (batch in batches.values) {
            for (allocation in batch.allocations) {
                if (allocation.ended) continue
                val job = jobs[allocation.job] ?: continue
                val last = job.lastAttempt.get(allocation.task)
                when {
                    allocation.attempt < last -> release(allocation, lost = true)
                    job.durable.get(allocation.task) -> release(allocation, lost = false)
                }
            }
        }
        for (batch in batches.values) {
            batch.allocations.filter { !it.ended }.forEach { allocation ->
                jobs[allocation.job]?.let {
                    it.allocations.put(allocation.task, allocation)
                    it.taken.set(allocation.task)
                }
                // Rows come in no order of time: where an earlier run on the same machine was read last, it stood in this one's place.
                byMachine.getOrPut(allocation.machine) { LinkedHashMap() }[allocation.taskName] = allocation
            }
        }
        reconcileGangs()
    }

    /** An attempt that was claimed in part never began; one that has lost a task is over. */
    private fun reconcileGangs() {
        val allocations = HashMap<Job, ArrayList<Allocation>>()
        for (batch in batches.values) {
            for (allocation in batch.allocations) {
                val job = jobs[allocation.job]?.takeIf { it.spec.gang && allocation.attempt == it.highestAttempt } ?: continue
                allocations.getOrPut(job) { ArrayList() } += allocation
            }
        }
        for ((job, latest) in allocations) {
            // Nothing of an attempt is claimed before all of the one before is known to be gone.
            job.allocations.values
                .filter { it.attempt < job.highestAttempt }
                .forEach { release(it, lost = true) }
            if (GangRules.isPartiallyAllocated(job, latest)) {
                job.breaking = true
                latest.filter { !it.ended }.forEach { release(it, lost = true) }
                job.breaking = false
            } else if (latest.any { it.ended }) {
                abortAttempt(job)
            }
        }
    }

    // --- rows

    /** Rows that are settled are kept for the next rounds for a while, and then removed; lost starts are marked. */
    fun clean() {
        for (batch in batches.values) {
            if (batch.modRevision > 0 && !batch.writing && batch.settledAt == null && batch.allocations.all(::settled)) {
                batch.settledAt = context.now
                spare.addLast(batch)
            }
        }
        val unused =
            spare
                .takeWhile {
                    context.now > (it.settledAt ?: context.now) + context.settings.workers.reportSeconds
                }.take(context.settings.store.changesPerTransaction)
        if (unused.isNotEmpty()) remove(unused)
        batches.values
            .filter { it.stale && it.modRevision > 0 && !it.writing && it.settledAt == null }
            .take(2)
            .forEach { rewrite(it) }
    }

    /** Nothing of this claim needs remembering: its task's end is durable, or a later run has been claimed. */
    private fun settled(allocation: Allocation): Boolean {
        if (!allocation.ended) return false
        val job = jobs[allocation.job] ?: return true
        if (job.durable.get(allocation.task)) return true
        val newer = job.allocations.get(allocation.task) ?: return false
        return newer.attempt > allocation.attempt && newer.phase != AllocationPhase.COMMITTING
    }

    private fun remove(list: List<AllocationBatch>) {
        list.forEach {
            it.writing = true
            spare.remove(it)
        }
        val transaction = Transaction(listOf(leadership.fenceCondition()), list.map { Change.Delete("round/${it.slot}") })
        store.commitUntilKnown(transaction, RequestPriority.CLEANUP, leadership.whileLeading(leadership.term)) { result ->
            if (result is TransactionResult.Committed) {
                list.forEach {
                    batches.remove(
                        it.slot,
                    )
                }
            } else {
                leadership.stepDownOnPassedTerm()
            }
        }
    }

    /**
     * Marks in its row which starts of [round] are lost, and leaves out what needs no remembering. A row from before the limits
     * were lowered may be too large for that still: then its marks are not written, and a new leader waits for the reports.
     */
    private fun rewrite(batch: AllocationBatch) {
        batch.stale = false
        val row =
            encode(
                batch,
                leadership.term,
                allocatedUntilMillis(),
                batch.allocations.filter {
                    jobs[it.job]?.spec?.gang == true ||
                        !settled(it)
                },
            )
        if (!store.fitsValueLimit(row)) {
            context.debug("row round/${batch.slot} is left as it is: it was written under larger limits")
            return
        }
        batch.writing = true
        val transaction =
            Transaction(
                listOf(leadership.fenceCondition(), Condition("round/${batch.slot}", batch.modRevision)),
                listOf(Change.Put("round/${batch.slot}", row)),
            )
        store.commitUntilKnown(transaction, RequestPriority.CLEANUP, leadership.whileLeading(leadership.term)) { result ->
            batch.writing = false
            when (result) {
                is TransactionResult.Committed -> {
                    batch.modRevision = result.revision
                }

                is TransactionResult.Conflict -> {
                    if (Leadership.TERM in result.failed) {
                        leadership.stepDownOnPassedTerm()
                    } else {
                        store.get("round/${batch.slot}", RequestPriority.CLEANUP) { read ->
                            (read as? ReadResult.Found)?.let { batch.modRevision = it.value.modRevision }
                            batch.stale = true
                        }
                    }
                }

                else -> {
                    batch.stale = true
                }
            }
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000

        /** What a start and a job's charge take of a row, with room to spare. */
        const val BYTES_PER_START = 54
        const val BYTES_PER_JOB = 250
    }
}
