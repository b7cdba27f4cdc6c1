package burlridge.balance

import burlridge.settings.BalanceSettings

/** How many tasks have been moved within the last minute or so, by this leader and by those before it. */
internal class MoveBudget(
    private val settings: BalanceSettings,
) {
    private class SpentMove(
        val atMillis: Long,
        val move: Move,
    )

    private val window = ArrayDeque<SpentMove>()

    fun clear() = window.clear()

    /** Moves come in the order of time but for those of rows, which come in no order. */
    fun spend(
        move: Move,
        atMillis: Long,
    ) {
        window.addLast(SpentMove(atMillis, move))
    }

    /** Whether [move] keeps to every budget; a gang that is larger than one is never moved. */
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
        most: Int,
        move: Move,
        counts: (Move) -> Boolean,
    ): Boolean = move.tasks <= most - window.sumOf { if (counts(it.move)) it.move.tasks else 0 }

    /** Tasks moved within the last minute or so. */
    fun spent(nowMillis: Long): Int = window.sumOf { if (nowMillis - it.atMillis > WINDOW_MILLIS) 0 else it.move.tasks }

    internal companion object {
        /** A minute, and with it what the times of day of two leaders may differ by. */
        const val WINDOW_MILLIS: Long = 65_000
    }
}
