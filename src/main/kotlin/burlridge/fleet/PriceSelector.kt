package burlridge.fleet

import burlridge.job.JobSpec

/** Chooses the offering whose machines cost the least for each task that they hold. */
internal object PriceSelector {
    /** An offering that costs so many times as much as the cheapest one is expensive. */
    const val EXPENSIVE_FACTOR: Double = 2.0

    /** So many times its price an indispensable type counts for jobs that can do without it. */
    private const val INDISPENSABLE_FACTOR = 3.0

    /** Tasks that a machine holds of a resource that they do not use. */
    private const val UNBOUNDED_TASKS = 1e3

    private class PricedOffering(
        val offering: InstanceOffering,
        val pricePerTask: Double,
    )

    /**
     * The cheapest offering for a task of [spec] that [isRefused] lets through; null if there is none. An expensive one, compared with the
     * cheapest whether refused or not, is chosen only if the task cannot wait for a cheaper machine ([canWait]).
     */
    fun cheapest(
        catalog: Catalog,
        spec: JobSpec,
        indispensableTypes: Set<String>,
        isRefused: (InstanceOffering) -> Boolean,
        canWait: () -> Boolean,
    ): InstanceOffering? {
        val priced = pricedOfferings(catalog, spec, indispensableTypes)
        val lowestPrice = priced.minOfOrNull { it.pricePerTask } ?: return null
        val cheapest = priced.filterNot { isRefused(it.offering) }.minByOrNull { it.pricePerTask } ?: return null
        return cheapest.offering.takeIf { cheapest.pricePerTask <= lowestPrice * EXPENSIVE_FACTOR || !canWait() }
    }

    private fun pricedOfferings(
        catalog: Catalog,
        spec: JobSpec,
        indispensableTypes: Set<String>,
    ): List<PricedOffering> {
        val allowed = catalog.allowed(spec)
        return allowed.flatMap { type ->
            val factor = if (type.name in indispensableTypes && allowed.size > 1) INDISPENSABLE_FACTOR else 1.0
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
