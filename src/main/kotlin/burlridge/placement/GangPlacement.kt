package burlridge.placement

import burlridge.allocation.Allocation
import burlridge.allocation.GangRules
import burlridge.allocation.GangState
import burlridge.allocation.Job
import burlridge.allocation.QuotaCharge
import burlridge.core.StepContext
import burlridge.fleet.Fleet
import burlridge.job.JobSpec
import burlridge.worker.WorkerManager

/**
 * Seats for a whole gang or for none of it: one plan decides zone, machines and the team's limit for all tasks at once, and one
 * run number is claimed for them all.
 */
internal class GangPlacement(
    private val context: StepContext,
    private val workers: WorkerManager,
    private val fleet: Fleet,
    private val fit: BestFitSelector,
) {
    /** Within which a job class's gangs are to start. */
    private val startWithin =
        context.settings.objectives
            .filter { it.kind == "wait" && it.jobClass != null && it.withinSeconds != null }
            .groupBy { it.jobClass }
            .mapValues { (_, aims) -> aims.minOf { it.withinSeconds ?: Double.MAX_VALUE } }

    /** A gang whose job class is to start at once: it is placed first, and room for the next one is kept. */
    fun isEarly(job: Job): Boolean = job.spec.gang && startWithin.containsKey(job.spec.jobClass)

    /** Whether the next attempt may be claimed: nothing of the last one, nor any orphaned task of it, is left anywhere. */
    fun mayBegin(job: Job): Boolean =
        GangRules.state(job) == GangState.IDLE && job.notBefore.getOrDefault(0, 0.0) <= context.now && !workers.hasOrphans(job.spec.id)

    /** Where there is no room for all, what there is is kept from those that come after, until it is enough. */
    fun place(
        job: Job,
        plan: PlacementPlan,
    ) {
        val spec = job.spec
        val after = plan.used(spec.team) + spec.size * spec.tasks
        if (fit.overLimit(spec.team, after)) {
            // Its team's limit is kept for it as well, or single tasks would use each bit that falls free.
            plan.used[spec.team] = after
            return
        }
        val groups = groups(spec, plan)
        for (rooms in groups) {
            if (seatsIn(rooms, spec) < spec.tasks) continue
            val seats = seat(spec, spec.tasks, rooms)
            if (seats.size == spec.tasks) {
                plan.used[spec.team] = after
                plan.jobs += spec.id
                val attempt = job.highestAttempt + 1
                seats.forEachIndexed { task, room -> plan.allocations += newAllocation(spec, task, attempt, room) }
                return
            }
            seats.forEach { it.free += spec.size }
        }
        // Not where even empty machines would not do: room kept for what can never come would be lost to all others.
        groups
            .filter { rooms -> wholeSeats(spec, plan, rooms) >= spec.tasks }
            .maxByOrNull { seatsIn(it, spec) }
            ?.let { seat(spec, spec.tasks, it) }
    }

    /** Room for the gangs that surely come soon is kept from all other work; never more than a part of what there is. */
    fun keepRoom(plan: PlacementPlan) {
        for (need in fleet.expectedGangs()) {
            val rooms = groups(need.spec, plan).firstOrNull() ?: continue
            val most = wholeSeats(need.spec, plan, rooms) / MOST_KEPT
            seat(need.spec, minOf(need.tasks, most), rooms)
        }
    }

    private fun seatsIn(
        rooms: List<MachineCapacity>,
        spec: JobSpec,
    ): Int = rooms.sumOf { it.seats(spec.size) }

    /** How many tasks of [spec] the machines of the group that [rooms] belong to would hold if nothing else were on them. */
    private fun wholeSeats(
        spec: JobSpec,
        plan: PlacementPlan,
        rooms: List<MachineCapacity>,
    ): Int {
        val zone = rooms.firstOrNull()?.machine?.zone ?: return 0
        return plan.poolsFor(spec).filter { !spec.oneZone || it.first.zone == zone }.sumOf { it.machines * it.whole.holds(spec.size) }
    }

    private fun newAllocation(
        spec: JobSpec,
        task: Int,
        attempt: Int,
        room: MachineCapacity,
    ): Allocation =
        Allocation(spec.id, task, attempt, room.machine.id, room.machine.agentEpoch, room.machine.zone, QuotaCharge(spec.team, spec.size))

    /** The rooms that may hold the gang together: those of a zone where it must be one, the zone that holds its image first. */
    private fun groups(
        spec: JobSpec,
        plan: PlacementPlan,
    ): List<List<MachineCapacity>> {
        val rooms = plan.poolsFor(spec).flatMap { pool -> pool.rooms.filter { spec.size.fits(it.free) } }
        if (!spec.oneZone) return listOf(rooms)

        return rooms
            .groupBy { it.machine.zone }
            .values
            .sortedWith(
                compareByDescending<List<MachineCapacity>> { zone ->
                    minOf(spec.tasks, seatsIn(zone.filter { spec.image in it.machine.images }, spec))
                }.thenByDescending { seatsIn(it, spec) },
            )
    }

    /** Takes room for up to [tasks] of [spec] in [rooms]: where the image is, then where it is fetched in time, the smallest first. */
    private fun seat(
        spec: JobSpec,
        tasks: Int,
        rooms: List<MachineCapacity>,
    ): List<MachineCapacity> {
        val seats = ArrayList<MachineCapacity>()
        val zones = HashMap<String, Int>()
        for (group in preferred(spec, rooms)) {
            // Where idle machines are returned, those in use go first, so that others fall idle.
            val (idle, inUse) = group.partition { fleet.returnsIdle && it.free == it.whole }
            val (empty, shared) = idle.toMutableList() to inUse.toMutableList()
            while (seats.size < tasks) {
                // The machine that the last one has gone to fetches the image anyway.
                val room =
                    seats.lastOrNull()?.takeIf { fit.fits(spec, zones, it) }
                        ?: fit.sample(shared, spec, zones) ?: fit.sample(empty, spec, zones) ?: break
                room.free -= spec.size
                zones.merge(room.machine.zone, 1, Int::plus)
                seats += room
            }
            if (seats.size == tasks) break
        }
        return seats
    }

    private fun preferred(
        spec: JobSpec,
        rooms: List<MachineCapacity>,
    ): List<List<MachineCapacity>> {
        val (holders, others) = rooms.partition { spec.image in it.machine.images }
        val limitSeconds = startWithin[spec.jobClass] ?: Double.MAX_VALUE
        val byType = others.groupBy { it.machine.type }.values
        val (quick, slow) = byType.partition { fit.fetchSeconds(it.first().machine, spec) * SLOW_FETCH <= limitSeconds }
        return listOf(holders) + quick + slow.sortedBy { fit.fetchSeconds(it.first().machine, spec) }
    }

    private companion object {
        /** A fetch takes up to a third longer than its type's rate says, and what goes before it takes some time as well. */
        const val SLOW_FETCH = 1.5

        /** Of the room that there would be on empty machines, one part in so many may be kept for the gangs of a lane. */
        const val MOST_KEPT = 4
    }
}
