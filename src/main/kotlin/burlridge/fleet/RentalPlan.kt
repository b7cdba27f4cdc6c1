package burlridge.fleet

import burlridge.job.JobSpec

/** Fits the needs into the free [capacities] one after the other, and adds the machines to be rented for what does not fit. */
internal class RentalPlan(
    private val catalog: Catalog,
    val capacities: MutableList<FreeCapacity>,
    private val scaleOut: ScaleOut,
    private val indispensableTypes: Set<String>,
) {
    /** How many machines of each offering are to be rented. */
    val machineCounts: LinkedHashMap<InstanceOffering, Int> = LinkedHashMap()

    /** By job class: the tasks of earlier needs that fit, and those that are left to wait. */
    private val fittingTasks = HashMap<String, Int>()
    private val waitingTasks = HashMap<String, Int>()

    fun meet(need: CapacityDemand.Need) {
        val spec = inOneZone(need)
        val unfitted = rentFor(need, spec, fitFree(spec, need.tasks))
        waitingTasks.merge(spec.jobClass, unfitted, Int::plus)
        fittingTasks.merge(spec.jobClass, need.tasks - unfitted, Int::plus)
    }

    /** Fits up to [tasks] tasks into what is free; returns how many did not fit. */
    private fun fitFree(
        spec: JobSpec,
        tasks: Int,
    ): Int {
        var remaining = tasks
        for (capacity in capacities) {
            if (remaining == 0) break
            if (capacity.allows(spec)) remaining -= capacity.take(spec.taskResources, remaining)
        }
        return remaining
    }

    /** Adds machines for [tasks] tasks; returns how many are left to wait. */
    private fun rentFor(
        need: CapacityDemand.Need,
        spec: JobSpec,
        tasks: Int,
    ): Int {
        var remaining = tasks
        while (remaining > 0) {
            val offering =
                PriceSelector.cheapest(catalog, spec, indispensableTypes, scaleOut::isRefused) { canWait(need, remaining) } ?: break
            if (!canAdd(offering)) break
            machineCounts.merge(offering, 1, Int::plus)
            val capacity = FreeCapacity(offering, catalog.types.getValue(offering.type).size)
            remaining -= capacity.take(spec.taskResources, remaining).coerceAtLeast(1)
            capacities += capacity
        }
        return remaining
    }

    private fun canAdd(offering: InstanceOffering): Boolean {
        val remainingCalls = ScaleOut.MAX_OPEN_CALLS - scaleOut.openCallsFor(offering)
        return (machineCounts[offering] ?: 0) < ScaleOut.MAX_MACHINES_PER_CALL * remainingCalls && scaleOut.canRent(offering)
    }

    /**
     * Whether [remaining] tasks, which come after those of their job class that wait already, are served in time by the capacity that
     * tasks of the class have or were fitted into.
     */
    private fun canWait(
        need: CapacityDemand.Need,
        remaining: Int,
    ): Boolean {
        val jobClass = need.spec.jobClass
        val servingTasks = need.allocatedTasks + (fittingTasks[jobClass] ?: 0) + need.tasks - remaining
        val queuedTasks = (waitingTasks[jobClass] ?: 0) + remaining
        val waitSeconds = if (servingTasks <= 0) Double.MAX_VALUE else need.spec.estimatedRunSeconds * queuedTasks / servingTasks
        return waitSeconds * WAIT_SAFETY_FACTOR <= need.slackSeconds
    }

    /** The spec of [need]; if it is a gang that must be in one zone, bound to the zone that has the most capacity for it already. */
    private fun inOneZone(need: CapacityDemand.Need): JobSpec {
        val spec = need.spec
        if (!spec.gang || !spec.oneZone || spec.zone != null) return spec
        val zones = catalog.allowed(spec).flatMap { it.zones }.distinct()
        if (zones.size < 2) return spec
        val fitCounts = zones.associateWith { zone -> capacities.sumOf { if (it.offering.zone == zone) fitCount(it, spec) else 0 } }
        return spec.copy(zone = zones.maxBy { minOf(need.tasks, fitCounts.getValue(it)) })
    }

    private fun fitCount(
        capacity: FreeCapacity,
        spec: JobSpec,
    ): Int = if (capacity.allows(spec)) capacity.fitCount(spec.taskResources) else 0

    private companion object {
        /** Run times are often half as long again as their estimate, and running tasks do not end evenly. */
        const val WAIT_SAFETY_FACTOR = 2.0
    }
}
