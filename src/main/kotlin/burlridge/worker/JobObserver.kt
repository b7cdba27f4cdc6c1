package burlridge.worker

import burlridge.allocation.Allocation
import burlridge.allocation.AllocationPhase
import burlridge.allocation.Job
import burlridge.allocation.JobState
import burlridge.core.StepContext

/**
 * Determines whether tasks of a job run, from reports of its machines that are recent enough to be told to users. Heartbeats may be further
 * apart than that, and a new leader has none at first, so that workers are asked for a report when a user asks about their tasks.
 */
internal class JobObserver(
    private val context: StepContext,
    private val machines: MachineRegistry,
    private val inspector: WorkerInspector,
) {
    /** Returns whether tasks of [job], which has not ended, run; null if that is not known to have been so within [MAX_REPORT_AGE_SECONDS]. */
    fun stateOf(job: Job): JobState? {
        val allocations = job.allocations.values
        val isRunning = allocations.any { isObservedSince(it, context.now - MAX_REPORT_AGE_SECONDS) && isReportedRunning(it) }
        if (isRunning) return JobState.RUNNING
        val earliest = earliestForQueued(job)
        val noneRuns = allocations.all { !isStarted(it) || (isObservedSince(it, earliest) && !isReportedRunning(it)) }
        return if (noneRuns) JobState.QUEUED else null
    }

    /**
     * The earliest time of reports by which [job] may be called queued. A report from before the end of one task does not tell whether
     * another one had begun by then, so that a task may have run at every moment although no report shows one that runs.
     */
    private fun earliestForQueued(job: Job): Double {
        val lastEnds =
            job.allocations.values
                .filter { it.phase == AllocationPhase.RUNNING }
                .mapNotNull { machines.byId[it.machine]?.observedAt }
        return maxOf(context.now - MAX_REPORT_AGE_SECONDS, job.lastEndAt, lastEnds.maxOrNull() ?: Double.NEGATIVE_INFINITY)
    }

    /** Calls [onResult] with the state of [job], at once if it is known, otherwise after its machines have been asked for a report. */
    fun observe(
        job: Job,
        onResult: (JobState?) -> Unit,
    ) {
        val known = stateOf(job)
        val asked = if (known == null) machinesToAsk(job) else emptyList()
        if (asked.isEmpty()) return onResult(known)
        Observation(job, onResult).askAll(asked)
    }

    /** One question about [job] that waits for the reports of its machines. */
    private inner class Observation(
        private val job: Job,
        private val onResult: (JobState?) -> Unit,
    ) {
        private var unanswered = 0
        private var hasEnded = false

        fun askAll(asked: List<Machine>) {
            unanswered = asked.size
            asked.forEach { inspector.inspect(it, ::onAnswered) }
            context.schedule(TIMEOUT_SECONDS) { end() }
        }

        private fun onAnswered() {
            unanswered--
            if (unanswered == 0 || stateOf(job) != null) end()
        }

        private fun end() {
            if (hasEnded) return
            hasEnded = true
            onResult(stateOf(job))
        }
    }

    /** Machines whose reports would tell the state of [job]. One running task is enough to call the job running. */
    private fun machinesToAsk(job: Job): List<Machine> {
        val earliest = earliestForQueued(job)
        val unobserved = job.allocations.values.filter { isStarted(it) && !isObservedSince(it, earliest) }
        val running = unobserved.filter { it.phase == AllocationPhase.RUNNING }
        val (allocations, limit) = if (running.isEmpty()) unobserved to MAX_MACHINES_ASKED else running to MAX_RUNNING_MACHINES_ASKED
        return allocations
            .mapNotNull { machines.byId[it.machine] }
            .distinct()
            .take(limit)
    }

    private fun isStarted(allocation: Allocation): Boolean = allocation.phase > AllocationPhase.COMMITTED

    private fun isReportedRunning(allocation: Allocation): Boolean {
        val reportedTasks = machines.byId[allocation.machine]?.reportedTasks ?: return false
        return reportedTasks[taskKey(allocation.taskName, allocation.attempt)]?.state == TaskState.Known.RUNNING
    }

    private fun isObservedSince(
        allocation: Allocation,
        earliest: Double,
    ): Boolean {
        val machine = machines.byId[allocation.machine] ?: return false
        return machine.observedAt >= earliest
    }

    internal companion object {
        /** How far the state that is reported to a user may lag behind, in seconds; a rule of the protocol. */
        const val MAX_LAG_SECONDS: Double = 3.0

        /** The rest of [MAX_LAG_SECONDS] is left for the way through other members to the user. */
        private const val MAX_REPORT_AGE_SECONDS = MAX_LAG_SECONDS * 0.75

        /** Shorter than the time for which a member that forwards a user's question waits. */
        private const val TIMEOUT_SECONDS = MAX_LAG_SECONDS * 0.1
        private const val MAX_MACHINES_ASKED = 8
        private const val MAX_RUNNING_MACHINES_ASKED = 1
    }
}
