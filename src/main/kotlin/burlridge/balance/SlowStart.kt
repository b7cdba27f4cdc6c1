package burlridge.balance

import burlridge.allocation.Allocation
import burlridge.allocation.AllocationPhase
import burlridge.allocation.JobRegistry
import burlridge.core.StepContext
import burlridge.job.JobSpec
import burlridge.placement.MachineCapacity
import burlridge.settings.BalanceSettings
import burlridge.worker.Machine
import burlridge.worker.TaskState

/**
 * Limits how many tasks start at the same time on a machine that has just joined, or whose worker has just begun a new agent epoch: a few,
 * or twice as many as already run there. It uses only the cloud's list and the worker's last heartbeat, so that the next leader decides
 * alike.
 */
internal class SlowStart(
    private val context: StepContext,
    private val settings: BalanceSettings,
    private val registry: JobRegistry,
    /** Returns the usual boot time of machines of a type, in seconds. */
    private val bootSeconds: (type: String) -> Double,
) {
    private val coldSeconds = settings.coldReports * context.settings.workers.reportSeconds

    /** Number of tasks that may still be started on [machine] now; [MachineCapacity.UNLIMITED_STARTS] once it has been up for a while. */
    fun remainingStarts(machine: Machine): Int {
        if (!isCold(machine)) return MachineCapacity.UNLIMITED_STARTS
        val running = machine.reportedTasks.values.count { it.state == TaskState.Known.RUNNING }
        return (maxOf(settings.coldStarts, running * STARTS_PER_RUNNING_TASK) - startingAllocations(machine).size).coerceAtLeast(0)
    }

    private fun isCold(machine: Machine): Boolean {
        if (coldSeconds <= 0.0) return false
        // To a new leader every machine looks new, so the rental time gives the latest time at which the machine can have come up.
        val upSince =
            if (machine.rentedAt >
                0
            ) {
                minOf(machine.upSince, machine.rentedAt + bootSeconds(machine.type) * BOOT_TIME_MARGIN)
            } else {
                LONG_AGO
            }
        return context.now < maxOf(upSince, machine.epochChangedAt) + coldSeconds
    }

    private fun startingAllocations(machine: Machine): List<Allocation> =
        registry.allocations.byMachine[machine.id]
            ?.values
            ?.filter { it.phase < AllocationPhase.AWAITING_GANG }
            .orEmpty()

    /**
     * Expected time until the image of [spec] is on [machine], in seconds. The fetch takes [uncontendedSeconds] if nothing else is fetched;
     * concurrent fetches share the machine's bandwidth.
     */
    fun fetchSeconds(
        machine: Machine,
        spec: JobSpec,
        uncontendedSeconds: Double,
    ): Double {
        if (uncontendedSeconds <= 0.0) return 0.0
        val imagesBeingFetched = startingAllocations(machine).mapNotNullTo(HashSet()) { registry.jobs[it.job]?.spec?.image }
        imagesBeingFetched.removeAll(machine.images.keys)
        return if (imagesBeingFetched.remove(spec.image)) {
            uncontendedSeconds * MEAN_REMAINING_FETCH_SHARE * (1 + imagesBeingFetched.size)
        } else {
            uncontendedSeconds *
                (1 + imagesBeingFetched.size)
        }
    }

    private companion object {
        const val STARTS_PER_RUNNING_TASK = 2
        const val BOOT_TIME_MARGIN = 1.5
        const val LONG_AGO = -1e9

        /** On average, half of a fetch in progress remains. */
        const val MEAN_REMAINING_FETCH_SHARE = 0.5
    }
}
