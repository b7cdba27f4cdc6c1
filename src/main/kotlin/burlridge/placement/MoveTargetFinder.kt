package burlridge.placement

import burlridge.allocation.Allocation
import burlridge.allocation.Job
import burlridge.worker.Machine

/** Finds machines that running tasks can move to. Each one found is reserved, so that later requests do not count on its capacity. */
internal class MoveTargetFinder(
    private val plan: PlacementPlan,
    private val fit: BestFitSelector,
    private val quotas: TeamQuotas,
) {
    /** A machine that the task fits on, and how long it takes there to fetch the image. */
    class Candidate(
        val machine: Machine,
        val fetchSeconds: Double,
    )

    /**
     * Reserves capacity for the task of [allocation] on another machine that [isSuitable], trying the smallest types first. Null where
     * there is none, or the team's quota does not allow it.
     */
    fun reserveTarget(
        job: Job,
        allocation: Allocation,
        isSuitable: (Candidate) -> Boolean = { true },
    ): Machine? {
        val spec = job.spec
        // The task counts on both machines until it is gone from the present one.
        if (quotas.isExceeded(spec.team, plan.usageOf(spec.team) + spec.taskResources)) return null
        val zones = plan.zonesOf(job)
        for (poolsOfType in plan.poolsFor(spec).groupBy { it.first.type }.values) {
            val candidates =
                poolsOfType.flatMap { it.candidates }.filterTo(ArrayList()) {
                    canMoveTo(it, job, allocation) && isSuitable(Candidate(it.machine, fit.expectedFetchSeconds(it.machine, spec)))
                }
            val target = fit.select(candidates, spec, zones)?.machine ?: continue
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
