package burlridge.balance

import burlridge.allocation.Allocation
import burlridge.allocation.GangRules
import burlridge.allocation.GangState
import burlridge.allocation.Job
import burlridge.allocation.JobRegistry
import burlridge.allocation.JobState
import burlridge.core.StepContext
import burlridge.leadership.Leadership
import burlridge.placement.CapacityReservation
import burlridge.settings.BalanceSettings
import burlridge.settings.MovePermission
import burlridge.store.Change
import burlridge.store.Condition
import burlridge.store.RequestPriority
import burlridge.store.Row
import burlridge.store.StoreClient
import burlridge.store.Transaction
import burlridge.store.TransactionResult
import burlridge.worker.WorkerManager

/**
 * Moves, each claimed in a row before its stop is sent: the task is stopped, proven gone by the ordinary rules, and placed anew under
 * the next run number, where room was kept for it if there still is. Whatever fails, it runs on or waits like any other task.
 */
internal class Moves(
    private val context: StepContext,
    private val settings: BalanceSettings,
    private val store: StoreClient,
    private val leadership: Leadership,
    private val registry: JobRegistry,
    private val workers: WorkerManager,
    private val decisions: DecisionLog,
) {
    private class Open(
        val move: Move,
        val batch: MoveBatch,
    ) {
        var stopped = false
    }

    private val budget = MoveBudget(settings)
    private val batches = LinkedHashMap<String, MoveBatch>()
    private val open = LinkedHashMap<String, Open>()
    private val counts = HashMap<String, Int>()
    private var nextBatch = 0L
    private val keepMillis = (settings.keepLeases * context.settings.workers.leaseSeconds * MILLIS_PER_SECOND).toLong()

    /** Keys of rows that cannot be read; they are left as they are. */
    val damaged: LinkedHashSet<String> = LinkedHashSet()

    /** Whether a row's outcome is open; no more is planned meanwhile. */
    var writing: Boolean = false
        private set
    val openMoves: List<Move> get() = open.values.map { it.move }
    val spentLately: Int get() = budget.spent(context.wallMillis)

    /** How many moves one row holds. */
    val mostPerRow: Int = (context.settings.store.valueBytes / MoveBatch.BYTES_PER_MOVE).coerceAtLeast(1)

    fun clear() {
        budget.clear()
        batches.clear()
        open.clear()
        counts.clear()
        damaged.clear()
        nextBatch = 0
        writing = false
    }

    fun load(row: Row) {
        val batch = MoveBatch.decode(row)
        if (batch != null) {
            remember(batch)
        } else if (damaged.add(row.key)) {
            context.infoRateLimited("damaged move rows", "row ${row.key} cannot be read and is left as it is")
        }
    }

    private fun remember(batch: MoveBatch) {
        batches[batch.key] = batch
        for (move in batch.moves) {
            budget.spend(move, batch.plannedMillis)
            counts.merge(move.taskName, move.count, ::maxOf)
            val before = open[move.taskName]
            if (before == null || before.move.attempt < move.attempt) open[move.taskName] = Open(move, batch)
        }
    }

    fun isOpen(taskName: String): Boolean = taskName in open

    /** How often the task has been moved, by any leader. */
    fun countOf(taskName: String): Int = counts[taskName] ?: 0

    fun permits(move: Move): Boolean = budget.permits(move, context.wallMillis)

    /** Counts [move] before its row is written, so that the next one asked about sees it. */
    fun spend(move: Move) = budget.spend(move, context.wallMillis)

    /** Writes the row of [moves], which have been spent, and then stops their tasks. */
    fun plan(moves: List<Move>) {
        val batch = MoveBatch("${MoveBatch.PREFIX}${leadership.term}-${nextBatch++}", context.wallMillis, moves)
        batches[batch.key] = batch
        for (move in moves) {
            counts[move.taskName] = move.count
            open[move.taskName] = Open(move, batch)
        }
        writing = true
        moves.forEach { decisions.add(Decision.Planned(it)) }
        context.count("balance.moves", moves.sumOf { it.tasks })
        context.info(
            "move ${batch.key.substringAfter('/')}: ${moves.sumOf { it.tasks }} tasks of ${moves.map { it.job }.distinct().size} jobs",
        )
        val transaction =
            Transaction(
                listOf(leadership.fenceCondition(), Condition(batch.key, 0)),
                listOf(Change.Put(batch.key, batch.encode())),
            )
        store.commitUntilKnown(
            transaction,
            RequestPriority.CLAIM,
            leadership.whileLeading(leadership.term),
        ) { result -> planned(batch, result) }
    }

    private fun planned(
        batch: MoveBatch,
        result: TransactionResult,
    ) {
        writing = false
        when {
            result is TransactionResult.Conflict && Leadership.TERM in result.failed -> {
                leadership.stepDownOnPassedTerm()
            }

            // No other leader writes this key: on a conflict an earlier copy of this very row was carried out.
            result is TransactionResult.Committed || result is TransactionResult.Conflict -> {
                batch.durable = true
                batch.moves.forEach { move -> open[move.taskName]?.takeIf { it.batch === batch }?.let(::advance) }
            }

            else -> {
                context.error("move row ${batch.key} is not taken by the state service")
                batches.remove(batch.key)
                batch.moves.forEach { open.remove(it.taskName) }
            }
        }
    }

    /** Sees every open move on, and removes the rows that nobody needs any more. */
    fun tick() {
        if (batches.isEmpty()) return
        open.values.toList().forEach(::advance)
        val unused = batches.values.filter(::isUnused).take(context.settings.store.changesPerTransaction)
        if (unused.isNotEmpty()) remove(unused)
    }

    private fun advance(open: Open) {
        if (!open.batch.durable) return
        val job = registry.jobs[open.move.job]
        val over = job == null || job.pendingEndState == JobState.CANCELLED
        val ended =
            when {
                job == null || over -> true
                open.move.isGang -> advanceGang(open, job)
                else -> advanceTask(open, job)
            }
        if (ended) this.open.remove(open.move.taskName)
    }

    /** True once the move is over: the task is done, started anew, or waits like any other. */
    private fun advanceTask(
        open: Open,
        job: Job,
    ): Boolean {
        val move = open.move
        val allocation = job.allocations.get(move.task)
        return when {
            allocation == null -> job.done.get(move.task) || givesUpRoom(open)
            allocation.attempt != move.attempt -> true
            open.stopped || allocation.stopGraceSeconds != null -> false
            isPutBack(move) -> putBack(move)
            else -> !stop(open, job, allocation)
        }
    }

    private fun givesUpRoom(open: Open): Boolean {
        if (mayKeepRoom(open)) return false
        if (open.move.to != null) decisions.add(Decision.RoomGivenUp(open.move))
        return true
    }

    private fun putBack(move: Move): Boolean {
        decisions.add(Decision.PutBack(move))
        return true
    }

    private fun stop(
        open: Open,
        job: Job,
        allocation: Allocation,
    ): Boolean {
        open.stopped = true
        allocation.stopGraceSeconds = if (job.spec.checkpointSeconds > 0) job.spec.saveSeconds * GangRules.CHECKPOINT_GRACE_FACTOR else 0.0
        workers.machines[allocation.machine]?.let(workers::command)
        return true
    }

    private fun advanceGang(
        open: Open,
        job: Job,
    ): Boolean {
        if (job.allocations.isEmpty() || job.highestAttempt != open.move.attempt) return true
        if (isPutBack(open.move) && GangRules.state(job) == GangState.RUNNING) return true
        workers.stopGang(job, "machine ${open.move.from} is drained", settings.permission(job.spec.jobClass) != MovePermission.REPEAT)
        return false
    }

    /** The drain that it was planned for was called off before its stop was sent. */
    private fun isPutBack(move: Move): Boolean = move.reason == MoveReason.DRAIN && workers.machines[move.from]?.draining == false

    private fun mayKeepRoom(open: Open): Boolean {
        val machine = open.move.to?.let { workers.machines[it] } ?: return false
        return context.wallMillis < open.batch.plannedMillis + keepMillis && machine.up && !machine.leaseExpired && !machine.draining &&
            machine.reclaimAt == null
    }

    /** Both places count for room, limits and zones while the task may be on the first. */
    fun kept(): List<CapacityReservation> =
        open.values.mapNotNull { open ->
            val job = registry.jobs[open.move.job]?.takeIf { it.pendingEndState == null && !open.move.isGang } ?: return@mapNotNull null
            val machine =
                open.move.to
                    ?.let { workers.machines[it] }
                    ?.takeIf { mayKeepRoom(open) } ?: return@mapNotNull null
            val startedAnew = (job.allocations.get(open.move.task)?.attempt ?: 0) > open.move.attempt
            if (startedAnew || job.done.get(open.move.task)) null else CapacityReservation(job, open.move.task, machine)
        }

    private fun isUnused(batch: MoveBatch): Boolean =
        batch.durable && !batch.removing && context.wallMillis - batch.plannedMillis > MoveBudget.WINDOW_MILLIS &&
            batch.moves.none { it.job in registry.jobs }

    private fun remove(unused: List<MoveBatch>) {
        unused.forEach { it.removing = true }
        val transaction = Transaction(listOf(leadership.fenceCondition()), unused.map { Change.Delete(it.key) })
        store.commitUntilKnown(transaction, RequestPriority.CLEANUP, leadership.whileLeading(leadership.term)) { result ->
            if (result is TransactionResult.Committed) {
                unused.forEach(::forget)
            } else {
                leadership.stepDownOnPassedTerm()
            }
        }
    }

    private fun forget(batch: MoveBatch) {
        batches.remove(batch.key)
        batch.moves.forEach { counts.remove(it.taskName) }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000
    }
}
