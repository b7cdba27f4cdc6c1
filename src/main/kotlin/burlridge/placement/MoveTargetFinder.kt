package burlridge.placement

import burlridge.allocation.Allocation
import burlridge.allocation.Job
import burlridge.worker.Machine

/** Where running tasks could go besides where they are; each one found takes its room from those asked for later. */
internal class MoveTargetFinder(
    private val plan: PlacementPlan,
    private val fit: BestFitSelector,
) {
    /** A machine with room, and how long it takes there to fetch the image. */
    class Candidate(
        val machine: Machine,
        val fetchSeconds: Double,
    )

    /**
     * A machine with room for the task of [claim] that [suits], the smallest type first; null where there is none, or its team's limit is
     * in the way.
     */
    fun reserveTarget(
        job: Job,
        allocation: Allocation,
        suits: (Candidate) -> Boolean = { true },
    ): Machine? {
        val spec = job.spec
        // The task counts in both places until it is gone from where it is.
        val after = plan.used(spec.team) + spec.size
        if (fit.exceedsQuota(spec.team, after)) return null
        val zones = plan.zonesOf(job)
        for (group in plan.poolsFor(spec).groupBy { it.first.type }.values) {
            val candidates =
                group
                    .flatMap { it.candidates }
                    .filterTo(ArrayList()) {
                        isTarget(it, job, allocation) &&
                            suits(Candidate(it.machine, fit.expectedFetchSeconds(it.machine, spec)))
                    }
            val capacity = fit.sample(candidates, spec, zones) ?: continue
            plan.reserve(CapacityReservation(job, allocation.task, capacity.machine))
            return capacity.machine
        }
        return null
    }

    private fun isTarget(
        capacity: MachineCapacity,
        job: Job,
        allocation: Allocation,
    ): Boolean = !capacity.isAvoided && capacity.machine.id != allocation.machine && job.spec.size.fits(capacity.free)
}
