package burlridge.worker

import burlridge.allocation.Allocation
import burlridge.allocation.AllocationPhase
import burlridge.allocation.Job
import burlridge.allocation.JobRegistry
import burlridge.core.StepContext
import burlridge.job.JobSpec

/** Updates the allocation, the job and the image cache of the machine from the reported status of an allocated task. */
internal class TaskOutcomes(
    private val context: StepContext,
    private val registry: JobRegistry,
) {
    /** Returns the size of the image cache of a machine type, in GB; set once the types are known. */
    var cacheGbOfType: (String) -> Double = { 0.0 }

    /** Called with the run time in seconds of each task of which this leader observed both the start and the completion. */
    var onTaskCompleted: (Machine, Job, Double) -> Unit = { _, _, _ -> }

    private val workerSettings = context.settings.workers

    /** Updates [allocation] for a task that is on [machine] and has not ended. */
    fun recordActive(
        machine: Machine,
        allocation: Allocation,
        status: TaskStatus,
    ) {
        val before = allocation.phase
        allocation.phase = phaseOf(machine, allocation, status.state)
        if (allocation.phase == AllocationPhase.RUNNING && before != AllocationPhase.RUNNING && !allocation.isInherited) {
            recordStart(allocation)
        }
        if (allocation.phase != AllocationPhase.RUNNING && before == AllocationPhase.RUNNING) {
            registry.jobs[allocation.job]?.lastEndAt = context.now
        }
        if (allocation.phase >= AllocationPhase.AWAITING_GANG && before < AllocationPhase.AWAITING_GANG) {
            registry.jobs[allocation.job]?.let { recordImage(machine, it.spec) }
        }
    }

    private fun phaseOf(
        machine: Machine,
        allocation: Allocation,
        state: TaskState,
    ): AllocationPhase =
        when (state) {
            TaskState.Known.FETCHING -> AllocationPhase.FETCHING
            TaskState.Known.AWAITING_GANG -> AllocationPhase.AWAITING_GANG
            TaskState.Known.RUNNING -> AllocationPhase.RUNNING
            TaskState.Known.CHECKPOINTING -> AllocationPhase.CHECKPOINTING
            TaskState.Known.EXITED, is TaskState.Unrecognized -> phaseOfUnrecognized(machine, allocation, state)
        }

    /** Returns the phase for a state that is not recognized: all that is known is that the machine has the task. */
    private fun phaseOfUnrecognized(
        machine: Machine,
        allocation: Allocation,
        state: TaskState,
    ): AllocationPhase {
        context.count(UNRECOGNIZED_VALUES_METRIC)
        context.infoLimited(
            "task state not recognized",
            "task" to allocation.taskName,
            "machine" to machine.id,
            "state" to state.text.take(MAX_LOGGED_TEXT_LENGTH),
        )
        return maxOf(allocation.phase, AllocationPhase.FETCHING)
    }

    private fun recordStart(allocation: Allocation) {
        allocation.startedAt = context.now
        val job = registry.jobs[allocation.job] ?: return
        if (allocation.task == 0 && job.spec.gang) {
            context.debug(
                "gang running",
                "job" to job.spec.id,
                "attempt" to allocation.attempt,
                "sinceSubmissionSeconds" to (context.wallMillis - job.submittedMillis) / MILLIS_PER_SECOND,
            )
        }
    }

    private fun recordImage(
        machine: Machine,
        spec: JobSpec,
    ) = machine.recordImage(spec.image, spec.imageGb, cacheGbOfType(machine.type))

    /** Releases [allocation], whose task has ended on [machine], and updates its job. */
    fun recordExit(
        machine: Machine,
        allocation: Allocation,
        status: TaskStatus,
    ) {
        val job = registry.jobs[allocation.job]
        val reason = status.exitReason
        registry.allocations.release(allocation, isLost = reason != ExitReason.Known.DONE)
        if (job == null) return
        when (reason) {
            ExitReason.Known.DONE -> {
                recordCompletion(machine, allocation, job)
            }

            ExitReason.Known.STOPPED -> {
                logStopped(machine, allocation, status)
            }

            ExitReason.Known.ERROR -> {
                recordFailure(machine, allocation, job)
            }

            ExitReason.Known.GANG_LOST, ExitReason.Known.GANG_INCOMPLETE -> {
                logGangIncomplete(machine, allocation, reason)
            }

            ExitReason.Known.FULL, ExitReason.Known.IN_USE, ExitReason.Known.TASK_UNKNOWN, is ExitReason.Unrecognized, null -> {
                recordRefusal(machine, allocation, job, reason)
            }
        }
    }

    private fun recordCompletion(
        machine: Machine,
        allocation: Allocation,
        job: Job,
    ) {
        machine.consecutiveTaskFailures = 0
        allocation.startedAt?.let {
            job.finishedRunSeconds += context.now - it
            job.finishedRunCount++
            onTaskCompleted(machine, job, context.now - it)
        }
        recordImage(machine, job.spec)
        registry.markDone(job, allocation.task)
    }

    private fun recordFailure(
        machine: Machine,
        allocation: Allocation,
        job: Job,
    ) {
        job.failures++
        machine.consecutiveTaskFailures++
        context.info(
            "task failed",
            "task" to allocation.taskName,
            "machine" to machine.id,
            "failuresOfJob" to job.failures,
            "consecutiveFailuresOnMachine" to machine.consecutiveTaskFailures,
        )
        job.delayRetry(
            allocation.task,
            context.now + minOf(workerSettings.reportSeconds * job.failures, workerSettings.leaseSeconds),
        )
        val failures = machine.consecutiveTaskFailures
        // If most failures of the job happened on other machines, the job is the more likely cause.
        if (failures >= MIN_FAILURES_TO_QUARANTINE && job.failures < failures * 2) {
            machine.noPlacementBefore = context.now + workerSettings.leaseSeconds
        }
    }

    private fun recordRefusal(
        machine: Machine,
        allocation: Allocation,
        job: Job,
        reason: ExitReason?,
    ) {
        if (reason !is ExitReason.Known) context.count(UNRECOGNIZED_VALUES_METRIC)
        context.infoLimited(
            "task start refused",
            "task" to allocation.taskName,
            "machine" to machine.id,
            "reason" to reason?.text?.take(MAX_LOGGED_TEXT_LENGTH),
        )
        val retryAt = context.now + workerSettings.reportSeconds / RETRIES_PER_HEARTBEAT_INTERVAL
        job.delayRetry(allocation.task, retryAt)
        if (reason == ExitReason.Known.FULL) machine.noPlacementBefore = retryAt
    }

    private fun logStopped(
        machine: Machine,
        allocation: Allocation,
        status: TaskStatus,
    ) = context.infoLimited("task stopped", "task" to allocation.taskName, "machine" to machine.id, "saved" to status.saved)

    /** Logs the end of a task because another task of its gang was lost or late. Neither the machine nor the job counts as failed. */
    private fun logGangIncomplete(
        machine: Machine,
        allocation: Allocation,
        reason: ExitReason,
    ) = context.infoLimited(
        "gang task ended without its gang",
        "task" to allocation.taskName,
        "attempt" to allocation.attempt,
        "machine" to machine.id,
        "reason" to reason.text,
    )

    private companion object {
        /** Counts states and exit reasons that this version does not recognize. */
        const val UNRECOGNIZED_VALUES_METRIC = "worker.unknown_words"
        const val MIN_FAILURES_TO_QUARANTINE = 2

        /** A refused start is retried after the heartbeat interval divided by this. */
        const val RETRIES_PER_HEARTBEAT_INTERVAL = 3

        /** Maximum number of characters logged of a state or reason. */
        const val MAX_LOGGED_TEXT_LENGTH = 20
        const val MILLIS_PER_SECOND = 1000.0
    }
}
