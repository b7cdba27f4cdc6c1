package burlridge.balance

import burlridge.allocation.Allocation
import burlridge.allocation.GangRules
import burlridge.allocation.GangState
import burlridge.allocation.Job
import burlridge.allocation.JobRegistry
import burlridge.core.StepContext
import burlridge.leadership.Leadership
import burlridge.placement.CapacityReservation
import burlridge.settings.BalanceSettings
import burlridge.settings.MovePermission
import burlridge.store.Row
import burlridge.store.StoreClient
import burlridge.worker.StopReason
import burlridge.worker.WorkerManager

/**
 * Moves running tasks. Each move is durable in a row before its stop is sent: the task is stopped, proven gone by the ordinary rules, and
 * started under the next attempt, where capacity was reserved if it still is. Whatever fails, the task runs on or waits like any other.
 */
internal class MoveExecutor(
    private val context: StepContext,
    private val settings: BalanceSettings,
    store: StoreClient,
    leadership: Leadership,
    private val registry: JobRegistry,
    private val workers: WorkerManager,
    private val decisions: DecisionLog,
) {
    private val moves = MoveRegistry(context, settings)
    private val writer = MoveBatchWriter(context, store, leadership, moves, ::onDurable)
    private val reservationMillis = (settings.reservationLeases * context.settings.workers.leaseSeconds * MILLIS_PER_SECOND).toLong()

    /** Keys of rows that cannot be read; they are left as they are. */
    val damaged: Set<String> get() = moves.damaged

    /** Whether the outcome of a row is open; no more is planned meanwhile. */
    val writing: Boolean get() = writer.isWriting

    /** All open moves, oldest first. */
    val openMoves: List<Move> get() = moves.openMoves.map { it.move }

    /** Tasks moved within the budget's window. */
    val spentLately: Int get() = moves.spentLately

    /** How many moves one row holds. */
    val maxMovesPerRow: Int = (context.settings.storeLimits.valueBytes / MoveBatch.BYTES_PER_MOVE).coerceAtLeast(1)

    /** Forgets everything: a new term begins, or this one has ended. */
    fun clear() {
        moves.clear()
        writer.clear()
    }

    /** Takes over a row of an earlier leader. */
    fun load(row: Row) = moves.load(row)

    /** Whether a move of [taskName] is open. */
    fun isOpen(taskName: String): Boolean = moves.isOpen(taskName)

    /** How often the task has been moved, by any leader. */
    fun countOf(taskName: String): Int = moves.countOf(taskName)

    /** Whether [move] keeps to all budgets. */
    fun permits(move: Move): Boolean = moves.permits(move)

    /** Counts [move] before its row is written, so that the next one that is checked sees it. */
    fun spend(move: Move) = moves.spend(move)

    /** Writes the row of [planned], which have been spent, and then stops their tasks. */
    fun plan(planned: List<Move>) {
        val batch = writer.newBatch(planned)
        moves.add(batch)
        planned.forEach { decisions.add(Decision.MovePlanned(it)) }
        val tasks = planned.sumOf { it.tasks }
        context.count("balance.moves", tasks)
        context.info("moves planned", "batch" to batch.key, "tasks" to tasks, "jobs" to planned.distinctBy { it.job }.size)
        writer.write(batch)
    }

    private fun onDurable(batch: MoveBatch) {
        batch.moves.forEach { move -> moves.openMove(move.taskName, batch)?.let(::advance) }
    }

    /** Advances every open move, and removes the rows that nobody needs any more. */
    fun tick() {
        if (moves.isEmpty) return
        moves.openMoves.toList().forEach(::advance)
        writer.removeUnused { !isUnused(it) }
    }

    private fun isUnused(batch: MoveBatch): Boolean =
        batch.durable && !batch.removing && context.wallMillis - batch.plannedMillis > MoveBudget.WINDOW_MILLIS &&
            batch.moves.none { it.job in registry.jobs }

    private fun advance(open: OpenMove) {
        if (!open.batch.durable) return
        val job = registry.jobs[open.move.job]
        val hasEnded =
            when {
                job == null || job.isCancelling -> true
                open.move.isGang -> advanceGang(open, job)
                else -> advanceTask(open, job)
            }
        if (hasEnded) moves.close(open.move.taskName)
    }

    /** True once the move has ended: the task is done, started elsewhere, or waits like any other. */
    private fun advanceTask(
        open: OpenMove,
        job: Job,
    ): Boolean {
        val move = open.move
        val allocation = job.allocations.get(move.task)
        return when {
            allocation == null -> job.done.get(move.task) || releasesReservation(open)
            allocation.attempt != move.attempt -> true
            open.isStopSent || allocation.stopGraceSeconds != null -> false
            isRevoked(move) -> true.also { decisions.add(Decision.MoveRevoked(move)) }
            else -> false.also { stop(open, job, allocation) }
        }
    }

    private fun releasesReservation(open: OpenMove): Boolean {
        if (holdsReservation(open)) return false
        if (open.move.to != null) decisions.add(Decision.ReservationReleased(open.move))
        return true
    }

    private fun stop(
        open: OpenMove,
        job: Job,
        allocation: Allocation,
    ) {
        open.isStopSent = true
        allocation.stopGraceSeconds =
            if (job.spec.checkpointIntervalSeconds > 0) job.spec.saveSeconds * GangRules.CHECKPOINT_GRACE_FACTOR else 0.0
        workers.machines[allocation.machine]?.let(workers::sendPendingCommands)
    }

    private fun advanceGang(
        open: OpenMove,
        job: Job,
    ): Boolean {
        if (job.allocations.isEmpty() || job.highestAttempt != open.move.attempt) return true
        if (isRevoked(open.move) && GangRules.state(job) == GangState.RUNNING) return true
        val mustSave = settings.permission(job.spec.jobClass) != MovePermission.REPEAT
        workers.stopGang(job, StopReason.MACHINE_DRAINED, open.move.from, mustSave)
        return false
    }

    /** The drain for which it was planned was cancelled before its stop was sent. */
    private fun isRevoked(move: Move): Boolean = move.reason == MoveReason.DRAIN && workers.machines[move.from]?.isDraining == false

    private fun holdsReservation(open: OpenMove): Boolean {
        val machine = open.move.to?.let { workers.machines[it] } ?: return false
        return context.wallMillis < open.batch.plannedMillis + reservationMillis && machine.isUp && !machine.isLeaseExpired &&
            !machine.isDraining && machine.reclaimAt == null
    }

    /** Capacity that is held for tasks of open moves; both places count for capacity, quota and zones while the task may be on the first. */
    fun reservations(): List<CapacityReservation> = moves.openMoves.mapNotNull(::reservation)

    private fun reservation(open: OpenMove): CapacityReservation? {
        val move = open.move
        val job = registry.jobs[move.job]?.takeIf { !it.isEnding && !move.isGang } ?: return null
        val machine = move.to?.let { workers.machines[it] }?.takeIf { holdsReservation(open) } ?: return null
        val hasStartedElsewhere = (job.allocations.get(move.task)?.attempt ?: 0) > move.attempt
        return if (hasStartedElsewhere || job.done.get(move.task)) null else CapacityReservation(job, move.task, machine)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000
    }
}
