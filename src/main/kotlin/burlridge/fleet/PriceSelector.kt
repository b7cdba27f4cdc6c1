package burlridge.fleet

import burlridge.job.JobSpec

/** Chooses the offering with the lowest price per task: the price of a machine divided by the number of tasks that fit on it. */
internal object PriceSelector {
    /** An offering is expensive if it costs more than this many times as much as the cheapest one. */
    const val EXPENSIVE_PRICE_FACTOR: Double = 2.0

    /** Factor on the price of an indispensable type for jobs that can use another type. */
    private const val INDISPENSABLE_PRICE_FACTOR = 3.0

    /** Number of tasks that fit into a resource that they do not use. */
    private const val UNBOUNDED_TASKS = 1e3

    private class PricedOffering(
        val offering: InstanceOffering,
        val pricePerTask: Double,
    )

    /**
     * Returns the cheapest offering for a task of [spec] among those that are not [isUnavailable], or null if there is none. An offering
     * that is expensive compared with the cheapest one, available or not, is returned only if the task cannot wait for a cheaper machine
     * ([canWait]).
     */
    fun cheapest(
        catalog: Catalog,
        spec: JobSpec,
        indispensableTypes: Set<String>,
        isUnavailable: (InstanceOffering) -> Boolean,
        canWait: () -> Boolean,
    ): InstanceOffering? {
        val priced = pricedOfferings(catalog, spec, indispensableTypes)
        val lowestPrice = priced.minOfOrNull { it.pricePerTask } ?: return null
        val cheapest = priced.filterNot { isUnavailable(it.offering) }.minByOrNull { it.pricePerTask } ?: return null
        return cheapest.offering.takeIf { cheapest.pricePerTask <= lowestPrice * EXPENSIVE_PRICE_FACTOR || !canWait() }
    }

    private fun pricedOfferings(
        catalog: Catalog,
        spec: JobSpec,
        indispensableTypes: Set<String>,
    ): List<PricedOffering> {
        val eligibleTypes = catalog.eligibleTypes(spec)
        return eligibleTypes.flatMap { type ->
            val factor = if (type.name in indispensableTypes && eligibleTypes.size > 1) INDISPENSABLE_PRICE_FACTOR else 1.0
            type.zones.filter { spec.zone == null || it == spec.zone }.flatMap { zone ->
                listOf(true, false).filter { !it || spec.allowsSpot }.map { spot ->
                    val price = if (spot) type.spotPrice else type.price
                    PricedOffering(InstanceOffering(type.name, zone, spot), price * factor / tasksPerMachine(type, spec))
                }
            }
        }
    }

    private fun tasksPerMachine(
        type: MachineType,
        spec: JobSpec,
    ): Double {
        val byCpu = if (spec.taskResources.cpus > 0) type.size.cpus / spec.taskResources.cpus else UNBOUNDED_TASKS
        val byMemory = if (spec.taskResources.memoryGb > 0) type.size.memoryGb / spec.taskResources.memoryGb else UNBOUNDED_TASKS
        return Math.floor(minOf(byCpu, byMemory)).coerceAtLeast(1.0)
    }
}
