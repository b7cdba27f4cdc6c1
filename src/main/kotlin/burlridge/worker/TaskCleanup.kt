package burlridge.worker

import burlridge.allocation.Allocation
import burlridge.allocation.JobRegistry
import burlridge.allocation.JobState

/** Chooses the commands that go with the answer to a heartbeat: stops for what must not run any more, removals of what has ended. */
internal class TaskCleanup(
    private val registry: JobRegistry,
    private val nextToken: () -> Long,
) {
    /** Stops for every task that must not run on [machine] any more; they are repeated until it has ended. */
    fun stops(machine: Machine): List<WorkerCommand> =
        machine.reportedTasks.values.mapNotNull { if (it.isExited) null else stop(machine, it) }

    private fun stop(
        machine: Machine,
        status: TaskStatus,
    ): WorkerCommand? {
        val allocation = allocationOf(machine, status)
        if (allocation == null || registry.isCancelled(allocation)) {
            return WorkerCommand.Stop(status.task, status.attempt, graceSeconds = 0.0)
        }
        val graceSeconds = allocation.stopGraceSeconds ?: return null
        // The tasks of a gang that saves are all stopped at the same time, by commands straight to their workers.
        if (status.state == TaskState.Known.CHECKPOINTING || registry.savesAsGang(allocation)) return null
        return WorkerCommand.Stop(status.task, status.attempt, graceSeconds)
    }

    private fun allocationOf(
        machine: Machine,
        status: TaskStatus,
    ): Allocation? =
        registry.allocations.byMachine[machine.id]
            ?.get(status.task)
            ?.takeIf { it.attempt == status.attempt }

    /** Removals of ended tasks whose end is stored, and of which no start can still arrive. */
    fun removals(machine: Machine): List<WorkerCommand> {
        if (machine.commandInFlight || machine.seenToken <= machine.unsettledToken) return emptyList()
        return machine.reportedTasks.values.mapNotNull { if (it.isExited) removal(machine, it) else null }
    }

    private fun removal(
        machine: Machine,
        status: TaskStatus,
    ): WorkerCommand? {
        val jobId = status.task.substringBefore('/')
        val index = status.task.substringAfter('/').toIntOrNull() ?: return null
        val job = registry.jobs[jobId]
        val isDone = status.exitReason == ExitReason.Known.DONE
        if (job != null && isDone && !job.persistedDone.get(index)) {
            registry.markDone(job, index)
            return null
        }
        if (allocationOf(machine, status) != null) return null
        // A repeated start may still arrive, and after the removal it would count as new. A task that is done ends at once again; any
        // other start must be fenced first, for the task may run elsewhere by then, or be cancelled.
        val isRepeatHarmless = isDone && (job != null || registry.finishedJob(jobId)?.jobState == JobState.DONE)
        if (!isRepeatHarmless && machine.seenToken <= machine.lastStartToken) {
            if (machine.token <= machine.lastStartToken) machine.token = nextToken()
            return null
        }
        return WorkerCommand.Remove(status.task, status.attempt)
    }
}
