package burlridge.placement

import burlridge.allocation.Allocation
import burlridge.allocation.Job
import burlridge.worker.Machine

/** Finds machines that running tasks can move to. Capacity is reserved on each one found, so that it is not assigned a second time. */
internal class MoveTargetFinder(
    private val plan: PlacementPlan,
    private val selector: BestFitSelector,
    private val quotas: TeamQuotas,
) {
    /** A machine that the task fits on, and how long the machine takes to fetch the task's image. */
    class Candidate(
        val machine: Machine,
        val fetchSeconds: Double,
    )

    /**
     * Reserves capacity for the task of [allocation] on another machine that satisfies [isSuitable], trying the smallest types first.
     * Returns null if there is none or if the team's quota would be exceeded.
     */
    fun reserveTarget(
        job: Job,
        allocation: Allocation,
        isSuitable: (Candidate) -> Boolean = { true },
    ): Machine? {
        val spec = job.spec
        // The task counts against the quota on both machines until it has left the current one.
        if (quotas.isExceeded(spec.team, plan.usageOf(spec.team) + spec.taskResources)) return null
        val taskCountByZone = plan.taskCountByZone(job)
        for (poolsOfType in plan.poolsFor(spec).groupBy { it.representative.type }.values) {
            val candidates =
                poolsOfType.flatMap { it.candidates }.filterTo(ArrayList()) {
                    canMoveTo(it, job, allocation) && isSuitable(Candidate(it.machine, selector.expectedFetchSeconds(it.machine, spec)))
                }
            val target = selector.select(candidates, spec, taskCountByZone)?.machine ?: continue
            plan.reserve(CapacityReservation(job, allocation.task, target))
            return target
        }
        return null
    }

    private fun canMoveTo(
        capacity: MachineCapacity,
        job: Job,
        allocation: Allocation,
    ): Boolean = !capacity.isAvoided && capacity.machine.id != allocation.machine && job.spec.taskResources.fits(capacity.free)
}
