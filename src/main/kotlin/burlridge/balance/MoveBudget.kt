package burlridge.balance

import burlridge.settings.BalanceSettings

/** Limits how many tasks are moved within a sliding window of about a minute, by this leader and earlier ones together. */
internal class MoveBudget(
    private val settings: BalanceSettings,
) {
    private class SpentMove(
        val atMillis: Long,
        val move: Move,
    )

    private val window = ArrayDeque<SpentMove>()

    /** Forgets all moves. */
    fun clear() = window.clear()

    /** Counts [move] at the time of day [atMillis]. Moves loaded from rows come in no order of time. */
    fun spend(
        move: Move,
        atMillis: Long,
    ) {
        window.addLast(SpentMove(atMillis, move))
    }

    /** Whether [move] keeps to every budget; a gang larger than a budget is never moved. */
    fun permits(
        move: Move,
        nowMillis: Long,
    ): Boolean {
        window.removeIf { nowMillis - it.atMillis > WINDOW_MILLIS }
        return within(settings.movesPerMinute, move) { true } &&
            within(settings.classMovesPerMinute, move) { it.jobClass == move.jobClass } &&
            within(settings.teamMovesPerMinute, move) { it.team == move.team }
    }

    private fun within(
        limit: Int,
        move: Move,
        counts: (Move) -> Boolean,
    ): Boolean = move.tasks <= limit - window.sumOf { if (counts(it.move)) it.move.tasks else 0 }

    /** Tasks moved within the window. */
    fun spent(nowMillis: Long): Int = window.sumOf { if (nowMillis - it.atMillis > WINDOW_MILLIS) 0 else it.move.tasks }

    internal companion object {
        /** A minute plus what the clocks of two leaders may differ by. */
        const val WINDOW_MILLIS: Long = 65_000
    }
}
