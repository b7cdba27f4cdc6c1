package burlridge.worker

import burlridge.allocation.Claim
import burlridge.allocation.Ledger
import burlridge.allocation.Standing

/** Compares what a machine reports with what is claimed on it, and says what its worker has to be told. */
internal class ReportReconciler(
    private val ledger: Ledger,
    private val nextToken: () -> Long,
) {
    /** Stops for every task that has no business on [machine] any more; they are repeated until it is gone. */
    fun stops(machine: Machine): List<WorkerCommand> = machine.reported.values.mapNotNull { if (it.exited) null else stop(machine, it) }

    private fun stop(
        machine: Machine,
        report: ReportedTask,
    ): WorkerCommand? {
        val claim = claimOf(machine, report)
        if (claim == null || withdrawn(claim)) return WorkerCommand.Stop(report.task, report.attempt, graceS = 0.0)
        val graceS = claim.stopGraceS ?: return null
        // The tasks of a gang that saves are all told at the same time, by direct commands.
        if (report.state == "saving" || savesAsGang(claim)) return null
        return WorkerCommand.Stop(report.task, report.attempt, graceS)
    }

    private fun claimOf(
        machine: Machine,
        report: ReportedTask,
    ): Claim? =
        ledger.claims.byMachine[machine.id]
            ?.get(report.task)
            ?.takeIf { it.run == report.attempt }

    /** Removals of ended tasks whose end is durable, and of which no start can still be on its way. */
    fun removals(machine: Machine): List<WorkerCommand> {
        if (machine.commanding || machine.seenToken <= machine.unsettledToken) return emptyList()
        return machine.reported.values.mapNotNull { if (it.exited) removal(machine, it) else null }
    }

    private fun removal(
        machine: Machine,
        report: ReportedTask,
    ): WorkerCommand? {
        val jobId = report.task.substringBefore('/')
        val index = report.task.substringAfter('/').toIntOrNull() ?: return null
        val job = ledger.jobs[jobId]
        val done = report.exitReason == "done"
        if (job != null && done && !job.durable.get(index)) {
            ledger.markDone(job, index)
            return null
        }
        if (claimOf(machine, report) != null) return null
        // A repeat of the start may still come, and after the removal it would count as new. One that is done ends at once
        // again; any other must first be void, for it may run elsewhere by then, or be cancelled.
        val harmless = done && (job != null || ledger.end(jobId)?.standing == Standing.DONE)
        if (!harmless && machine.seenToken <= machine.lastStartToken) {
            if (machine.token <= machine.lastStartToken) machine.token = nextToken()
            return null
        }
        return WorkerCommand.Remove(report.task, report.attempt)
    }

    /** Its job is over, or its user has asked to cancel it. */
    fun withdrawn(claim: Claim): Boolean = ledger.jobs[claim.job]?.let { it.ending == Standing.WITHDRAWN } ?: true

    /** Whether [claim] is of a gang that saves when it is stopped. */
    fun savesAsGang(claim: Claim): Boolean = (claim.stopGraceS ?: 0.0) > 0 && ledger.jobs[claim.job]?.spec?.gang == true
}
