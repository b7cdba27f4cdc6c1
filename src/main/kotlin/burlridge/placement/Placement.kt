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
    private val fit = BestFitSelector(context, fleet)
    private val gangs = GangPlacement(context, workers, fleet, fit, objectives, quotas)
    private val arrays = ArrayPlacement(context, registry, workers, fleet, fit, objectives, quotas)
    private val queue = JobQueue(context, registry, objectives, quotas, gangs::canStartAttempt)
    private val plans = PlacementPlanBuilder(context, registry, workers, fleet)

    /** Null where nobody balances load. */
    var policy: PlacementPolicy? by fit::policy

    /** One round: places as many waiting tasks as there is capacity for and one batch row holds. */
    fun schedule() {
        if (registry.allocations.pendingBatches >= MAX_PENDING_BATCHES) return
        val waiting = queue.ordered()
        if (waiting.isEmpty()) return
        val plan = plans.build(policy)
        context.count("placement.rounds")
        if (plan.pools.all { it.candidates.isEmpty() }) return
        plan.reservations.toList().forEach { if (!isFull(plan)) arrays.placeReserved(it, plan) }
        val (startingFirst, others) = waiting.partition { gangs.hasStartObjective(it) }
        startingFirst.forEach { if (!isFull(plan)) gangs.place(it, plan) }
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
        plan.allocations.size >= registry.allocations.maxAllocationsPerBatch || plan.jobs.size >= registry.allocations.maxJobsPerBatch

    /** Stores the allocations of [plan], and sends their start commands once they are stored. */
    private fun commit(plan: PlacementPlan) {
        if (plan.allocations.isEmpty()) return
        context.debug("allocating tasks", "tasks" to plan.allocations.size, "jobs" to plan.jobs.size)
        // Only a gang may need more than one row: it starts once all of its rows are stored.
        plan.allocations.chunked(registry.allocations.maxAllocationsPerBatch).forEach { batch ->
            registry.allocations.allocate(batch) { startable ->
                startable.map { it.machine }.distinct().forEach { id -> workers.machines[id]?.let(workers::sendPendingCommands) }
            }
        }
    }

    /** Finds machines for running tasks that are to move now. */
    fun moveTargetFinder(): MoveTargetFinder = MoveTargetFinder(plans.build(policy), fit, quotas)

    private companion object {
        /** Batches whose row is still being written; tasks that arrive meanwhile share the next one. */
        const val MAX_PENDING_BATCHES = 3
    }
}
