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

    /** How many more starts [machine] may get now; [UNLIMITED] once it has been up for a while. */
    fun startsLeft(machine: Machine): Int {
        if (!isCold(machine)) return UNLIMITED
        val running = machine.reportedTasks.values.count { it.state == TaskState.Known.RUNNING }
        return (maxOf(settings.coldStarts, running * GROWTH) - starting(machine).size).coerceAtLeast(0)
    }

    private fun isCold(machine: Machine): Boolean {
        if (coldSeconds <= 0.0) return false
        // To a new leader every machine is new, so the time of its rental bounds how long it can have been up.
        val upSince = if (machine.rentedAt > 0) minOf(machine.upSince, machine.rentedAt + bootSeconds(machine.type) * LONG_BOOT) else NEVER
        return context.now < maxOf(upSince, machine.epochChangedAt) + coldSeconds
    }

    private fun starting(machine: Machine): List<Allocation> =
        registry.allocations.byMachine[machine.id]
            ?.values
            ?.filter { it.phase < AllocationPhase.AWAITING_GANG }
            .orEmpty()

    /**
     * How long [spec]'s image takes to be there, which takes [aloneSeconds] if nothing else is fetched: images share the machine's
     * rate.
     */
    fun fetchSeconds(
        machine: Machine,
        spec: JobSpec,
        aloneSeconds: Double,
    ): Double {
        if (aloneSeconds <= 0.0) return 0.0
        val images = starting(machine).mapNotNullTo(HashSet()) { registry.jobs[it.job]?.spec?.image }
        images.removeAll(machine.images.keys)
        return if (images.remove(spec.image)) aloneSeconds * HALF_DONE * (1 + images.size) else aloneSeconds * (1 + images.size)
    }

    internal companion object {
        const val UNLIMITED: Int = Int.MAX_VALUE
        private const val GROWTH = 2
        private const val LONG_BOOT = 1.5
        private const val NEVER = -1e9

        /** On average half of a fetch that is under way remains. */
        private const val HALF_DONE = 0.5
    }
}
