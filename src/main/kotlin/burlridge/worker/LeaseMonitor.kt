package burlridge.worker

import burlridge.core.StepContext
import burlridge.leadership.Leadership

/**
 * Tells when a worker's lease has certainly expired. Each answer of a leader to a heartbeat renews the lease; a worker whose lease expires
 * ends all its tasks and begins a new agent epoch.
 */
internal class LeaseMonitor(
    private val context: StepContext,
    private val leadership: Leadership,
    private val machines: MachineRegistry,
    private val losses: AllocationLosses,
) {
    private val workerSettings = context.settings.workers

    /** Whether neither a heartbeat nor an answer to a command has come from [machine] for longer than a lost one explains. */
    fun isSilent(machine: Machine): Boolean = context.now > machine.lastMessageAt + workerSettings.reportSeconds * SILENT_REPORTS

    /**
     * Whether [machine] has sent no heartbeat for half a lease, although it may answer commands: its lease expires with all that would be
     * placed on it.
     */
    fun isNotReporting(machine: Machine): Boolean =
        context.now > maxOf(machine.heartbeatAt, machine.knownSince) + workerSettings.leaseSeconds / 2

    /** Whether the worker's lease has certainly expired, which is not recorded on [machine] yet. */
    fun isNewlyExpired(machine: Machine): Boolean = !machine.isLeaseExpired && context.now > leaseExpiresAt(machine)

    /** Records that the lease has expired, and loses the allocations of [machine]. */
    fun expire(machine: Machine) {
        if (!machines.areAllocationsLoaded) return
        machine.isLeaseExpired = true
        machines.setOrphans(machine, emptySet())
        losses.loseAll(machine, LossReason.LEASE_EXPIRED)
    }

    /** Whether the worker has seen a token of this leader: from then on it accepts no answer of an earlier leader. */
    fun isFenced(machine: Machine): Boolean = FencingToken.termOf(machine.seenToken) == leadership.term

    /** The latest end of the lease, by the steady clock of this member. */
    private fun leaseExpiresAt(machine: Machine): Double {
        val answeredAt = if (isFenced(machine)) machine.answeredAt else maxOf(machine.answeredAt, leadership.formerLeadersAnswerUntil)
        return answeredAt + workerSettings.leaseSeconds * (1 + Leadership.CLOCK_DRIFT) + workerSettings.reportSeconds / MARGIN_PARTS
    }

    private companion object {
        const val SILENT_REPORTS = 2.5

        /** An answer may take this part of a report interval to arrive. */
        const val MARGIN_PARTS = 4
    }
}
