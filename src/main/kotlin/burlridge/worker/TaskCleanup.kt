package burlridge.worker

import burlridge.allocation.Allocation
import burlridge.allocation.JobRegistry
import burlridge.allocation.JobState

/** Chooses the commands sent with the response to a heartbeat: stops of tasks that must not run any more, and removals of ended tasks. */
internal class TaskCleanup(
    private val registry: JobRegistry,
    private val nextToken: () -> Long,
) {
    /** Returns a stop for every task that must not run on [machine] any more. Stops are repeated until the task has ended. */
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
        // The tasks of a gang that saves its progress are all stopped at the same time, by commands sent directly to their workers.
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

    /** Returns removals of ended tasks whose end is stored and of which no start can still arrive. */
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
        // A duplicate of the start command may still arrive, and after the removal the worker would execute it as a new start. A task that
        // is done would end again at once, which is harmless unless its job is cancelled: then the start is fenced. For any other task it
        // must be fenced first, since by then the task may run elsewhere.
        if (machine.seenToken <= machine.lastStartToken) {
            val isDoneOfActiveJob = isDone && job != null && !job.isCancelling
            if (isDoneOfActiveJob) job.unfencedRemovals.put(machine.id, machine.lastStartToken)
            val isRepeatHarmless = isDoneOfActiveJob || (isDone && registry.finishedJob(jobId)?.jobState == JobState.DONE)
            if (!isRepeatHarmless) {
                raiseToken(machine)
                return null
            }
        }
        return WorkerCommand.Remove(status.task, status.attempt)
    }

    private fun raiseToken(machine: Machine) {
        if (machine.token <= machine.lastStartToken) machine.token = nextToken()
    }
}
