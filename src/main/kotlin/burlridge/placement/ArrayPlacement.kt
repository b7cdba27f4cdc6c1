package burlridge.placement

import burlridge.allocation.Job
import burlridge.allocation.JobRegistry
import burlridge.core.StepContext
import burlridge.fleet.Fleet
import burlridge.job.JobSpec
import burlridge.worker.Machine
import burlridge.worker.WorkerManager

/** Places the tasks of job arrays, each by itself. */
internal class ArrayPlacement(
    private val context: StepContext,
    private val registry: JobRegistry,
    private val workers: WorkerManager,
    private val fleet: Fleet,
    private val fit: BestFitSelector,
    private val objectives: PlacementObjectives,
    private val quotas: TeamQuotas,
) {
    private val policy: PlacementPolicy? get() = fit.policy

    /** Places a task that is gone from its former machine where capacity is reserved for it. Where that is too little it stays queued. */
    fun placeReserved(
        reservation: CapacityReservation,
        plan: PlacementPlan,
    ) {
        val job = reservation.job
        val spec = job.spec
        if (!job.isEligible(reservation.task, context.now) || workers.hasOrphan(reservation.taskName)) return
        plan.release(reservation)
        val capacity = plan.capacityOn(reservation.machine.id) ?: return
        val usage = plan.usageOf(spec.team) + spec.taskResources
        if (!fit.fits(spec, plan.zonesOf(job), capacity) || quotas.isExceeded(spec.team, usage)) return
        capacity.take(spec.taskResources)
        plan.setUsage(spec.team, usage)
        allocate(job, reservation.task, reservation.machine, plan)
        plan.markPlacedFromReservation(reservation.taskName)
        policy?.onPlaced(reservation.taskName, reservation.machine.id, PlacementReason.RESERVED_CAPACITY)
    }

    /** Places as many tasks of [job] as fit, on the smallest machine types that have capacity for them. */
    fun place(
        job: Job,
        plan: PlacementPlan,
    ) {
        val spec = job.spec
        val zones = if (spec.oneZone || spec.spread) plan.zonesOf(job) else HashMap()
        val pools = plan.poolsFor(spec)
        var task = nextEligible(job, 0, plan)
        // The design samples blindly; in a hurry, a fetch takes too much of the time while another machine holds the image.
        if (isFetchCritical(spec, pools)) {
            val imageHolders = pools.flatMap { pool -> pool.candidates.filter { spec.image in it.machine.images && canUse(job, it) } }
            task = fill(job, task, imageHolders, zones, plan)
        }
        task = fillByType(job, task, pools, zones, plan)
        if (task == NO_TASK) return
        val isLimited = isBatchFull(plan) || quotas.isExceeded(spec.team, plan.usageOf(spec.team) + spec.taskResources)
        if (policy != null && objectives.hasStartObjective(spec.jobClass)) {
            task = fillSlowStarting(job, task, pools, zones, plan)
        }
        if (task != NO_TASK && !isLimited && !spec.oneZone && !spec.spread && isCapacityExhausted(job, pools)) plan.markUnplaceable(spec)
    }

    /** Fills one machine type after the other; returns the next task, or [NO_TASK] if all are placed. */
    private fun fillByType(
        job: Job,
        first: Int,
        pools: List<MachinePool>,
        zones: HashMap<String, Int>,
        plan: PlacementPlan,
    ): Int {
        var task = first
        // Where idle machines are returned, the expensive ones of a type are filled last, so that they are the ones to fall idle.
        for (group in pools.groupBy { it.first.type to (fleet.returnsIdleMachines && it.first.spot) }.values) {
            if (task == NO_TASK) return task
            context.count("placement.candidates", group.sumOf { it.candidates.size })
            task = fill(job, task, group.flatMap { pool -> pool.candidates.filter { canUse(job, it) } }, zones, plan)
        }
        return task
    }

    private fun isBatchFull(plan: PlacementPlan): Boolean = plan.allocations.size >= registry.allocations.maxAllocationsPerBatch

    /** Whether another job that asks for as much would find nothing either: withheld capacity may go to one that has waited longer. */
    private fun isCapacityExhausted(
        job: Job,
        pools: List<MachinePool>,
    ): Boolean =
        policy == null || canUseAvoided(job) || pools.none { pool -> pool.candidates.any { it.isAvoided || it.remainingStarts <= 0 } }

    /** Places tasks of a class with a start objective also on machines that have just joined, beyond their limit of starts. */
    private fun fillSlowStarting(
        job: Job,
        firstTask: Int,
        pools: List<MachinePool>,
        zones: HashMap<String, Int>,
        plan: PlacementPlan,
    ): Int {
        val slowStarting = pools.flatMap { pool -> pool.candidates.filter { !it.hasUnlimitedStarts && canUse(job, it) } }
        if (slowStarting.isEmpty()) return firstTask
        val limits = slowStarting.associateWith { it.remainingStarts }
        slowStarting.forEach { it.remainingStarts = MachineCapacity.UNLIMITED_STARTS }
        val placedBefore = plan.allocations.size
        val nextTask = fill(job, firstTask, slowStarting, zones, plan)
        limits.forEach { (capacity, remainingStarts) -> capacity.remainingStarts = remainingStarts }
        plan.allocations.drop(placedBefore).forEach {
            policy?.onPlaced(it.taskName, it.machine, PlacementReason.SLOW_STARTING_FOR_OBJECTIVE)
        }
        return nextTask
    }

    /** Halfway to the longest allowed wait a job may use avoided machines as well. */
    private fun canUseAvoided(job: Job): Boolean =
        (job.allocatedAt?.let { context.now - it } ?: job.ageSeconds(context.wallMillis)) > MAX_WAIT_BESIDE_CAPACITY_SECONDS / 2

    private fun canUse(
        job: Job,
        capacity: MachineCapacity,
    ): Boolean = job.spec.taskResources.fits(capacity.free) && (!capacity.isAvoided || canUseAvoided(job))

    private fun isFetchCritical(
        spec: JobSpec,
        pools: List<MachinePool>,
    ): Boolean {
        if (objectives.isUrgent(spec.jobClass)) return true
        val slowestGbPerSecond = pools.minOfOrNull { fit.fetchGbPerSecond(it.first.type) } ?: return false
        return spec.deadlineSeconds != null && slowestGbPerSecond > 0 &&
            spec.imageGb / slowestGbPerSecond > spec.estimatedRunSeconds * MAX_FETCH_PART_OF_RUN
    }

    /** Places tasks of [job] from [firstTask] on on [candidates] while they fit; returns the next task, or [NO_TASK]. */
    private fun fill(
        job: Job,
        firstTask: Int,
        candidates: List<MachineCapacity>,
        zones: HashMap<String, Int>,
        plan: PlacementPlan,
    ): Int {
        val spec = job.spec
        var task = firstTask
        // Where idle machines are returned, those in use are filled first, so that others fall idle.
        val (idle, inUse) = candidates.partition { fleet.returnsIdleMachines && it.isIdle }
        val (idleLeft, shared) = idle.toMutableList() to inUse.toMutableList()
        while (task != NO_TASK && !isBatchFull(plan)) {
            val usage = plan.usageOf(spec.team) + spec.taskResources
            if (quotas.isExceeded(spec.team, usage)) break
            val capacity = fit.select(shared, spec, zones) ?: fit.select(idleLeft, spec, zones) ?: break
            if (idleLeft.isNotEmpty() && capacity.isIdle && idleLeft.remove(capacity)) shared += capacity
            capacity.take(spec.taskResources)
            if (!capacity.hasUnlimitedStarts) capacity.remainingStarts--
            plan.setUsage(spec.team, usage)
            zones.merge(capacity.machine.zone, 1, Int::plus)
            allocate(job, task, capacity.machine, plan)
            if (capacity.isAvoided) policy?.onPlaced("${spec.id}/$task", capacity.machine.id, PlacementReason.AVOIDED_AFTER_WAIT)
            task = nextEligible(job, task + 1, plan)
        }
        return task
    }

    /** The first task from [from] on that may be placed now, or [NO_TASK]. */
    private fun nextEligible(
        job: Job,
        from: Int,
        plan: PlacementPlan,
    ): Int {
        var task = job.doneOrAllocated.nextClearBit(from)
        while (task < job.spec.taskCount) {
            val taskName = "${job.spec.id}/$task"
            if (job.isEligible(task, context.now) && !workers.hasOrphan(taskName) && !plan.isPlacedFromReservation(taskName)) return task
            task = job.doneOrAllocated.nextClearBit(task + 1)
        }
        return NO_TASK
    }

    private fun allocate(
        job: Job,
        task: Int,
        machine: Machine,
        plan: PlacementPlan,
    ) = plan.allocate(job.spec, task, job.lastAttemptByTask.get(task) + 1, machine)

    private companion object {
        /** In place of null, which would box every task number. */
        const val NO_TASK = -1

        /** The part of a run that an image fetch may take where there is a deadline. */
        const val MAX_FETCH_PART_OF_RUN = 0.1

        /** By the protocol no job waits longer than this beside capacity that it may use. */
        const val MAX_WAIT_BESIDE_CAPACITY_SECONDS = 90.0
    }
}
