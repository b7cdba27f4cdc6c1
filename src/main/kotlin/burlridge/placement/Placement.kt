package burlridge.placement

import burlridge.allocation.Allocation
import burlridge.allocation.Job
import burlridge.allocation.JobRegistry
import burlridge.allocation.QuotaCharge
import burlridge.core.StepContext
import burlridge.fleet.Fleet
import burlridge.fleet.InstanceOffering
import burlridge.job.JobSpec
import burlridge.job.Resources
import burlridge.worker.Machine
import burlridge.worker.WorkerManager

/** Team queues served in turn by shares, and best fit over a few sampled machines. */
internal class Placement(
    private val context: StepContext,
    private val registry: JobRegistry,
    private val workers: WorkerManager,
    private val fleet: Fleet,
) {
    /** Lanes whose tasks must start within a report interval: to them a fetch is most of the wait. */
    private val urgentClasses =
        context.settings.objectives
            .filter { it.kind == "wait" && (it.withinSeconds ?: Double.MAX_VALUE) < context.settings.workers.reportSeconds }
            .mapNotNull { it.jobClass }
            .toSet()

    /** Classes whose tasks are to start within some time. */
    private val waitClasses =
        context.settings.objectives
            .filter { it.kind == "wait" && it.withinSeconds != null }
            .mapNotNull { it.jobClass }
            .toSet()

    private val finishAims =
        context.settings.objectives
            .filter { it.kind == "finished" && it.jobClass != null && it.withinSeconds != null }
            .associate { it.jobClass to it.withinSeconds }
    private val fit = BestFitSelector(context, fleet)
    private val gangs = GangPlacement(context, workers, fleet, fit)

    /** Null where nobody balances load. */
    var policy: PlacementPolicy? by fit::policy

    /** One round: as many waiting tasks as there is room for and one row holds. */
    fun schedule() {
        if (registry.allocations.pendingBatches >= MAX_PENDING_BATCHES) return
        val queue = queue()
        if (queue.isEmpty()) return
        val plan = newPlan()
        context.count("placement.rounds")
        if (plan.pools.all { it.candidates.isEmpty() }) return
        plan.reservations.toList().forEach { if (!isFull(plan)) placeReserved(it, plan) }
        val (early, others) = queue.partition { gangs.hasStartObjective(it) }
        early.forEach { if (!isFull(plan)) gangs.place(it, plan) }
        gangs.reserveForExpectedGangs(plan)
        for (job in others) {
            if (isFull(plan)) break
            if (job.spec.gang) {
                gangs.place(job, plan)
            } else if (!plan.isUnplaceable(job.spec)) {
                place(job, plan)
            }
        }
        if (plan.allocations.isEmpty()) return
        context.debug("claims ${plan.allocations.size} starts of ${plan.jobs.size} jobs")
        // Only a gang is claimed beyond what one row holds: it begins once all its rows are written.
        plan.allocations.chunked(registry.allocations.maxStartsPerBatch).forEach { allocations ->
            registry.allocations.allocate(allocations) { granted ->
                granted.map { it.machine }.distinct().forEach { id -> workers.machines[id]?.let(workers::command) }
            }
        }
    }

    private fun newPlan(): PlacementPlan {
        val plan = PlacementPlan(pools(), HashMap(registry.allocations.usageByTeam))
        policy?.reservations()?.forEach(plan::reserve)
        return plan
    }

    /** Where running tasks could go now. */
    fun moveTargetFinder(): MoveTargetFinder = MoveTargetFinder(newPlan(), fit)

    /** A task that is gone from where it was starts where room was kept for it, or waits like any other where that is not enough. */
    private fun placeReserved(
        reservation: CapacityReservation,
        plan: PlacementPlan,
    ) {
        val job = reservation.job
        val spec = job.spec
        if (!job.isEligible(reservation.task, context.now) || workers.orphans("${spec.id}/${reservation.task}")) return
        plan.release(reservation)
        val capacity = plan.capacityOn(reservation.machine.id) ?: return
        val after = plan.used(spec.team) + spec.size
        if (!fit.fits(spec, plan.zonesOf(job), capacity) || fit.exceedsQuota(spec.team, after)) return
        capacity.free -= spec.size
        plan.used[spec.team] = after
        plan.jobs += spec.id
        plan.allocations += newAllocation(job, reservation.task, reservation.machine)
        plan.placedFromReservation += "${spec.id}/${reservation.task}"
        policy?.onPlaced("${spec.id}/${reservation.task}", reservation.machine.id, PlacementReason.RESERVED_CAPACITY)
    }

    private fun isFull(plan: PlacementPlan): Boolean =
        plan.allocations.size >= registry.allocations.maxStartsPerBatch || plan.jobs.size >= registry.allocations.maxJobsPerBatch

    /** The smallest machines first: a task that fits one should not break up a larger one. */
    private fun pools(): List<MachinePool> {
        val catalog = fleet.catalog ?: return emptyList()
        val pools = HashMap<InstanceOffering, MachinePool>()
        for (machine in workers.machines.values) {
            if (!usable(machine)) continue
            val total = catalog.types[machine.type]?.size ?: continue
            val free = free(machine, total)
            val pool = pools.getOrPut(InstanceOffering(machine.type, machine.zone, machine.spot)) { MachinePool(total, machine) }
            pool.machineCount++
            if (free.cpus > 0 && free.memoryGb > 0) pool.candidates += capacityOf(machine, total, free)
        }
        return pools.values.sortedWith(compareBy({ it.total.gpus }, { it.total.cpus }, { it.total.memoryGb }, { !it.first.spot }))
    }

    private fun capacityOf(
        machine: Machine,
        total: Resources,
        free: Resources,
    ): MachineCapacity {
        val policy = policy ?: return MachineCapacity(machine, total, free)
        return MachineCapacity(machine, total, free, policy.isAvoided(machine), policy.remainingStarts(machine))
    }

    private fun usable(machine: Machine): Boolean =
        isUp(machine) && context.now >= machine.notBefore && context.now >= machine.nextCommandAt &&
            !workers.isSilent(machine) && !workers.isNotReporting(machine) && workers.reaches(machine)

    private fun isUp(machine: Machine): Boolean =
        machine.up && machine.isResponsive && !machine.leaseExpired && !machine.draining && machine.reclaimAt == null

    private fun free(
        machine: Machine,
        total: Resources,
    ): Resources {
        var free = total - registry.allocations.usageOn(machine.id)
        machine.orphans.forEach { taskName -> registry.jobs[taskName.substringBefore('/')]?.let { free -= it.spec.size } }
        return free
    }

    private class QueuedJob(
        val job: Job,
        val late: Boolean,
        val load: Double,
        val rank: Double,
        val ageSeconds: Double,
    )

    /**
     * Highest priority first; within it the team that uses the least of its share; within a team by [rank]. Jobs that would be
     * late anyway give way, but waiting must not be for ever: a job that has not begun for long goes before all others, and of
     * the late ones the oldest has every fourth turn.
     */
    fun queue(): List<Job> {
        val queued =
            registry.jobs.values
                .filter {
                    it.pendingEndState == null && it.unallocatedCount > 0 &&
                        (!it.spec.gang || gangs.canStartAttempt(it))
                }.map {
                    QueuedJob(it, willMissDeadline(it), load(it.spec.team), rank(it), ageSeconds(it))
                }
        if (queued.isEmpty()) return emptyList()
        val (starved, others) = queued.partition { !it.job.hasBeenAllocated && it.ageSeconds > MUST_BEGIN_SECONDS / 2 }
        val (late, timely) = others.partition { it.late }
        val inTurn =
            timely.sortedWith(compareBy<QueuedJob> { it.job.spec.priority }.thenBy { it.load }.thenBy { it.rank }).toMutableList()
        val oldest = ArrayDeque(late.sortedByDescending { it.ageSeconds })
        val order = starved.sortedByDescending { it.ageSeconds }.toMutableList()
        while (inTurn.isNotEmpty() || oldest.isNotEmpty()) {
            val next = inTurn.take(TURNS_OF_TIMELY)
            order += next
            repeat(next.size) { inTurn.removeAt(0) }
            oldest.removeFirstOrNull()?.let { order += it }
        }
        return order.map { it.job }
    }

    /** When the aims want a job complete, counted from its submission; null where none says. */
    private fun limitSeconds(job: Job): Double? = job.spec.deadlineSeconds ?: finishAims[job.spec.jobClass]

    private fun ageSeconds(job: Job): Double = (context.wallMillis - job.submittedMillis) / 1000.0

    /** A job that cannot be complete in time any more gives way to those that still can. */
    private fun willMissDeadline(job: Job): Boolean =
        limitSeconds(job)?.let { ageSeconds(job) + job.spec.estimateSeconds * SURE_PART > it } ?: false

    /** Within a team: with a deadline the earliest first, otherwise the least work first, which keeps most jobs within a common aim. */
    private fun rank(job: Job): Double {
        val spec = job.spec
        spec.deadlineSeconds?.let { return it - ageSeconds(job) }
        val left = spec.tasks - job.done.cardinality()
        return left * spec.estimateSeconds - ageSeconds(job)
    }

    private fun load(team: String): Double {
        val share = context.settings.teams[team] ?: return 0.0
        val used = registry.allocations.usageByTeam[team] ?: return 0.0
        return maxOf(if (share.cpus > 0) used.cpus / share.cpus else 0.0, if (share.gpus > 0) used.gpus / share.gpus else 0.0)
    }

    /** Places what it can of [job], in the smallest type of machine that has room for it. */
    private fun place(
        job: Job,
        plan: PlacementPlan,
    ) {
        val spec = job.spec
        val zones = if (spec.oneZone || spec.spread) plan.zonesOf(job) else HashMap()
        var task = next(job, 0, plan)
        val pools = plan.poolsFor(spec)
        // The design samples blindly; where time presses, a fetch is too much of it while another machine holds the image.
        if (isFetchCritical(spec, pools)) {
            val holders = pools.flatMap { pool -> pool.candidates.filter { spec.image in it.machine.images && canUse(job, it) } }
            task = fill(job, task, holders, zones, plan)
        }
        // Where idle machines are returned, the dear ones of a type are filled last, so that they are the ones that go.
        for (group in pools.groupBy { it.first.type to (fleet.returnsIdle && it.first.spot) }.values) {
            if (task < 0) return
            context.count("placement.candidates", group.sumOf { it.candidates.size })
            task = fill(job, task, group.flatMap { pool -> pool.candidates.filter { canUse(job, it) } }, zones, plan)
        }
        val stopped =
            plan.allocations.size >= registry.allocations.maxStartsPerBatch ||
                fit.exceedsQuota(spec.team, plan.used(spec.team) + spec.size)
        if (task >= 0 && policy != null && spec.jobClass in waitClasses) task = fillSlowStarting(job, task, pools, zones, plan)
        if (task >= 0 && !stopped && !spec.oneZone && !spec.spread && hasExhaustedCapacity(job, pools)) {
            plan.unplaceable += ResourceRequest(spec.types, spec.zone, spec.spot, spec.size)
        }
    }

    /** Where room was left aside for a while, another job that has waited longer may still take it. Only advice leaves any aside. */
    private fun hasExhaustedCapacity(
        job: Job,
        pools: List<MachinePool>,
    ): Boolean =
        policy == null || mayUseAvoided(job) || pools.none { pool -> pool.candidates.any { it.isAvoided || it.remainingStarts <= 0 } }

    /** What a class's aim for starting wants at once goes to machines that have just joined as well, however much they have got. */
    private fun fillSlowStarting(
        job: Job,
        first: Int,
        pools: List<MachinePool>,
        zones: HashMap<String, Int>,
        plan: PlacementPlan,
    ): Int {
        val cold = pools.flatMap { pool -> pool.candidates.filter { it.remainingStarts != Int.MAX_VALUE && canUse(job, it) } }
        if (cold.isEmpty()) return first
        val limits = cold.associateWith { it.remainingStarts }
        cold.forEach { it.remainingStarts = Int.MAX_VALUE }
        val before = plan.allocations.size
        val next = fill(job, first, cold, zones, plan)
        limits.forEach { (capacity, left) -> capacity.remainingStarts = left }
        plan.allocations.drop(before).forEach { policy?.onPlaced(it.taskName, it.machine, PlacementReason.COLD_FOR_AIM) }
        return next
    }

    /** What has waited for half of the time within which a job gets what room there is also takes room that is avoided. */
    private fun mayUseAvoided(job: Job): Boolean =
        (job.allocatedAt?.let { context.now - it } ?: ageSeconds(job)) > MUST_HAVE_ROOM_SECONDS / 2

    private fun canUse(
        job: Job,
        capacity: MachineCapacity,
    ): Boolean = job.spec.size.fits(capacity.free) && (!capacity.isAvoided || mayUseAvoided(job))

    private fun isFetchCritical(
        spec: JobSpec,
        pools: List<MachinePool>,
    ): Boolean {
        if (spec.jobClass in urgentClasses) return true
        val slowest = pools.minOfOrNull { fit.fetchGbPerSecond(it.first.type) } ?: return false
        return spec.deadlineSeconds != null && slowest > 0 && spec.imageGb / slowest > spec.estimateSeconds * LONG_FETCH
    }

    /** Places tasks of [job] from [first] on in [machines] while there is room; returns the next task, or -1 when none is left. */
    private fun fill(
        job: Job,
        first: Int,
        candidates: List<MachineCapacity>,
        zones: HashMap<String, Int>,
        plan: PlacementPlan,
    ): Int {
        val spec = job.spec
        var task = first
        // Where idle machines are returned, those in use go first, so that others fall idle.
        val (idle, inUse) = candidates.partition { fleet.returnsIdle && it.free == it.total }
        val (empty, shared) = idle.toMutableList() to inUse.toMutableList()
        while (task >= 0 && plan.allocations.size < registry.allocations.maxStartsPerBatch) {
            val after = plan.used(spec.team) + spec.size
            if (fit.exceedsQuota(spec.team, after)) break
            val capacity = fit.sample(shared, spec, zones) ?: fit.sample(empty, spec, zones) ?: break
            if (empty.isNotEmpty() && capacity.free == capacity.total && empty.remove(capacity)) shared += capacity
            capacity.free -= spec.size
            if (capacity.remainingStarts != Int.MAX_VALUE) capacity.remainingStarts--
            plan.used[spec.team] = after
            plan.jobs += spec.id
            zones.merge(capacity.machine.zone, 1, Int::plus)
            plan.allocations += newAllocation(job, task, capacity.machine)
            if (capacity.isAvoided) policy?.onPlaced("${spec.id}/$task", capacity.machine.id, PlacementReason.AVOIDED_AFTER_WAIT)
            task = next(job, task + 1, plan)
        }
        return task
    }

    /** The next task from [from] on that may be placed now, or -1. */
    private fun next(
        job: Job,
        from: Int,
        plan: PlacementPlan,
    ): Int {
        var task = job.doneOrAllocated.nextClearBit(from)
        while (task < job.spec.tasks) {
            val taskName = "${job.spec.id}/$task"
            if (job.isEligible(task, context.now) && !workers.orphans(taskName) && taskName !in plan.placedFromReservation) return task
            task = job.doneOrAllocated.nextClearBit(task + 1)
        }
        return -1
    }

    private fun newAllocation(
        job: Job,
        task: Int,
        machine: Machine,
    ) = Allocation(
        job.spec.id,
        task,
        job.lastAttemptByTask.get(task) + 1,
        machine.id,
        machine.agentEpoch,
        machine.zone,
        QuotaCharge(job.spec.team, job.spec.size),
    )

    private companion object {
        /** Estimates are often too high; so much of one surely remains to be run. */
        const val SURE_PART = 0.3

        /** The part of a run that a fetch may take where a deadline presses. */
        const val LONG_FETCH = 0.1

        /** By the protocol every job begins within four minutes. */
        const val MUST_BEGIN_SECONDS = 240.0
        const val TURNS_OF_TIMELY = 3

        /** By the protocol no job waits longer than this beside room that it may use. */
        const val MUST_HAVE_ROOM_SECONDS = 90.0

        /** Rounds whose row is still being written; the tasks that gather meanwhile share the next. */
        const val MAX_PENDING_BATCHES = 3
    }
}
