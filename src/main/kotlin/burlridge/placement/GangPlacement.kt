package burlridge.placement

import burlridge.allocation.GangRules
import burlridge.allocation.GangState
import burlridge.allocation.Job
import burlridge.core.StepContext
import burlridge.fleet.Fleet
import burlridge.job.JobSpec
import burlridge.worker.WorkerManager

/** Places a gang as a whole or not at all: zone, machines and quota are settled for all tasks at once, under one attempt number. */
internal class GangPlacement(
    private val context: StepContext,
    private val workers: WorkerManager,
    private val fleet: Fleet,
    private val fit: BestFitSelector,
    private val objectives: PlacementObjectives,
    private val quotas: TeamQuotas,
) {
    /** Whether [job] is a gang whose class has a start objective: it is placed first, and capacity for the next one is reserved. */
    fun hasStartObjective(job: Job): Boolean = job.spec.gang && objectives.hasStartObjective(job.spec.jobClass)

    /** Whether the next attempt may be allocated: nothing of the last one, nor any task of it without an allocation, is left anywhere. */
    fun canStartAttempt(job: Job): Boolean =
        GangRules.state(job) == GangState.IDLE && job.notBeforeByTask.getOrDefault(0, 0.0) <= context.now &&
            !workers.hasOrphans(job.spec.id)

    /** Allocates all tasks of [job]. Where they do not all fit, the free capacity is held back from later jobs until they do. */
    fun place(
        job: Job,
        plan: PlacementPlan,
    ) {
        val spec = job.spec
        val usage = plan.usageOf(spec.team) + spec.taskResources * spec.taskCount
        if (quotas.isExceeded(spec.team, usage)) {
            // Its quota is held back as well, or single tasks would use every bit of it that becomes free.
            plan.setUsage(spec.team, usage)
            return
        }
        val groups = candidateGroups(spec, plan)
        for (candidates in groups) {
            if (fitCount(candidates, spec) < spec.taskCount) continue
            val assigned = assign(spec, spec.taskCount, candidates)
            if (assigned.size == spec.taskCount) {
                plan.setUsage(spec.team, usage)
                val attempt = job.highestAttempt + 1
                assigned.forEachIndexed { task, capacity -> plan.allocate(spec, task, attempt, capacity.machine) }
                return
            }
            assigned.forEach { it.release(spec.taskResources) }
        }
        holdBackLargestGroup(spec, groups, plan)
    }

    /** Not where even idle machines would not suffice: capacity held back for a gang that can never run there would only be wasted. */
    private fun holdBackLargestGroup(
        spec: JobSpec,
        groups: List<List<MachineCapacity>>,
        plan: PlacementPlan,
    ) {
        groups
            .filter { candidates -> idleFitCount(spec, plan, candidates) >= spec.taskCount }
            .maxByOrNull { fitCount(it, spec) }
            ?.let { assign(spec, spec.taskCount, it) }
    }

    /** Holds back capacity for the gangs that are expected soon; never more than a part of the machines. */
    fun reserveForExpectedGangs(plan: PlacementPlan) {
        for (need in fleet.expectedGangs()) {
            val candidates = candidateGroups(need.spec, plan).firstOrNull() ?: continue
            val maxTasks = idleFitCount(need.spec, plan, candidates) / MACHINES_PER_RESERVED_MACHINE
            assign(need.spec, minOf(need.tasks, maxTasks), candidates)
        }
    }

    private fun fitCount(
        candidates: List<MachineCapacity>,
        spec: JobSpec,
    ): Int = candidates.sumOf { it.fitCount(spec.taskResources) }

    /** How many tasks of [spec] would fit on the machines of the group of [candidates], full ones included, if all were idle. */
    private fun idleFitCount(
        spec: JobSpec,
        plan: PlacementPlan,
        candidates: List<MachineCapacity>,
    ): Int {
        val zone = candidates.firstOrNull()?.machine?.zone ?: return 0
        return plan
            .poolsFor(spec)
            .filter { !spec.oneZone || it.first.zone == zone }
            .sumOf { it.machineCount * it.total.fitCount(spec.taskResources) }
    }

    /** Groups of machines that may hold the gang together: one for each zone where it must be in one, those that hold its image first. */
    private fun candidateGroups(
        spec: JobSpec,
        plan: PlacementPlan,
    ): List<List<MachineCapacity>> {
        val candidates = plan.poolsFor(spec).flatMap { pool -> pool.candidates.filter { spec.taskResources.fits(it.free) } }
        if (!spec.oneZone) return listOf(candidates)

        return candidates
            .groupBy { it.machine.zone }
            .values
            .sortedWith(
                compareByDescending<List<MachineCapacity>> { zone ->
                    minOf(spec.taskCount, fitCount(zone.filter { spec.image in it.machine.images }, spec))
                }.thenByDescending { fitCount(it, spec) },
            )
    }

    /** Takes capacity for up to [tasks] tasks of [spec], and returns it, one element for each task. */
    private fun assign(
        spec: JobSpec,
        tasks: Int,
        candidates: List<MachineCapacity>,
    ): List<MachineCapacity> {
        val assigned = ArrayList<MachineCapacity>()
        val zones = HashMap<String, Int>()
        for (group in byFetchTime(spec, candidates)) {
            // Where idle machines are returned, those in use are filled first, so that others fall idle.
            val (idle, inUse) = group.partition { fleet.returnsIdleMachines && it.isIdle }
            val (idleLeft, shared) = idle.toMutableList() to inUse.toMutableList()
            while (assigned.size < tasks) {
                // The machine of the last task fetches the image anyway.
                val capacity =
                    assigned.lastOrNull()?.takeIf { fit.fits(spec, zones, it) }
                        ?: fit.select(shared, spec, zones) ?: fit.select(idleLeft, spec, zones) ?: break
                capacity.take(spec.taskResources)
                zones.merge(capacity.machine.zone, 1, Int::plus)
                assigned += capacity
            }
            if (assigned.size == tasks) break
        }
        return assigned
    }

    /** Machines that hold the image first, then those that fetch it in time, smallest types first, then the others, fastest first. */
    private fun byFetchTime(
        spec: JobSpec,
        candidates: List<MachineCapacity>,
    ): List<List<MachineCapacity>> {
        val (imageHolders, others) = candidates.partition { spec.image in it.machine.images }
        val limitSeconds = objectives.startSeconds(spec.jobClass)
        val byType = others.groupBy { it.machine.type }.values
        val (inTime, late) = byType.partition { fit.fetchSeconds(it.first().machine, spec) * FETCH_TIME_MARGIN <= limitSeconds }
        return listOf(imageHolders) + inTime + late.sortedBy { fit.fetchSeconds(it.first().machine, spec) }
    }

    private companion object {
        /** A fetch takes up to a third longer than its type's rate says, and what precedes it takes some time as well. */
        const val FETCH_TIME_MARGIN = 1.5

        /** One machine in so many may be reserved for the expected gangs of a class. */
        const val MACHINES_PER_RESERVED_MACHINE = 4
    }
}
