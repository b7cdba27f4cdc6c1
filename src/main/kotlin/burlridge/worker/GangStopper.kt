package burlridge.worker

import burlridge.allocation.AllocationPhase
import burlridge.allocation.GangRules
import burlridge.allocation.GangState
import burlridge.allocation.Job
import burlridge.core.StepContext

/** Reason why a task or a gang is stopped early; [text] is its name in log lines. */
internal enum class StopReason(
    val text: String,
) {
    MACHINE_SLOW("machine_slow"),
    MACHINE_DRAINED("machine_drained"),

    /** The cloud reclaims a spot machine. */
    MACHINE_RECLAIMED("machine_reclaimed"),
}

/** Stops all tasks of a gang together. Saving the progress of the gang fails unless all tasks are stopped within a short time. */
internal class GangStopper(
    private val context: StepContext,
    private val machines: MachineRegistry,
    private val leases: LeaseMonitor,
    private val reachability: ZoneReachability,
    private val losses: AllocationLosses,
    private val commands: CommandDispatcher,
) {
    /**
     * Stops the gang of [job] because of [machineId]. A running gang is left to run if one of its machines cannot be reached, or if it
     * cannot save its progress although it [mustSave]: it may complete before the machine [machineId] is shut down.
     */
    fun stop(
        job: Job,
        reason: StopReason,
        machineId: String,
        mustSave: Boolean,
    ) {
        val state = GangRules.state(job)
        if (state != GangState.RUNNING && state != GangState.AWAITING_GANG) return
        val gangMachines =
            job.allocations.values
                .mapNotNull { machines.byId[it.machine] }
                .distinct()
        if (state == GangState.RUNNING) {
            if (mustSave && job.spec.checkpointIntervalSeconds <= 0) return
            if (!gangMachines.all { canReceiveStop(it) }) return
        }
        context.info(
            "gang stop requested",
            "job" to job.spec.id,
            "attempt" to job.highestAttempt,
            "machine" to machineId,
            "reason" to reason.text,
        )
        GangRules.stop(job).filter { it.phase == AllocationPhase.COMMITTED }.forEach { losses.markLost(it, LossReason.GANG_STOPPED) }
        gangMachines.forEach { commands.sendPending(it) }
    }

    private fun canReceiveStop(machine: Machine): Boolean =
        machine.isUp && machine.isResponsive && !machine.isLeaseExpired && machine.consecutiveCommandFailures == 0 &&
            !leases.isSilent(machine) && reachability.isReachable(machine)
}
