package burlridge.worker

import burlridge.allocation.Allocation
import burlridge.allocation.AllocationPhase
import burlridge.allocation.JobRegistry

/** Compares the run times of the tasks on a machine with those of other tasks of the same jobs. */
internal class StragglerDetector(
    private val registry: JobRegistry,
) {
    /** Returns the allocations of the tasks that run on [machine]. */
    fun runningOn(machine: Machine): List<Allocation> =
        registry.allocations.byMachine[machine.id]
            ?.values
            ?.filter { it.phase == AllocationPhase.RUNNING }
            .orEmpty()

    /**
     * Whether [machine] is slow: at least two and more than half of its comparable tasks are overdue, or all of them are overdue and at
     * least one exceeds [VERY_SLOW_FACTOR].
     */
    fun isSlow(machine: Machine): Boolean {
        val factors = runningOn(machine).mapNotNull { runTimeFactor(machine, it) }
        val overdue = factors.count { it > SLOW_FACTOR }
        val areMostOverdue = overdue >= 2 && overdue * 2 > factors.size
        return areMostOverdue || (overdue > 0 && overdue == factors.size && factors.max() > VERY_SLOW_FACTOR)
    }

    /**
     * Returns the run time of [allocation] so far, as a multiple of the mean run time of its job; null if there is nothing to compare with.
     * It is measured up to the last message of [machine], so that a silent machine does not count as slow for its silence.
     */
    private fun runTimeFactor(
        machine: Machine,
        allocation: Allocation,
    ): Double? {
        val meanSeconds = registry.jobs[allocation.job]?.meanRunSeconds ?: return null
        return allocation.startedAt?.let { (machine.lastMessageAt - it) / meanSeconds.coerceAtLeast(MIN_MEAN_SECONDS) }
    }

    internal companion object {
        /** A task is overdue if it has run longer than this multiple of the mean run time of its job. */
        const val SLOW_FACTOR: Double = 1.6
        private const val VERY_SLOW_FACTOR = 2.2
        private const val MIN_MEAN_SECONDS = 1.0
    }
}
