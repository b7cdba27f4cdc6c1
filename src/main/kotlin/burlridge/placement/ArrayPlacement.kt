package burlridge.placement

import burlridge.allocation.Job
import burlridge.allocation.JobRegistry
import burlridge.core.StepContext
import burlridge.fleet.Fleet
import burlridge.job.JobSpec
import burlridge.worker.Machine
import burlridge.worker.WorkerManager

/** Places the tasks of job arrays, each task independently of the others. */
internal class ArrayPlacement(
    private val context: StepContext,
    private val registry: JobRegistry,
    private val workers: WorkerManager,
    private val fleet: Fleet,
    private val selector: BestFitSelector,
    private val objectives: PlacementObjectives,
    private val quotas: TeamQuotas,
) {
    private val policy: PlacementPolicy? get() = selector.policy

    /**
     * Places the task of [reservation], once it has left its former machine, on the machine where capacity is reserved for it. If the task
     * does not fit there or would exceed its team's quota, it stays queued.
     */
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
        if (!selector.fits(spec, plan.taskCountByZone(job), capacity) || quotas.isExceeded(spec.team, usage)) return
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
        val taskCountByZone = if (spec.oneZone || spec.spread) plan.taskCountByZone(job) else HashMap()
        val pools = plan.poolsFor(spec)
        var task = nextEligible(job, 0, plan)
        // If a fetch would take too much time, machines that hold the image are tried first: random sampling may miss them.
        if (isFetchCritical(spec, pools)) {
            val imageHolders = pools.flatMap { pool -> pool.candidates.filter { spec.image in it.machine.images && canUse(job, it) } }
            task = placeOn(job, task, imageHolders, taskCountByZone, plan)
        }
        task = placeByType(job, task, pools, taskCountByZone, plan)
        if (task == NO_TASK) return
        val limitReached = isBatchFull(plan) || quotas.isExceeded(spec.team, plan.usageOf(spec.team) + spec.taskResources)
        if (policy != null && objectives.hasStartObjective(spec.jobClass)) {
            task = placeOnSlowStarting(job, task, pools, taskCountByZone, plan)
        }
        if (task != NO_TASK && !limitReached && !spec.oneZone && !spec.spread && isCapacityExhausted(job, pools)) plan.markUnplaceable(spec)
    }

    /** Places tasks on one machine type after the other; returns the next eligible task, or [NO_TASK] if there is none. */
    private fun placeByType(
        job: Job,
        firstTask: Int,
        pools: List<MachinePool>,
        taskCountByZone: HashMap<String, Int>,
        plan: PlacementPlan,
    ): Int {
        var task = firstTask
        // If idle machines are returned, the on-demand machines of a type are filled last: they are more expensive than the spot machines,
        // so they should be the ones that become idle.
        for (group in pools.groupBy { it.representative.type to (fleet.returnsIdleMachines && it.representative.spot) }.values) {
            if (task == NO_TASK) return task
            context.count("placement.candidates", group.sumOf { it.candidates.size })
            task = placeOn(job, task, group.flatMap { pool -> pool.candidates.filter { canUse(job, it) } }, taskCountByZone, plan)
        }
        return task
    }

    private fun isBatchFull(plan: PlacementPlan): Boolean = plan.allocations.size >= registry.allocations.maxAllocationsPerBatch

    /**
     * Whether another job with the same request would find no capacity either. False while capacity is withheld from [job] (on avoided
     * machines or machines at their start limit) that a job that has waited longer may use.
     */
    private fun isCapacityExhausted(
        job: Job,
        pools: List<MachinePool>,
    ): Boolean =
        policy == null || canUseAvoided(job) || pools.none { pool -> pool.candidates.any { it.isAvoided || it.remainingStarts <= 0 } }

    /** Places tasks of a class with a start objective on machines that have just joined (slow start) too, beyond their start limit. */
    private fun placeOnSlowStarting(
        job: Job,
        firstTask: Int,
        pools: List<MachinePool>,
        taskCountByZone: HashMap<String, Int>,
        plan: PlacementPlan,
    ): Int {
        val slowStarting = pools.flatMap { pool -> pool.candidates.filter { !it.hasUnlimitedStarts && canUse(job, it) } }
        if (slowStarting.isEmpty()) return firstTask
        val startLimits = slowStarting.associateWith { it.remainingStarts }
        slowStarting.forEach { it.remainingStarts = MachineCapacity.UNLIMITED_STARTS }
        val allocationsBefore = plan.allocations.size
        val nextTask = placeOn(job, firstTask, slowStarting, taskCountByZone, plan)
        startLimits.forEach { (capacity, remainingStarts) -> capacity.remainingStarts = remainingStarts }
        plan.allocations.drop(allocationsBefore).forEach {
            policy?.onPlaced(it.taskName, it.machine, PlacementReason.SLOW_STARTING_FOR_OBJECTIVE)
        }
        return nextTask
    }

    /** Whether [job] may use avoided machines too: it may after half of the longest allowed wait. */
    private fun canUseAvoided(job: Job): Boolean =
        (job.allocatedAt?.let { context.now - it } ?: job.ageSeconds(context.wallMillis)) > MAX_WAIT_WITH_USABLE_CAPACITY_SECONDS / 2

    private fun canUse(
        job: Job,
        capacity: MachineCapacity,
    ): Boolean = job.spec.taskResources.fits(capacity.free) && (!capacity.isAvoided || canUseAvoided(job))

    private fun isFetchCritical(
        spec: JobSpec,
        pools: List<MachinePool>,
    ): Boolean {
        if (objectives.isUrgent(spec.jobClass)) return true
        val slowestGbPerSecond = pools.minOfOrNull { selector.fetchGbPerSecond(it.representative.type) } ?: return false
        return spec.deadlineSeconds != null && slowestGbPerSecond > 0 &&
            spec.imageGb / slowestGbPerSecond > spec.estimatedRunSeconds * MAX_FETCH_FRACTION_OF_RUN
    }

    /**
     * Places tasks of [job], starting with [firstTask], on [candidates] as long as they fit; returns the next eligible task, or [NO_TASK]
     * if there is none.
     */
    private fun placeOn(
        job: Job,
        firstTask: Int,
        candidates: List<MachineCapacity>,
        taskCountByZone: HashMap<String, Int>,
        plan: PlacementPlan,
    ): Int {
        val spec = job.spec
        var task = firstTask
        // If idle machines are returned, machines in use are filled first, so that the idle ones stay idle.
        val (idle, inUse) = candidates.partition { fleet.returnsIdleMachines && it.isIdle }
        val (fallback, preferred) = idle.toMutableList() to inUse.toMutableList()
        while (task != NO_TASK && !isBatchFull(plan)) {
            val usage = plan.usageOf(spec.team) + spec.taskResources
            if (quotas.isExceeded(spec.team, usage)) break
            val capacity = selector.select(preferred, spec, taskCountByZone) ?: selector.select(fallback, spec, taskCountByZone) ?: break
            if (fallback.isNotEmpty() && capacity.isIdle && fallback.remove(capacity)) preferred += capacity
            capacity.take(spec.taskResources)
            if (!capacity.hasUnlimitedStarts) capacity.remainingStarts--
            plan.setUsage(spec.team, usage)
            taskCountByZone.merge(capacity.machine.zone, 1, Int::plus)
            allocate(job, task, capacity.machine, plan)
            if (capacity.isAvoided) policy?.onPlaced("${spec.id}/$task", capacity.machine.id, PlacementReason.AVOIDED_AFTER_WAIT)
            task = nextEligible(job, task + 1, plan)
        }
        return task
    }

    /** The first task with number [from] or above that may be placed now, or [NO_TASK] if there is none. */
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
        /** Used instead of null, which would box every task number. */
        const val NO_TASK = -1

        /** Fraction of the estimated run time that an image fetch may take for a job with a deadline. */
        const val MAX_FETCH_FRACTION_OF_RUN = 0.1

        /** The protocol's limit on how long a job may wait while there is capacity that it may use. */
        const val MAX_WAIT_WITH_USABLE_CAPACITY_SECONDS = 90.0
    }
}
