package burlridge.placement

import burlridge.job.Resources
import burlridge.worker.Machine

/** A machine with free resources, as one placement round uses them up. */
internal class MachineCapacity(
    val machine: Machine,
    val total: Resources,
    var free: Resources,
    /** Only tasks that would otherwise wait too long are placed here. */
    val isAvoided: Boolean = false,
    /** How many more single tasks may be placed here now. */
    var remainingStarts: Int = UNLIMITED_STARTS,
) {
    val hasUnlimitedStarts: Boolean get() = remainingStarts == UNLIMITED_STARTS

    /** Whether no task is on it. */
    val isIdle: Boolean get() = free == total

    /** How many tasks of [size] fit into what is free. */
    fun fitCount(size: Resources): Int = free.fitCount(size)

    /** Takes [size] of what is free. */
    fun take(size: Resources) {
        free -= size
    }

    /** Returns [size], which was taken. */
    fun release(size: Resources) {
        free += size
    }

    internal companion object {
        const val UNLIMITED_STARTS: Int = Int.MAX_VALUE
    }
}
