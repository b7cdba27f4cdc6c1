package burlridge.fleet

import burlridge.job.JobSpec

/** What an offer costs a task. */
internal object PriceSelector {
    const val DEAR_FACTOR = 2.0

    /** How much dearer a scarce type counts to jobs that can do without it. */
    private const val SCARCE_FACTOR = 3.0

    /**
     * The cheapest offer for a task of [spec] that the cloud has not just refused. One that costs twice as much as the cheapest
     * there is, refused or not, is taken only for what cannot wait for cheap machines to fall free.
     */
    fun cheapest(
        types: Catalog,
        spec: JobSpec,
        scarce: Set<String>,
        refused: (InstanceOffering) -> Boolean,
        canWait: () -> Boolean,
    ): InstanceOffering? {
        val allowed = types.allowed(spec)
        val costs =
            allowed.flatMap { type ->
                val dearer = if (type.name in scarce && allowed.size > 1) SCARCE_FACTOR else 1.0
                type.zones.filter { spec.zone == null || it == spec.zone }.flatMap { zone ->
                    listOf(true, false).filter { !it || spec.spot }.map { spot ->
                        InstanceOffering(type.name, zone, spot) to (if (spot) type.spotPrice else type.price) * dearer / fitting(type, spec)
                    }
                }
            }
        val least = costs.minOfOrNull { it.second } ?: return null
        val (offering, cost) = costs.filterNot { refused(it.first) }.minByOrNull { it.second } ?: return null
        return offering.takeIf { cost <= least * DEAR_FACTOR || !canWait() }
    }

    /** How many tasks of [spec] a machine of [type] holds. */
    private fun fitting(
        type: MachineType,
        spec: JobSpec,
    ): Double {
        val byCpu = if (spec.size.cpus > 0) type.size.cpus / spec.size.cpus else PLENTY
        val byMemory = if (spec.size.memoryGb > 0) type.size.memoryGb / spec.size.memoryGb else PLENTY
        return Math.floor(minOf(byCpu, byMemory)).coerceAtLeast(1.0)
    }

    private const val PLENTY = 1e3
}
