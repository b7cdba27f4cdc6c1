package burlridge.fleet

import burlridge.job.JobSpec

/** Fits needs into the free [capacities], one after the other, and adds machines to be rented for the tasks that do not fit. */
internal class RentalPlan(
    private val catalog: Catalog,
    val capacities: MutableList<FreeCapacity>,
    private val scaleOut: ScaleOut,
    private val indispensableTypes: Set<String>,
) {
    /** Number of machines to be rented of each offering. */
    val machineCounts: LinkedHashMap<InstanceOffering, Int> = LinkedHashMap()

    /** By job class: the number of tasks of earlier needs that fit, and of those that have to wait. */
    private val fittingTasks = HashMap<String, Int>()
    private val waitingTasks = HashMap<String, Int>()

    fun addNeed(need: CapacityDemand.Need) {
        val spec = specBoundToZone(need)
        val waiting = rentFor(need, spec, fitIntoFreeCapacity(spec, need.tasks))
        waitingTasks.merge(spec.jobClass, waiting, Int::plus)
        fittingTasks.merge(spec.jobClass, need.tasks - waiting, Int::plus)
    }

    /** Fits up to [tasks] tasks into the free capacities; returns how many did not fit. */
    private fun fitIntoFreeCapacity(
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

    /** Adds machines to be rented for [tasks] tasks; returns how many tasks have to wait. */
    private fun rentFor(
        need: CapacityDemand.Need,
        spec: JobSpec,
        tasks: Int,
    ): Int {
        var remaining = tasks
        while (remaining > 0) {
            val offering =
                PriceSelector.cheapest(catalog, spec, indispensableTypes, scaleOut::isUnavailable) { canWait(need, remaining) } ?: break
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
     * Whether the [remaining] tasks of [need], queued behind the tasks of their job class that already have to wait, can start in time on
     * the capacity that tasks of the class have or were fitted into.
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

    /** Returns the spec of [need]; a gang that must run in one zone is bound to the zone that has the most free capacity for it. */
    private fun specBoundToZone(need: CapacityDemand.Need): JobSpec {
        val spec = need.spec
        if (!spec.gang || !spec.oneZone || spec.zone != null) return spec
        val zones = catalog.eligibleTypes(spec).flatMap { it.zones }.distinct()
        if (zones.size < 2) return spec
        val fitCounts = zones.associateWith { zone -> capacities.sumOf { if (it.offering.zone == zone) fitCount(it, spec) else 0 } }
        return spec.copy(zone = zones.maxBy { minOf(need.tasks, fitCounts.getValue(it)) })
    }

    private fun fitCount(
        capacity: FreeCapacity,
        spec: JobSpec,
    ): Int = if (capacity.allows(spec)) capacity.fitCount(spec.taskResources) else 0

    private companion object {
        /** Run times are often 1.5 times their estimate, and running tasks do not end at regular intervals. */
        const val WAIT_SAFETY_FACTOR = 2.0
    }
}
