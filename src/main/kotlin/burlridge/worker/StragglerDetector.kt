package burlridge.worker

import burlridge.allocation.Allocation
import burlridge.allocation.AllocationPhase
import burlridge.allocation.JobRegistry

/** Compares how long tasks run on a machine with others of the same jobs. */
internal class StragglerDetector(
    private val registry: JobRegistry,
) {
    fun running(machine: Machine): List<Allocation> =
        registry.allocations.byMachine[machine.id]
            ?.values
            ?.filter { it.phase == AllocationPhase.RUNNING }
            .orEmpty()

    fun isSlow(machine: Machine): Boolean {
        // By the last report's time: a machine that cannot be heard is not slow for that.
        val times =
            running(machine).mapNotNull { allocation ->
                val usual = registry.jobs[allocation.job]?.meanRunSeconds ?: return@mapNotNull null
                allocation.startedAt?.let { (machine.lastMessageAt - it) / usual.coerceAtLeast(1.0) }
            }
        val overdue = times.count { it > SLOW }
        return (overdue >= 2 && overdue * 2 > times.size) || (overdue > 0 && overdue == times.size && times.max() > VERY_SLOW)
    }

    internal companion object {
        const val SLOW = 1.6
        private const val VERY_SLOW = 2.2
    }
}
