package burlridge.balance

import burlridge.allocation.Allocation
import burlridge.allocation.AllocationPhase
import burlridge.allocation.JobRegistry
import burlridge.core.StepContext
import burlridge.job.JobSpec
import burlridge.settings.BalanceSettings
import burlridge.worker.Machine
import burlridge.worker.TaskState

/**
 * Limits what a machine gets at once that has just joined, or whose worker has just begun a new session: a few starts, and twice as many as
 * are seen to run there. What it goes by is the cloud's list and the worker's last report, so that the next leader judges alike.
 */
internal class SlowStart(
    private val context: StepContext,
    private val settings: BalanceSettings,
    private val registry: JobRegistry,
    /** Seconds that machines of a type usually take to come up. */
    private val bootSeconds: (type: String) -> Double,
) {
    private val coldSeconds = settings.coldReports * context.settings.workers.reportSeconds

    /** How many more starts [machine] may get now; [UNLIMITED_STARTS] once it has been up for a while. */
    fun remainingStarts(machine: Machine): Int {
        if (!isCold(machine)) return UNLIMITED_STARTS
        val running = machine.reportedTasks.values.count { it.state == TaskState.Known.RUNNING }
        return (maxOf(settings.coldStarts, running * STARTS_PER_RUNNING_TASK) - startingAllocations(machine).size).coerceAtLeast(0)
    }

    private fun isCold(machine: Machine): Boolean {
        if (coldSeconds <= 0.0) return false
        // To a new leader every machine is new, so the time of its rental bounds how long it can have been up.
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
     * How long [spec]'s image takes to be there, which takes [uncontendedSeconds] if nothing else is fetched: images share the machine's
     * rate.
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

    internal companion object {
        const val UNLIMITED_STARTS: Int = Int.MAX_VALUE
        private const val STARTS_PER_RUNNING_TASK = 2
        private const val BOOT_TIME_MARGIN = 1.5
        private const val LONG_AGO = -1e9

        /** On average half of a fetch that is under way remains. */
        private const val MEAN_REMAINING_FETCH_SHARE = 0.5
    }
}
