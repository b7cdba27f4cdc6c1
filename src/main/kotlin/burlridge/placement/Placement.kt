package burlridge.placement

import burlridge.allocation.JobRegistry
import burlridge.core.StepContext
import burlridge.fleet.Fleet
import burlridge.worker.WorkerManager

/** Allocates the tasks of waiting jobs to machines, in rounds. */
internal class Placement(
    private val context: StepContext,
    private val registry: JobRegistry,
    private val workers: WorkerManager,
    fleet: Fleet,
) {
    private val objectives = PlacementObjectives(context.settings)
    private val quotas = TeamQuotas(context.settings.teams)
    private val selector = BestFitSelector(context, fleet)
    private val gangs = GangPlacement(context, workers, fleet, selector, objectives, quotas)
    private val arrays = ArrayPlacement(context, registry, workers, fleet, selector, objectives, quotas)
    private val queue = JobQueue(context, registry, objectives, quotas, gangs::canStartAttempt)
    private val plans = PlacementPlanBuilder(context, registry, workers, fleet)

    /** Null if load balancing is not enabled. */
    var policy: PlacementPolicy? by selector::policy

    /** Runs one round: places as many waiting tasks as the free capacity and one batch row can hold. */
    fun schedule() {
        if (registry.allocations.pendingBatches >= MAX_PENDING_BATCHES) return
        val waiting = queue.ordered()
        if (waiting.isEmpty()) return
        val plan = plans.build(policy)
        context.count("placement.rounds")
        if (plan.pools.all { it.candidates.isEmpty() }) return
        plan.reservations.toList().forEach { if (!isFull(plan)) arrays.placeReserved(it, plan) }
        val (gangsWithStartObjective, others) = waiting.partition { gangs.hasStartObjective(it) }
        gangsWithStartObjective.forEach { if (!isFull(plan)) gangs.place(it, plan) }
        gangs.reserveForExpectedGangs(plan)
        for (job in others) {
            if (isFull(plan)) break
            if (job.spec.gang) {
                gangs.place(job, plan)
            } else if (!plan.isUnplaceable(job.spec)) {
                arrays.place(job, plan)
            }
        }
        commit(plan)
    }

    private fun isFull(plan: PlacementPlan): Boolean =
        plan.allocations.size >= registry.allocations.maxAllocationsPerBatch || plan.jobIds.size >= registry.allocations.maxJobsPerBatch

    /** Stores the allocations of [plan], and sends their start commands once they are stored. */
    private fun commit(plan: PlacementPlan) {
        if (plan.allocations.isEmpty()) return
        context.debug("allocating tasks", "tasks" to plan.allocations.size, "jobs" to plan.jobIds.size)
        // Only a gang may need more than one row; it starts once all of its rows are stored.
        plan.allocations.chunked(registry.allocations.maxAllocationsPerBatch).forEach { batch ->
            registry.allocations.allocate(batch) { startable ->
                startable.map { it.machine }.distinct().forEach { id -> workers.machines[id]?.let(workers::sendPendingCommands) }
            }
        }
    }

    /** Returns a finder of target machines for running tasks that should move, based on the current free capacity. */
    fun moveTargetFinder(): MoveTargetFinder = MoveTargetFinder(plans.build(policy), selector, quotas)

    private companion object {
        /** Maximum number of batches whose row is still being written; tasks that arrive meanwhile share the next batch. */
        const val MAX_PENDING_BATCHES = 3
    }
}
