package burlridge.worker

import burlridge.core.StepContext
import burlridge.leadership.Leadership

/**
 * Determines when a worker's lease has certainly expired. Each response of a leader to a heartbeat renews the lease; a worker whose lease
 * expires ends all its tasks and begins a new agent epoch.
 */
internal class LeaseMonitor(
    private val context: StepContext,
    private val leadership: Leadership,
    private val machines: MachineRegistry,
    private val losses: AllocationLosses,
) {
    private val workerSettings = context.settings.workers

    /** Whether [machine] has sent neither a heartbeat nor a response to a command for longer than a lost message explains. */
    fun isSilent(machine: Machine): Boolean = context.now > machine.lastMessageAt + workerSettings.reportSeconds * SILENT_AFTER_INTERVALS

    /**
     * Whether [machine] has sent no heartbeat on its own for half a lease, although it may answer commands. Its lease is about to expire,
     * which would end any task placed on it.
     */
    fun isNotReporting(machine: Machine): Boolean =
        context.now > maxOf(machine.lastHeartbeatAt, machine.knownSince) + workerSettings.leaseSeconds / 2

    /** Whether the worker's lease has certainly expired but this is not recorded on [machine] yet. */
    fun isNewlyExpired(machine: Machine): Boolean = !machine.isLeaseExpired && context.now > leaseExpiresAt(machine)

    /** Records that the lease has expired, and marks the allocations of [machine] as lost. */
    fun expire(machine: Machine) {
        if (!machines.areAllocationsLoaded) return
        machine.isLeaseExpired = true
        machines.setOrphans(machine, emptySet())
        losses.markAllLost(machine, LossReason.LEASE_EXPIRED)
    }

    /** Whether the worker has seen a token of this leader. From then on it accepts no response of an earlier leader. */
    fun isFenced(machine: Machine): Boolean = FencingToken.termOf(machine.seenToken) == leadership.term

    /** Returns the latest time, by the monotonic clock of this member, at which the lease can expire. */
    private fun leaseExpiresAt(machine: Machine): Double {
        val leaseRenewedAt =
            if (isFenced(
                    machine,
                )
            ) {
                machine.leaseRenewedAt
            } else {
                maxOf(machine.leaseRenewedAt, leadership.formerLeadersAnswerUntil)
            }
        return leaseRenewedAt + workerSettings.leaseSeconds * (1 + Leadership.CLOCK_DRIFT) +
            workerSettings.reportSeconds / RESPONSE_DELAY_DIVISOR
    }

    private companion object {
        const val SILENT_AFTER_INTERVALS = 2.5

        /** Divides the heartbeat interval; the result is the allowance for the time that a response takes to arrive. */
        const val RESPONSE_DELAY_DIVISOR = 4
    }
}
