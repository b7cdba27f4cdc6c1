package burlridge.allocation

import burlridge.core.StepContext
import burlridge.job.Resources

/** The open allocations in memory, and the resources that they use on machines and of team quotas. */
internal class AllocationIndex(
    private val context: StepContext,
    private val jobs: Map<String, Job>,
) {
    /** Open allocations by machine and task name. */
    val byMachine: HashMap<String, LinkedHashMap<String, Allocation>> = HashMap()

    /** The resources that the open allocations of each team use. */
    val usageByTeam: HashMap<String, Resources> = HashMap()

    /** The resources that the open allocations on each machine use. */
    val usageByMachine: HashMap<String, Resources> = HashMap()

    /** The resources that the open allocations on [machine] use. */
    fun usageOn(machine: String): Resources = usageByMachine[machine] ?: Resources.NONE

    /** Removes all allocations when a term begins or ends. */
    fun clear() {
        byMachine.clear()
        usageByTeam.clear()
        usageByMachine.clear()
    }

    /** Reserves the resources of [allocation], and makes it the open allocation of its task, which must have no other. */
    fun add(allocation: Allocation) {
        jobs[allocation.job]?.let { job ->
            job.allocations.put(allocation.task, allocation)
            job.doneOrAllocated.set(allocation.task)
            job.allocatedAt = context.now
            job.recordAttempt(allocation)
        }
        byMachine.getOrPut(allocation.machine) { LinkedHashMap() }[allocation.taskName] = allocation
        usageByTeam.merge(allocation.charge.team, allocation.charge.resources, Resources::plus)
        usageByMachine.merge(allocation.machine, allocation.charge.resources, Resources::plus)
    }

    /**
     * Ends [allocation] and frees its resources. Its task must be known not to be on the machine any more, with no start command that can
     * still arrive. If [isLost], its task is not done; the loss of a task of a gang's current attempt aborts that attempt.
     */
    fun release(
        allocation: Allocation,
        isLost: Boolean,
    ) {
        if (allocation.hasEnded) return
        if (allocation.phase > AllocationPhase.COMMITTED) jobs[allocation.job]?.lastEndAt = context.now
        allocation.end(isLost)
        byMachine[allocation.machine]?.let { if (it[allocation.taskName] === allocation) it.remove(allocation.taskName) }
        jobs[allocation.job]?.let { job ->
            if (job.allocations.get(allocation.task) === allocation) {
                job.allocations.remove(allocation.task)
                if (!job.done.get(allocation.task)) job.doneOrAllocated.clear(allocation.task)
            }
            if (isLost && job.spec.gang && allocation.attempt == job.highestAttempt) abortAttempt(job)
        }
        usageByTeam.merge(allocation.charge.team, allocation.charge.resources, Resources::minus)
        usageByMachine.merge(allocation.machine, allocation.charge.resources, Resources::minus)
    }

    /** Aborts the current attempt of the gang [job], which has lost a task. */
    fun abortAttempt(job: Job) {
        if (job.isAbortingAttempt) return
        releaseAll(job, GangRules.abort(job))
    }

    /** Releases [allocations] of the gang [job] as lost, without aborting its attempt for each of them. */
    fun releaseAll(
        job: Job,
        allocations: List<Allocation>,
    ) {
        job.isAbortingAttempt = true
        allocations.forEach { release(it, isLost = true) }
        job.isAbortingAttempt = false
    }

    /** Removes the entries of [machine], which no longer exists and has no open allocations. */
    fun removeMachine(machine: String) {
        byMachine.remove(machine)
        usageByMachine.remove(machine)
    }
}
