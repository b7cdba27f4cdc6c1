package burlridge.balance

import burlridge.core.StepContext
import burlridge.settings.BalanceSettings
import burlridge.store.Row

/** A move whose task may still have to be stopped, or has not started elsewhere yet. */
internal class OpenMove(
    val move: Move,
    val batch: MoveBatch,
) {
    /** The stop was sent by this leader. */
    var isStopSent: Boolean = false
}

/** The moves of this leader and of earlier ones: those that are open, how often each task was moved, and what was spent of the budgets. */
internal class MoveRegistry(
    private val context: StepContext,
    settings: BalanceSettings,
) {
    private val budget = MoveBudget(settings)
    private val batches = LinkedHashMap<String, MoveBatch>()
    private val open = LinkedHashMap<String, OpenMove>()
    private val counts = HashMap<String, Int>()

    /** Keys of rows that cannot be read; they are left as they are. */
    val damagedRows: LinkedHashSet<String> = LinkedHashSet()

    /** Whether no batch is known. */
    val isEmpty: Boolean get() = batches.isEmpty()

    /** All batches whose rows may exist, oldest first. */
    val allBatches: Collection<MoveBatch> get() = batches.values

    /** All open moves, oldest first. */
    val openMoves: Collection<OpenMove> get() = open.values

    /** Tasks moved within the budget's window. */
    val tasksMovedInWindow: Int get() = budget.tasksInWindow(context.wallMillis)

    /** Forgets everything: a new term begins, or this one has ended. */
    fun clear() {
        budget.clear()
        batches.clear()
        open.clear()
        counts.clear()
        damagedRows.clear()
    }

    /** Takes over a row of an earlier leader. */
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

    /** Adds a batch of this leader; its moves have been spent. */
    fun add(batch: MoveBatch) {
        batches[batch.key] = batch
        for (move in batch.moves) {
            counts[move.taskName] = move.moveNumber
            open[move.taskName] = OpenMove(move, batch)
        }
    }

    /** Drops a batch that was never written, with its open moves. */
    fun discard(batch: MoveBatch) {
        batches.remove(batch.key)
        batch.moves.forEach { open.remove(it.taskName) }
    }

    /** Forgets a batch whose row is removed. */
    fun removeBatch(batch: MoveBatch) {
        batches.remove(batch.key)
        batch.moves.forEach { counts.remove(it.taskName) }
    }

    /** Ends the open move of [taskName]. */
    fun close(taskName: String) {
        open.remove(taskName)
    }

    /** The open move of [taskName] if it belongs to [batch]. */
    fun openMove(
        taskName: String,
        batch: MoveBatch,
    ): OpenMove? = open[taskName]?.takeIf { it.batch === batch }

    /** Whether a move of [taskName] is open. */
    fun isOpen(taskName: String): Boolean = taskName in open

    /** How often the task has been moved, by any leader. */
    fun moveCountOf(taskName: String): Int = counts[taskName] ?: 0

    /** Whether [move] keeps to all budgets. */
    fun permits(move: Move): Boolean = budget.permits(move, context.wallMillis)

    /** Counts [move] before its row is written, so that the next one that is checked sees it. */
    fun charge(move: Move) = budget.charge(move, context.wallMillis)
}
