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
    fun take(
        job: Job,
        allocation: Allocation,
        suits: (Candidate) -> Boolean = { true },
    ): Machine? {
        val spec = job.spec
        // The task counts in both places until it is gone from where it is.
        val after = plan.used(spec.team) + spec.size
        if (fit.overLimit(spec.team, after)) return null
        val zones = plan.zonesOf(job)
        for (group in plan.poolsFor(spec).groupBy { it.first.type }.values) {
            val rooms =
                group
                    .flatMap { it.rooms }
                    .filterTo(ArrayList()) {
                        isRoom(it, job, allocation) &&
                            suits(Candidate(it.machine, fit.expectedFetchSeconds(it.machine, spec)))
                    }
            val room = fit.sample(rooms, spec, zones) ?: continue
            plan.keep(CapacityReservation(job, allocation.task, room.machine))
            return room.machine
        }
        return null
    }

    private fun isRoom(
        room: MachineCapacity,
        job: Job,
        allocation: Allocation,
    ): Boolean = !room.avoided && room.machine.id != allocation.machine && job.spec.size.fits(room.free)
}
