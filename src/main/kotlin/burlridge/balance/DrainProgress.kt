package burlridge.balance

import java.util.EnumMap

/** Why a task is still on a drained machine; [text] is shown to operators. */
internal enum class EvictionDelay(
    val text: String,
) {
    STOPPING("being stopped"),
    FINISHING("surely ends soon"),
    NOT_PERMITTED("its class is never moved"),
    NO_CHECKPOINTS("does not save and may not be repeated"),
    MOVE_LIMIT_REACHED("has been moved as often as it may"),
    OVER_BUDGET("waits for the budget of moves"),
    NO_CAPACITY("waits for room elsewhere"),
    NO_HEARTBEAT("its machine is not heard, so nothing can be proven of it"),
    STARTING("its start is under way"),
}

/** The machines and tasks that one drain still has to empty. */
internal class DrainProgress {
    /** Number of existing machines that the drain covers. */
    var machineCount: Int = 0

    /** Number of remaining tasks by the reason why they are still there. */
    val tasksByDelay: EnumMap<EvictionDelay, Int> = EnumMap(EvictionDelay::class.java)

    /** Adds [count] tasks that remain because of [delay]. */
    fun addRemaining(
        delay: EvictionDelay,
        count: Int = 1,
    ) {
        tasksByDelay.merge(delay, count, Int::plus)
    }
}
