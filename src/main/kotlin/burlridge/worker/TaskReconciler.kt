package burlridge.worker

import burlridge.allocation.Allocation
import burlridge.allocation.JobRegistry
import burlridge.allocation.JobState

/** Compares what a machine reports with what is claimed on it, and says what its worker has to be told. */
internal class TaskReconciler(
    private val registry: JobRegistry,
    private val nextToken: () -> Long,
) {
    /** Stops for every task that has no business on [machine] any more; they are repeated until it is gone. */
    fun stops(machine: Machine): List<WorkerCommand> = machine.reported.values.mapNotNull { if (it.exited) null else stop(machine, it) }

    private fun stop(
        machine: Machine,
        report: TaskStatus,
    ): WorkerCommand? {
        val allocation = allocationOf(machine, report)
        if (allocation == null || isCancelled(allocation)) return WorkerCommand.Stop(report.task, report.attempt, graceSeconds = 0.0)
        val graceSeconds = allocation.stopGraceSeconds ?: return null
        // The tasks of a gang that saves are all told at the same time, by direct commands.
        if (report.state == "saving" || savesAsGang(allocation)) return null
        return WorkerCommand.Stop(report.task, report.attempt, graceSeconds)
    }

    private fun allocationOf(
        machine: Machine,
        report: TaskStatus,
    ): Allocation? =
        registry.allocations.byMachine[machine.id]
            ?.get(report.task)
            ?.takeIf { it.attempt == report.attempt }

    /** Removals of ended tasks whose end is durable, and of which no start can still be on its way. */
    fun removals(machine: Machine): List<WorkerCommand> {
        if (machine.commandInFlight || machine.seenToken <= machine.unsettledToken) return emptyList()
        return machine.reported.values.mapNotNull { if (it.exited) removal(machine, it) else null }
    }

    private fun removal(
        machine: Machine,
        report: TaskStatus,
    ): WorkerCommand? {
        val jobId = report.task.substringBefore('/')
        val index = report.task.substringAfter('/').toIntOrNull() ?: return null
        val job = registry.jobs[jobId]
        val done = report.exitReason == "done"
        if (job != null && done && !job.persistedDone.get(index)) {
            registry.markDone(job, index)
            return null
        }
        if (allocationOf(machine, report) != null) return null
        // A repeat of the start may still come, and after the removal it would count as new. One that is done ends at once
        // again; any other must first be void, for it may run elsewhere by then, or be cancelled.
        val harmless = done && (job != null || registry.endOf(jobId)?.jobState == JobState.DONE)
        if (!harmless && machine.seenToken <= machine.lastStartToken) {
            if (machine.token <= machine.lastStartToken) machine.token = nextToken()
            return null
        }
        return WorkerCommand.Remove(report.task, report.attempt)
    }

    /** Its job is over, or its user has asked to cancel it. */
    fun isCancelled(allocation: Allocation): Boolean = registry.jobs[allocation.job]?.isCancelling ?: true

    /** Whether [claim] is of a gang that saves when it is stopped. */
    fun savesAsGang(allocation: Allocation): Boolean =
        (allocation.stopGraceSeconds ?: 0.0) > 0 && registry.jobs[allocation.job]?.spec?.gang == true
}
