package burlridge.placement

import burlridge.core.StepContext
import burlridge.fleet.Fleet
import burlridge.job.JobSpec
import burlridge.worker.Machine

/** Selects the machine for a task: best fit over a few machines sampled at random. */
internal class BestFitSelector(
    private val context: StepContext,
    private val fleet: Fleet,
) {
    private val sampleSize = context.settings.operator.sampleSize

    /** Null if load balancing is not enabled. */
    var policy: PlacementPolicy? = null

    /** Whether a task of [spec] may be placed on [capacity], given how many tasks of its job are in each zone. */
    fun fits(
        spec: JobSpec,
        taskCountByZone: Map<String, Int>,
        capacity: MachineCapacity,
    ): Boolean =
        (capacity.remainingStarts > 0 || spec.gang) && spec.taskResources.fits(capacity.free) &&
            isZoneAllowed(spec, taskCountByZone, capacity.machine.zone)

    private fun isZoneAllowed(
        spec: JobSpec,
        taskCountByZone: Map<String, Int>,
        zone: String,
    ): Boolean {
        if (spec.oneZone && taskCountByZone.keys.any { it != zone }) return false
        return !spec.spread || (taskCountByZone[zone] ?: 0) < (spec.taskCount + 1) / 2
    }

    /**
     * Returns the best fit for a task of [spec] among a random sample of [candidates], or null if none of them fits. A drawn candidate that
     * does not fit is removed from [candidates]; one that fits is moved towards the end of the list, so that none is drawn twice.
     */
    fun select(
        candidates: MutableList<MachineCapacity>,
        spec: JobSpec,
        taskCountByZone: Map<String, Int>,
    ): MachineCapacity? {
        var best: MachineCapacity? = null
        var lowestCost = Double.MAX_VALUE
        var sampled = 0
        var undrawn = candidates.size
        while (sampled < sampleSize && undrawn > 0) {
            val drawnIndex = context.random.nextInt(undrawn)
            val capacity = candidates[drawnIndex]
            undrawn--
            context.count("placement.candidates")
            candidates[drawnIndex] = candidates[undrawn]
            candidates[undrawn] = capacity
            if (!fits(spec, taskCountByZone, capacity)) {
                candidates[undrawn] = candidates.last()
                candidates.removeLast()
                continue
            }
            sampled++
            val cost = cost(capacity, spec)
            if (cost < lowestCost) {
                best = capacity
                lowestCost = cost
            }
        }
        return best
    }

    /**
     * Cost of placing a task of [spec] on [capacity]: the resources that would stay free there and the duration of the image fetch, both
     * converted to CPUs.
     */
    private fun cost(
        capacity: MachineCapacity,
        spec: JobSpec,
    ): Double {
        val unused = capacity.free - spec.taskResources
        val memoryGbPerCpu = capacity.total.memoryGb.coerceAtLeast(1.0) / capacity.total.cpus.coerceAtLeast(1.0)
        return unused.cpus + unused.gpus * CPUS_PER_GPU + unused.memoryGb / memoryGbPerCpu / 2 +
            expectedFetchSeconds(capacity.machine, spec) * CPUS_PER_FETCH_SECOND
    }

    /** Like [fetchSeconds], but accounts for other images that are being fetched on [machine], if these are known. */
    fun expectedFetchSeconds(
        machine: Machine,
        spec: JobSpec,
    ): Double {
        val uncontendedSeconds = fetchSeconds(machine, spec)
        return policy?.fetchSeconds(machine, spec, uncontendedSeconds) ?: uncontendedSeconds
    }

    /**
     * Seconds that [machine] takes to fetch the image of [spec] if it fetches nothing else; 0 if it holds the image or its fetch rate is
     * not known.
     */
    fun fetchSeconds(
        machine: Machine,
        spec: JobSpec,
    ): Double {
        if (spec.image in machine.images) return 0.0
        val rate = fetchGbPerSecond(machine.type)
        return if (rate > 0) spec.imageGb / rate else 0.0
    }

    /** The fetch rate of machines of [type]; 0 if it is not known. */
    fun fetchGbPerSecond(type: String): Double =
        fleet.catalog
            ?.types
            ?.get(type)
            ?.fetchGbPerSecond ?: 0.0

    private companion object {
        const val CPUS_PER_FETCH_SECOND = 0.5
        const val CPUS_PER_GPU = 16.0
    }
}
