package burlridge.placement

import burlridge.allocation.JobRegistry
import burlridge.core.StepContext
import burlridge.fleet.Fleet
import burlridge.fleet.InstanceOffering
import burlridge.job.Resources
import burlridge.worker.Machine
import burlridge.worker.WorkerManager

/** Builds the plan of a placement round from the machines that are usable now. */
internal class PlacementPlanBuilder(
    private val context: StepContext,
    private val registry: JobRegistry,
    private val workers: WorkerManager,
    private val fleet: Fleet,
) {
    /** Builds a plan from whose capacity the reservations of [policy] are taken; [policy] is null if load balancing is not enabled. */
    fun build(policy: PlacementPolicy?): PlacementPlan {
        val plan = PlacementPlan(pools(policy), HashMap(registry.allocations.usageByTeam))
        policy?.reservations()?.forEach(plan::reserve)
        return plan
    }

    /** Pools of the usable machines, the smallest machines first, so that small tasks do not fragment larger machines. */
    private fun pools(policy: PlacementPolicy?): List<MachinePool> {
        val catalog = fleet.catalog ?: return emptyList()
        val pools = HashMap<InstanceOffering, MachinePool>()
        for (machine in workers.machines.values) {
            if (!isUsable(machine)) continue
            val total = catalog.types[machine.type]?.size ?: continue
            val free = free(machine, total)
            val pool = pools.getOrPut(InstanceOffering(machine.type, machine.zone, machine.spot)) { MachinePool(total, machine) }
            pool.machineCount++
            if (free.cpus > 0 && free.memoryGb > 0) pool.candidates += capacity(machine, total, free, policy)
        }
        return pools.values.sortedWith(compareBy({ it.total.gpus }, { it.total.cpus }, { it.total.memoryGb }, { !it.representative.spot }))
    }

    private fun capacity(
        machine: Machine,
        total: Resources,
        free: Resources,
        policy: PlacementPolicy?,
    ): MachineCapacity {
        if (policy == null) return MachineCapacity(machine, total, free)
        return MachineCapacity(machine, total, free, policy.isAvoided(machine), policy.remainingStarts(machine))
    }

    private fun isUsable(machine: Machine): Boolean =
        isInService(machine) && context.now >= machine.noPlacementBefore && context.now >= machine.nextCommandAt &&
            !workers.isSilent(machine) && !workers.isNotReporting(machine) && workers.isReachable(machine)

    private fun isInService(machine: Machine): Boolean =
        machine.isUp && machine.isResponsive && !machine.isLeaseExpired && !machine.isDraining && machine.reclaimAt == null

    /** Resources taken neither by allocations nor by orphans: tasks without an allocation, which an earlier leader started. */
    private fun free(
        machine: Machine,
        total: Resources,
    ): Resources {
        var free = total - registry.allocations.usageOn(machine.id)
        machine.orphans.forEach { taskName -> registry.jobs[taskName.substringBefore('/')]?.let { free -= it.spec.taskResources } }
        return free
    }
}
