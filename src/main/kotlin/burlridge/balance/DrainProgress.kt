package burlridge.balance

import java.util.EnumMap

/** Why a task is still on a machine that is drained; [text] is what operators read. */
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

/** What is left on the machines of one drain. */
internal class DrainProgress {
    /** Machines that the drain covers and that are still there. */
    var machineCount: Int = 0

    /** Remaining tasks by the delay why they are still there. */
    val tasksByDelay: EnumMap<EvictionDelay, Int> = EnumMap(EvictionDelay::class.java)

    /** Counts [count] further tasks that remain for [delay]. */
    fun addRemaining(
        delay: EvictionDelay,
        count: Int = 1,
    ) {
        tasksByDelay.merge(delay, count, Int::plus)
    }
}
