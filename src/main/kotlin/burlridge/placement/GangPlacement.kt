package burlridge.placement

import burlridge.allocation.GangRules
import burlridge.allocation.GangState
import burlridge.allocation.Job
import burlridge.core.StepContext
import burlridge.fleet.Fleet
import burlridge.job.JobSpec
import burlridge.worker.WorkerManager

/**
 * Places a gang as a whole or not at all: zone, machines and quota are determined for all tasks at once, and all tasks get the same attempt
 * number.
 */
internal class GangPlacement(
    private val context: StepContext,
    private val workers: WorkerManager,
    private val fleet: Fleet,
    private val selector: BestFitSelector,
    private val objectives: PlacementObjectives,
    private val quotas: TeamQuotas,
) {
    /** Whether [job] is a gang whose class has a start objective: it is placed first, and capacity is reserved for expected ones. */
    fun hasStartObjective(job: Job): Boolean = job.spec.gang && objectives.hasStartObjective(job.spec.jobClass)

    /**
     * Whether the next attempt of [job] may be allocated: no allocation of an earlier attempt is left, no machine runs a task of the
     * job without an allocation, and the retry delay has passed.
     */
    fun canStartAttempt(job: Job): Boolean =
        GangRules.state(job) == GangState.IDLE && job.notBeforeByTask.getOrDefault(0, 0.0) <= context.now &&
            !workers.hasOrphans(job.spec.id)

    /** Allocates all tasks of [job]. If they do not all fit, free capacity is withheld from later jobs until they do. */
    fun place(
        job: Job,
        plan: PlacementPlan,
    ) {
        val spec = job.spec
        val usage = plan.usageOf(spec.team) + spec.taskResources * spec.taskCount
        if (quotas.isExceeded(spec.team, usage)) {
            // The quota is withheld from later jobs too; otherwise single tasks would use every part of it that becomes free.
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
        withholdLargestGroup(spec, groups, plan)
    }

    /**
     * Withholds capacity for the gang on the group of machines that can hold the most of its tasks now. Groups that could not hold the
     * whole gang even if all their machines were idle are skipped: capacity withheld for a gang that can never run there would be wasted.
     */
    private fun withholdLargestGroup(
        spec: JobSpec,
        groups: List<List<MachineCapacity>>,
        plan: PlacementPlan,
    ) {
        groups
            .filter { candidates -> idleFitCount(spec, plan, candidates) >= spec.taskCount }
            .maxByOrNull { fitCount(it, spec) }
            ?.let { assign(spec, spec.taskCount, it) }
    }

    /** Withholds capacity for gangs that are expected soon, for each class on at most one in [MACHINES_PER_RESERVED_MACHINE] machines. */
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

    /** Number of tasks of [spec] that would fit on all machines of the group of [candidates], full ones included, if all were idle. */
    private fun idleFitCount(
        spec: JobSpec,
        plan: PlacementPlan,
        candidates: List<MachineCapacity>,
    ): Int {
        val zone = candidates.firstOrNull()?.machine?.zone ?: return 0
        return plan
            .poolsFor(spec)
            .filter { !spec.oneZone || it.representative.zone == zone }
            .sumOf { it.machineCount * it.total.fitCount(spec.taskResources) }
    }

    /**
     * Groups of machines, one of which is to hold the whole gang: a group for each zone if the gang must run in one zone, otherwise a
     * single group. Zones that can run the most of the gang on machines that hold its image come first.
     */
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
                compareByDescending<List<MachineCapacity>> { machinesInZone ->
                    minOf(spec.taskCount, fitCount(machinesInZone.filter { spec.image in it.machine.images }, spec))
                }.thenByDescending { fitCount(it, spec) },
            )
    }

    /** Takes capacity for up to [tasks] tasks of [spec]; returns the machine of each task. */
    private fun assign(
        spec: JobSpec,
        tasks: Int,
        candidates: List<MachineCapacity>,
    ): List<MachineCapacity> {
        val assigned = ArrayList<MachineCapacity>()
        val taskCountByZone = HashMap<String, Int>()
        for (group in groupsByFetchTime(spec, candidates)) {
            // If idle machines are returned, machines in use are filled first, so that the idle ones stay idle.
            val (idle, inUse) = group.partition { fleet.returnsIdleMachines && it.isIdle }
            val (fallback, preferred) = idle.toMutableList() to inUse.toMutableList()
            while (assigned.size < tasks) {
                // The machine of the previous task is preferred, since it has to fetch the image anyway.
                val capacity =
                    assigned.lastOrNull()?.takeIf { selector.fits(spec, taskCountByZone, it) }
                        ?: selector.select(preferred, spec, taskCountByZone) ?: selector.select(fallback, spec, taskCountByZone) ?: break
                capacity.take(spec.taskResources)
                taskCountByZone.merge(capacity.machine.zone, 1, Int::plus)
                assigned += capacity
            }
            if (assigned.size == tasks) break
        }
        return assigned
    }

    /**
     * Groups [candidates]: first the machines that hold the image, then the types that fetch it within the start objective, smallest first,
     * then the other types, fastest fetch first.
     */
    private fun groupsByFetchTime(
        spec: JobSpec,
        candidates: List<MachineCapacity>,
    ): List<List<MachineCapacity>> {
        val (imageHolders, others) = candidates.partition { spec.image in it.machine.images }
        val limitSeconds = objectives.startWithinSeconds(spec.jobClass)
        val byType = others.groupBy { it.machine.type }.values
        val (inTime, late) = byType.partition { selector.fetchSeconds(it.first().machine, spec) * FETCH_TIME_MARGIN <= limitSeconds }
        return listOf(imageHolders) + inTime + late.sortedBy { selector.fetchSeconds(it.first().machine, spec) }
    }

    private companion object {
        /** A fetch takes up to a third longer than the fetch rate of the machine type suggests, and the steps before it take time too. */
        const val FETCH_TIME_MARGIN = 1.5

        /** One machine in this many may be reserved for the expected gangs of a class. */
        const val MACHINES_PER_RESERVED_MACHINE = 4
    }
}
