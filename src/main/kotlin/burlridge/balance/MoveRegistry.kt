package burlridge.balance

import burlridge.core.StepContext
import burlridge.settings.BalanceSettings
import burlridge.store.Row

/** A move whose task has not been stopped yet, or has not started elsewhere yet. */
internal class OpenMove(
    val move: Move,
    val batch: MoveBatch,
) {
    /** Whether this leader has sent the stop command. */
    var isStopSent: Boolean = false
}

/** The moves of this leader and earlier ones: the open moves, the number of moves of each task, and the use of the budgets. */
internal class MoveRegistry(
    private val context: StepContext,
    settings: BalanceSettings,
) {
    private val budget = MoveBudget(settings)
    private val batches = LinkedHashMap<String, MoveBatch>()
    private val open = LinkedHashMap<String, OpenMove>()
    private val counts = HashMap<String, Int>()

    /** Keys of the rows that cannot be decoded; these rows are left unchanged. */
    val damagedRows: LinkedHashSet<String> = LinkedHashSet()

    /** Whether no batch is known. */
    val isEmpty: Boolean get() = batches.isEmpty()

    /** All batches whose rows may exist: loaded ones first, then those of this leader in the order of planning. */
    val allBatches: Collection<MoveBatch> get() = batches.values

    /** All open moves: loaded ones first, then those of this leader in the order of planning. */
    val openMoves: Collection<OpenMove> get() = open.values

    /** Number of tasks moved within the window of [MoveBudget]. */
    val tasksMovedInWindow: Int get() = budget.tasksInWindow(context.wallMillis)

    /** Clears all state; called when a term begins or ends. */
    fun clear() {
        budget.clear()
        batches.clear()
        open.clear()
        counts.clear()
        damagedRows.clear()
    }

    /** Loads a row that an earlier leader wrote. */
    fun load(row: Row) {
        val batch = MoveBatch.decode(row)
        if (batch != null) {
            addLoaded(batch)
        } else if (damagedRows.add(row.key)) {
            context.infoLimited("move row unreadable", "row" to row.key)
        }
    }

    private fun addLoaded(batch: MoveBatch) {
        batches[batch.key] = batch
        for (move in batch.moves) {
            budget.charge(move, batch.plannedMillis)
            counts.merge(move.taskName, move.moveNumber, ::maxOf)
            val before = open[move.taskName]
            if (before == null || before.move.attempt < move.attempt) open[move.taskName] = OpenMove(move, batch)
        }
    }

    /** Adds a batch of this leader, whose moves have been charged to the budgets already. */
    fun add(batch: MoveBatch) {
        batches[batch.key] = batch
        for (move in batch.moves) {
            counts[move.taskName] = move.moveNumber
            open[move.taskName] = OpenMove(move, batch)
        }
    }

    /** Removes a batch that was never written, with its open moves. */
    fun discard(batch: MoveBatch) {
        batches.remove(batch.key)
        batch.moves.forEach { open.remove(it.taskName) }
    }

    /** Removes a batch whose row has been deleted. */
    fun removeBatch(batch: MoveBatch) {
        batches.remove(batch.key)
        batch.moves.forEach { counts.remove(it.taskName) }
    }

    /** Removes the open move of [taskName]. */
    fun close(taskName: String) {
        open.remove(taskName)
    }

    /** Returns the open move of [taskName] if it belongs to [batch]. */
    fun openMove(
        taskName: String,
        batch: MoveBatch,
    ): OpenMove? = open[taskName]?.takeIf { it.batch === batch }

    /** Whether [taskName] has an open move. */
    fun isOpen(taskName: String): Boolean = taskName in open

    /** Number of times the task has been moved, by any leader. */
    fun moveCountOf(taskName: String): Int = counts[taskName] ?: 0

    /** Whether [move] is within all budgets. */
    fun permits(move: Move): Boolean = budget.permits(move, context.wallMillis)

    /** Charges [move] to the budgets before its row is written, so that the check of the next move includes it. */
    fun charge(move: Move) = budget.charge(move, context.wallMillis)
}
