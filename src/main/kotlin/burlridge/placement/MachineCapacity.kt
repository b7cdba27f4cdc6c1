package burlridge.placement

import burlridge.job.Resources
import burlridge.worker.Machine

/** A machine, and the resources that are still free on it in the course of a placement round. */
internal class MachineCapacity(
    val machine: Machine,
    val total: Resources,
    var free: Resources,
    /** Whether only tasks that would otherwise wait too long are placed here. */
    val isAvoided: Boolean = false,
    /** Number of tasks that may still be started here now; tasks of gangs do not count. */
    var remainingStarts: Int = UNLIMITED_STARTS,
) {
    val hasUnlimitedStarts: Boolean get() = remainingStarts == UNLIMITED_STARTS

    /** Whether all of its resources are free. */
    val isIdle: Boolean get() = free == total

    /** Number of tasks of [size] that fit into the free resources. */
    fun fitCount(size: Resources): Int = free.fitCount(size)

    /** Takes [size] from the free resources. */
    fun take(size: Resources) {
        free -= size
    }

    /** Gives [size], which was taken before, back to the free resources. */
    fun release(size: Resources) {
        free += size
    }

    internal companion object {
        const val UNLIMITED_STARTS: Int = Int.MAX_VALUE
    }
}
