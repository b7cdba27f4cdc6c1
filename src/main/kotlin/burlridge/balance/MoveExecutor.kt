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
 * Moves running tasks. Each move is durable in a row before its stop command is sent. The task is stopped, confirmed as stopped by the
 * usual rules, and started with the next attempt number, on the machine with the reservation if that is still valid. If a step fails, the
 * task either keeps running or waits in the queue like any other.
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

    /** Keys of the rows that cannot be decoded; these rows are left unchanged. */
    val damagedRows: Set<String> get() = moves.damagedRows

    /** Whether the write of a row is in flight; no further moves are planned meanwhile. */
    val isWriting: Boolean get() = writer.isWriting

    /** All open moves: loaded ones first, then those of this leader in the order of planning. */
    val openMoves: List<Move> get() = moves.openMoves.map { it.move }

    /** Number of tasks moved within the window of [MoveBudget]. */
    val tasksMovedInWindow: Int get() = moves.tasksMovedInWindow

    /** Maximum number of moves in one row. */
    val maxMovesPerRow: Int = (context.settings.storeLimits.valueBytes / MoveBatch.BYTES_PER_MOVE).coerceAtLeast(1)

    /** Clears all state; called when a term begins or ends. */
    fun clear() {
        moves.clear()
        writer.clear()
    }

    /** Loads a row that an earlier leader wrote. */
    fun load(row: Row) = moves.load(row)

    /** Whether [taskName] has an open move. */
    fun isOpen(taskName: String): Boolean = moves.isOpen(taskName)

    /** Number of times the task has been moved, by any leader. */
    fun moveCountOf(taskName: String): Int = moves.moveCountOf(taskName)

    /** Whether [move] is within all budgets. */
    fun permits(move: Move): Boolean = moves.permits(move)

    /** Charges [move] to the budgets before its row is written, so that the check of the next move includes it. */
    fun charge(move: Move) = moves.charge(move)

    /** Writes the row of the moves [planned], which have been charged already, and stops their tasks once it is durable. */
    fun plan(planned: List<Move>) {
        val batch = writer.newBatch(planned)
        moves.add(batch)
        planned.forEach { decisions.add(Decision.MovePlanned(it)) }
        val taskCount = planned.sumOf { it.taskCount }
        context.count("balance.moves", taskCount)
        context.info("moves planned", "batch" to batch.key, "tasks" to taskCount, "jobs" to planned.distinctBy { it.job }.size)
        writer.write(batch)
    }

    private fun onDurable(batch: MoveBatch) {
        batch.moves.forEach { move -> moves.openMove(move.taskName, batch)?.let(::advance) }
    }

    /** Advances every open move, and deletes the rows that are no longer needed. */
    fun tick() {
        if (moves.isEmpty) return
        moves.openMoves.toList().forEach(::advance)
        writer.removeUnused { !isUnused(it) }
    }

    private fun isUnused(batch: MoveBatch): Boolean =
        batch.isDurable && !batch.isBeingRemoved && context.wallMillis - batch.plannedMillis > MoveBudget.WINDOW_MILLIS &&
            batch.moves.none { it.job in registry.jobs }

    private fun advance(open: OpenMove) {
        if (!open.batch.isDurable) return
        val job = registry.jobs[open.move.job]
        val hasEnded =
            when {
                job == null || job.isCancelling -> true
                open.move.isGang -> advanceGang(open, job)
                else -> advanceTask(open, job)
            }
        if (hasEnded) moves.close(open.move.taskName)
    }

    /** Returns true once the move has ended: the task is done, has started elsewhere, waits like any other, or stays ([isRevoked]). */
    private fun advanceTask(
        open: OpenMove,
        job: Job,
    ): Boolean {
        val move = open.move
        val allocation = job.allocations.get(move.task)
        return when {
            allocation == null -> job.done.get(move.task) || releaseReservationIfLapsed(open)
            allocation.attempt != move.attempt -> true
            open.isStopSent || allocation.stopGraceSeconds != null -> false
            isRevoked(move) -> true.also { decisions.add(Decision.MoveRevoked(move)) }
            else -> false.also { stop(open, job, allocation) }
        }
    }

    private fun releaseReservationIfLapsed(open: OpenMove): Boolean {
        if (isReservationValid(open)) return false
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

    /** Whether the drain for which [move] was planned has been cancelled. */
    private fun isRevoked(move: Move): Boolean = move.reason == MoveReason.DRAIN && workers.machines[move.from]?.isDraining == false

    private fun isReservationValid(open: OpenMove): Boolean {
        val machine = open.move.to?.let { workers.machines[it] } ?: return false
        return context.wallMillis < open.batch.plannedMillis + reservationMillis && machine.isUp && !machine.isLeaseExpired &&
            !machine.isDraining && machine.reclaimAt == null
    }

    /**
     * Returns the capacity reserved for the tasks of open moves. While a task may still run on its source machine, source and target both
     * count towards capacity, quota and spreading over zones.
     */
    fun reservations(): List<CapacityReservation> = moves.openMoves.mapNotNull(::reservation)

    private fun reservation(open: OpenMove): CapacityReservation? {
        val move = open.move
        val job = registry.jobs[move.job]?.takeIf { !it.isEnding && !move.isGang } ?: return null
        val machine = move.to?.let { workers.machines[it] }?.takeIf { isReservationValid(open) } ?: return null
        val hasStartedElsewhere = (job.allocations.get(move.task)?.attempt ?: 0) > move.attempt
        return if (hasStartedElsewhere || job.done.get(move.task)) null else CapacityReservation(job, move.task, machine)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000
    }
}
