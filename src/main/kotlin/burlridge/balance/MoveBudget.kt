package burlridge.balance

import burlridge.settings.BalanceSettings

/** Limits how many tasks this leader and earlier ones together move within a sliding window of about a minute. */
internal class MoveBudget(
    private val settings: BalanceSettings,
) {
    private class ChargedMove(
        val atMillis: Long,
        val move: Move,
    )

    private val window = ArrayDeque<ChargedMove>()

    /** Clears the window. */
    fun clear() = window.clear()

    /** Charges [move] to the budgets at the wall-clock time [atMillis]. Moves loaded from rows arrive in no chronological order. */
    fun charge(
        move: Move,
        atMillis: Long,
    ) {
        window.addLast(ChargedMove(atMillis, move))
    }

    /** Whether [move] is within every budget. A gang larger than a budget is never moved. */
    fun permits(
        move: Move,
        nowMillis: Long,
    ): Boolean {
        window.removeIf { nowMillis - it.atMillis > WINDOW_MILLIS }
        return isWithinLimit(settings.movesPerMinute, move) { true } &&
            isWithinLimit(settings.classMovesPerMinute, move) { it.jobClass == move.jobClass } &&
            isWithinLimit(settings.teamMovesPerMinute, move) { it.team == move.team }
    }

    private fun isWithinLimit(
        limit: Int,
        move: Move,
        counts: (Move) -> Boolean,
    ): Boolean = move.taskCount <= limit - window.sumOf { if (counts(it.move)) it.move.taskCount else 0 }

    /** Number of tasks moved within the window. */
    fun tasksInWindow(nowMillis: Long): Int = window.sumOf { if (nowMillis - it.atMillis > WINDOW_MILLIS) 0 else it.move.taskCount }

    internal companion object {
        /** A minute plus the clock skew between two leaders. */
        const val WINDOW_MILLIS: Long = 65_000
    }
}
