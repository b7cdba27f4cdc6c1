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
    fun hasStartObjective(job: Job): Boolean = job.spec.gang && startWithin.containsKey(job.spec.jobClass)

    /** Whether the next attempt may be claimed: nothing of the last one, nor any orphaned task of it, is left anywhere. */
    fun canStartAttempt(job: Job): Boolean =
        GangRules.state(job) == GangState.IDLE && job.notBeforeByTask.getOrDefault(0, 0.0) <= context.now &&
            !workers.hasOrphans(job.spec.id)

    /** Where there is no room for all, what there is is kept from those that come after, until it is enough. */
    fun place(
        job: Job,
        plan: PlacementPlan,
    ) {
        val spec = job.spec
        val after = plan.used(spec.team) + spec.size * spec.tasks
        if (fit.exceedsQuota(spec.team, after)) {
            // Its team's limit is kept for it as well, or single tasks would use each bit that falls free.
            plan.used[spec.team] = after
            return
        }
        val groups = groups(spec, plan)
        for (candidates in groups) {
            if (fitCount(candidates, spec) < spec.tasks) continue
            val assigned = assign(spec, spec.tasks, candidates)
            if (assigned.size == spec.tasks) {
                plan.used[spec.team] = after
                plan.jobs += spec.id
                val attempt = job.highestAttempt + 1
                assigned.forEachIndexed { task, capacity -> plan.allocations += newAllocation(spec, task, attempt, capacity) }
                return
            }
            assigned.forEach { it.free += spec.size }
        }
        // Not where even empty machines would not do: room kept for what can never come would be lost to all others.
        groups
            .filter { candidates -> emptyFitCount(spec, plan, candidates) >= spec.tasks }
            .maxByOrNull { fitCount(it, spec) }
            ?.let { assign(spec, spec.tasks, it) }
    }

    /** Room for the gangs that surely come soon is kept from all other work; never more than a part of what there is. */
    fun reserveForExpectedGangs(plan: PlacementPlan) {
        for (need in fleet.expectedGangs()) {
            val candidates = groups(need.spec, plan).firstOrNull() ?: continue
            val most = emptyFitCount(need.spec, plan, candidates) / MAX_RESERVED_FRACTION_DIVISOR
            assign(need.spec, minOf(need.tasks, most), candidates)
        }
    }

    private fun fitCount(
        candidates: List<MachineCapacity>,
        spec: JobSpec,
    ): Int = candidates.sumOf { it.fitCount(spec.size) }

    /** How many tasks of [spec] the machines of the group that [machines] belong to would hold if nothing else were on them. */
    private fun emptyFitCount(
        spec: JobSpec,
        plan: PlacementPlan,
        candidates: List<MachineCapacity>,
    ): Int {
        val zone = candidates.firstOrNull()?.machine?.zone ?: return 0
        return plan.poolsFor(spec).filter { !spec.oneZone || it.first.zone == zone }.sumOf { it.machineCount * it.total.holds(spec.size) }
    }

    private fun newAllocation(
        spec: JobSpec,
        task: Int,
        attempt: Int,
        capacity: MachineCapacity,
    ): Allocation =
        Allocation(
            spec.id,
            task,
            attempt,
            capacity.machine.id,
            capacity.machine.agentEpoch,
            capacity.machine.zone,
            QuotaCharge(spec.team, spec.size),
        )

    /** The rooms that may hold the gang together: those of a zone where it must be one, the zone that holds its image first. */
    private fun groups(
        spec: JobSpec,
        plan: PlacementPlan,
    ): List<List<MachineCapacity>> {
        val candidates = plan.poolsFor(spec).flatMap { pool -> pool.candidates.filter { spec.size.fits(it.free) } }
        if (!spec.oneZone) return listOf(candidates)

        return candidates
            .groupBy { it.machine.zone }
            .values
            .sortedWith(
                compareByDescending<List<MachineCapacity>> { zone ->
                    minOf(spec.tasks, fitCount(zone.filter { spec.image in it.machine.images }, spec))
                }.thenByDescending { fitCount(it, spec) },
            )
    }

    /** Takes room for up to [tasks] of [spec] in [machines]: where the image is, then where it is fetched in time, the smallest first. */
    private fun assign(
        spec: JobSpec,
        tasks: Int,
        candidates: List<MachineCapacity>,
    ): List<MachineCapacity> {
        val assigned = ArrayList<MachineCapacity>()
        val zones = HashMap<String, Int>()
        for (group in preferred(spec, candidates)) {
            // Where idle machines are returned, those in use go first, so that others fall idle.
            val (idle, inUse) = group.partition { fleet.returnsIdle && it.free == it.total }
            val (empty, shared) = idle.toMutableList() to inUse.toMutableList()
            while (assigned.size < tasks) {
                // The machine that the last one has gone to fetches the image anyway.
                val capacity =
                    assigned.lastOrNull()?.takeIf { fit.fits(spec, zones, it) }
                        ?: fit.sample(shared, spec, zones) ?: fit.sample(empty, spec, zones) ?: break
                capacity.free -= spec.size
                zones.merge(capacity.machine.zone, 1, Int::plus)
                assigned += capacity
            }
            if (assigned.size == tasks) break
        }
        return assigned
    }

    private fun preferred(
        spec: JobSpec,
        candidates: List<MachineCapacity>,
    ): List<List<MachineCapacity>> {
        val (holders, others) = candidates.partition { spec.image in it.machine.images }
        val limitSeconds = startWithin[spec.jobClass] ?: Double.MAX_VALUE
        val byType = others.groupBy { it.machine.type }.values
        val (quick, slow) = byType.partition { fit.fetchSeconds(it.first().machine, spec) * SLOW_FETCH <= limitSeconds }
        return listOf(holders) + quick + slow.sortedBy { fit.fetchSeconds(it.first().machine, spec) }
    }

    private companion object {
        /** A fetch takes up to a third longer than its type's rate says, and what goes before it takes some time as well. */
        const val SLOW_FETCH = 1.5

        /** Of the room that there would be on empty machines, one part in so many may be kept for the gangs of a lane. */
        const val MAX_RESERVED_FRACTION_DIVISOR = 4
    }
}
