package burlridge.allocation

import burlridge.core.StepContext
import burlridge.job.Resources

/** The open allocations in memory, and the resources that they take of machines and team quotas. */
internal class AllocationIndex(
    private val context: StepContext,
    private val jobs: Map<String, Job>,
) {
    /** Open allocations by machine and task name. */
    val byMachine: HashMap<String, LinkedHashMap<String, Allocation>> = HashMap()

    /** What the open allocations of each team take. */
    val usageByTeam: HashMap<String, Resources> = HashMap()
    private val usageByMachine = HashMap<String, Resources>()

    /** What the open allocations on [machine] take. */
    fun usageOn(machine: String): Resources = usageByMachine[machine] ?: Resources.NONE

    /** Forgets all allocations: a new term begins, or this one has ended. */
    fun clear() {
        byMachine.clear()
        usageByTeam.clear()
        usageByMachine.clear()
    }

    /** Takes the resources of [allocation], and makes it the open allocation of its task. */
    fun add(allocation: Allocation) {
        jobs[allocation.job]?.let { job ->
            job.allocations.put(allocation.task, allocation)
            job.doneOrAllocated.set(allocation.task)
            job.allocatedAt = context.now
            job.recordAttempt(allocation)
        }
        putOnMachine(allocation)
        usageByTeam.merge(allocation.charge.team, allocation.charge.size, Resources::plus)
        usageByMachine.merge(allocation.machine, allocation.charge.size, Resources::plus)
    }

    /**
     * Ends [allocation] and frees its resources: its task is known to be gone from the machine, and no start command for it can arrive any
     * more. Where it [isLost] its task is not done; the loss of one task of a gang aborts the gang's attempt.
     */
    fun release(
        allocation: Allocation,
        isLost: Boolean,
    ) {
        if (allocation.hasEnded) return
        allocation.phase = AllocationPhase.ENDED
        allocation.isLost = isLost
        if (isLost) allocation.batch?.isStale = true
        byMachine[allocation.machine]?.let { if (it[allocation.taskName] === allocation) it.remove(allocation.taskName) }
        jobs[allocation.job]?.let { job ->
            if (job.allocations.get(allocation.task) === allocation) {
                job.allocations.remove(allocation.task)
                if (!job.done.get(allocation.task)) job.doneOrAllocated.clear(allocation.task)
            }
            if (isLost && job.spec.gang && allocation.attempt == job.highestAttempt) abortAttempt(job)
        }
        usageByTeam.merge(allocation.charge.team, allocation.charge.size, Resources::minus)
        usageByMachine.merge(allocation.machine, allocation.charge.size, Resources::minus)
    }

    /** Ends the present attempt of the gang [job], one of whose tasks is gone. */
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

    /** Makes [allocation], whose resources are taken already, the open allocation of its task. */
    fun restore(allocation: Allocation) {
        jobs[allocation.job]?.let {
            it.allocations.put(allocation.task, allocation)
            it.doneOrAllocated.set(allocation.task)
        }
        putOnMachine(allocation)
    }

    private fun putOnMachine(allocation: Allocation) {
        byMachine.getOrPut(allocation.machine) { LinkedHashMap() }[allocation.taskName] = allocation
    }
}
