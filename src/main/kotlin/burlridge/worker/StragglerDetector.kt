package burlridge.worker

import burlridge.allocation.Allocation
import burlridge.allocation.AllocationPhase
import burlridge.allocation.JobRegistry

/** Compares the run times of the tasks on a machine with those of other tasks of the same jobs. */
internal class StragglerDetector(
    private val registry: JobRegistry,
) {
    fun runningOn(machine: Machine): List<Allocation> =
        registry.allocations.byMachine[machine.id]
            ?.values
            ?.filter { it.phase == AllocationPhase.RUNNING }
            .orEmpty()

    /** Whether most of the tasks on [machine], and at least two, are overdue, or all of them far overdue. */
    fun isSlow(machine: Machine): Boolean {
        val factors = runningOn(machine).mapNotNull { runTimeFactor(machine, it) }
        val overdue = factors.count { it > SLOW_FACTOR }
        val areMostOverdue = overdue >= 2 && overdue * 2 > factors.size
        return areMostOverdue || (overdue > 0 && overdue == factors.size && factors.max() > VERY_SLOW_FACTOR)
    }

    /**
     * How many times as long as usual [allocation] has run; null where nothing is known to compare it with. It is measured up to the last
     * message of [machine]: one that is silent is not slow for that.
     */
    private fun runTimeFactor(
        machine: Machine,
        allocation: Allocation,
    ): Double? {
        val usualSeconds = registry.jobs[allocation.job]?.meanRunSeconds ?: return null
        return allocation.startedAt?.let { (machine.lastMessageAt - it) / usualSeconds.coerceAtLeast(MIN_USUAL_SECONDS) }
    }

    internal companion object {
        /** A task that runs longer than so many times the usual time of its job is overdue. */
        const val SLOW_FACTOR: Double = 1.6
        private const val VERY_SLOW_FACTOR = 2.2
        private const val MIN_USUAL_SECONDS = 1.0
    }
}
