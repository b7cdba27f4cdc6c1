package burlridge.placement

import burlridge.core.StepContext
import burlridge.fleet.Fleet
import burlridge.job.JobSpec
import burlridge.job.Resources
import burlridge.worker.Machine

/** Best fit over a few sampled machines. */
internal class BestFitSelector(
    private val context: StepContext,
    private val fleet: Fleet,
) {
    private val sampleSize = context.settings.operator.sample

    /** Null where nobody balances load. */
    var policy: PlacementPolicy? = null

    fun exceedsQuota(
        name: String,
        use: Resources,
    ): Boolean {
        val team = context.settings.teams[name] ?: return true
        return (team.cpusMax > 0 && use.cpus > team.cpusMax) || (team.gpusMax > 0 && use.gpus > team.gpusMax)
    }

    fun fits(
        spec: JobSpec,
        zones: Map<String, Int>,
        capacity: MachineCapacity,
    ): Boolean =
        (capacity.remainingStarts > 0 || spec.gang) && spec.size.fits(capacity.free) && zoneAllows(spec, zones, capacity.machine.zone)

    private fun zoneAllows(
        spec: JobSpec,
        zones: Map<String, Int>,
        zone: String,
    ): Boolean {
        if (spec.oneZone && zones.keys.any { it != zone }) return false
        return !spec.spread || (zones[zone] ?: 0) < (spec.tasks + 1) / 2
    }

    /** Best fit over a sample drawn from [machines]; what is drawn and has no room any more is struck out. */
    fun sample(
        candidates: MutableList<MachineCapacity>,
        spec: JobSpec,
        zones: Map<String, Int>,
    ): MachineCapacity? {
        var best: MachineCapacity? = null
        var least = Double.MAX_VALUE
        var drawn = 0
        // Drawn ones go to the end, so that none is drawn twice.
        var open = candidates.size
        while (drawn < sampleSize && open > 0) {
            val at = context.random.nextInt(open)
            val capacity = candidates[at]
            open--
            context.count("placement.candidates")
            candidates[at] = candidates[open]
            candidates[open] = capacity
            if (!fits(spec, zones, capacity)) {
                candidates[open] = candidates.last()
                candidates.removeLast()
                continue
            }
            drawn++
            val left = leftover(capacity, spec)
            if (left < least) {
                best = capacity
                least = left
            }
        }
        return best
    }

    private fun leftover(
        capacity: MachineCapacity,
        spec: JobSpec,
    ): Double {
        val left = capacity.free - spec.size
        val memoryUnit = capacity.total.memoryGb.coerceAtLeast(1.0) / capacity.total.cpus.coerceAtLeast(1.0)
        return left.cpus + left.gpus * GPU_WEIGHT + left.memoryGb / memoryUnit / 2 +
            expectedFetchSeconds(capacity.machine, spec) * CPUS_PER_SECOND
    }

    /** As [fetchSeconds], with what else is being fetched there where that is known. */
    fun expectedFetchSeconds(
        machine: Machine,
        spec: JobSpec,
    ): Double = fetchSeconds(machine, spec).let { aloneSeconds -> policy?.fetchSeconds(machine, spec, aloneSeconds) ?: aloneSeconds }

    fun fetchSeconds(
        machine: Machine,
        spec: JobSpec,
    ): Double {
        if (spec.image in machine.images) return 0.0
        val rate = fetchGbPerSecond(machine.type)
        return if (rate > 0) spec.imageGb / rate else 0.0
    }

    fun fetchGbPerSecond(type: String): Double =
        fleet.catalog
            ?.types
            ?.get(type)
            ?.fetchGbPerSecond ?: 0.0

    private companion object {
        /** A second of fetching weighs as much as so many CPUs left over. */
        const val CPUS_PER_SECOND = 0.5
        const val GPU_WEIGHT = 16.0
    }
}
