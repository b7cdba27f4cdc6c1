package burlridge.fleet

import burlridge.allocation.JobRegistry
import burlridge.worker.WorkerManager

/** Decides which machines are rented, and which idle ones are returned, so that the capacity meets the demand. */
internal class CapacityPlanner(
    private val registry: JobRegistry,
    private val workers: WorkerManager,
    private val demand: CapacityDemand,
    private val scaleOut: ScaleOut,
    private val scaleIn: ScaleIn,
) {
    fun plan(catalog: Catalog) {
        demand.observe()
        scaleIn.returnLost(catalog)
        if (demand.keepsAllMachines) rentEverything(catalog) else rentNeeded(catalog)
    }

    private fun rentEverything(catalog: Catalog) {
        for (type in catalog.types.values) {
            for (zone in type.zones) {
                for (spot in listOf(true, false)) {
                    val offering = InstanceOffering(type.name, zone, spot)
                    if (scaleOut.canRent(offering)) scaleOut.rent(offering, ScaleOut.MAX_MACHINES_PER_CALL, RentReason.KEEP_ALL)
                }
            }
        }
    }

    private fun rentNeeded(catalog: Catalog) {
        val plan = RentalPlan(catalog, freeCapacities(catalog), scaleOut, demand.indispensableTypes(catalog))
        demand.needs(catalog).forEach { plan.addNeed(it) }
        plan.machineCounts.forEach { (offering, count) -> rent(offering, count) }
        scaleIn.returnIdle(plan.capacities, catalog)
    }

    private fun rent(
        offering: InstanceOffering,
        count: Int,
    ) {
        for (requested in 0 until count step ScaleOut.MAX_MACHINES_PER_CALL) {
            scaleOut.rent(offering, count - requested, RentReason.CAPACITY_NEEDED)
        }
    }

    /** Free resources of each machine that takes tasks, now or once it has joined; the fullest machine first. */
    private fun freeCapacities(catalog: Catalog): MutableList<FreeCapacity> {
        val capacities = ArrayList<FreeCapacity>()
        for (machine in workers.machines.values) {
            if (!workers.mayTakeTasks(machine)) continue
            val size = catalog.types[machine.type]?.size ?: continue
            val free = size - registry.allocations.usageOn(machine.id)
            if (free.cpus > 0) capacities += FreeCapacity(machine.offering, free)
        }
        for (rental in scaleOut.openRentals) {
            val type = catalog.types[rental.offering.type] ?: continue
            repeat(rental.expectedMachines) { capacities += FreeCapacity(rental.offering, type.size) }
        }
        capacities.sortWith(compareBy({ it.free.cpus }, { it.free.memoryGb }))
        return capacities
    }
}
