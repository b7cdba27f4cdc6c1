package burlridge.worker

import burlridge.allocation.JobRegistry
import burlridge.core.StepContext
import burlridge.leadership.Leadership

/** Sends requests without commands to determine whether machines and zones can be reached. */
internal class ReachabilityProbe(
    private val context: StepContext,
    private val leadership: Leadership,
    private val registry: JobRegistry,
    private val reachability: ZoneReachability,
    private val commands: CommandDispatcher,
) {
    private var nextProbeAt = 0.0

    /** Queries [machine] if its heartbeat is overdue, to distinguish a dead machine from one whose heartbeats are lost. */
    fun queryIfOverdue(machine: Machine) {
        val address = machine.address ?: return
        val isExpected = machine.isUp || registry.hasAllocationsOn(machine)
        if (!isExpected || machine.commandInFlight || machine.isDecommissioning) return
        if (context.now < machine.nextCommandAt || !leadership.holdsLease) return
        val overdueAt = machine.silentSince + context.settings.workers.reportSeconds * OVERDUE_AFTER_INTERVALS
        if (context.now > overdueAt) commands.query(machine, address)
    }

    /** Queries one machine, chosen at random, in each zone with several consecutive unanswered commands. */
    fun probeZonesWithUnansweredCommands(machines: Collection<Machine>) {
        if (context.now < nextProbeAt) return
        nextProbeAt = context.now + PROBE_INTERVAL_SECONDS
        for (zone in reachability.zonesWithUnansweredCommands()) {
            val candidates = machines.filter { it.zone == zone && canProbe(it) }
            val machine = candidates.randomOrNull(context.random) ?: continue
            commands.query(machine, machine.address ?: continue)
        }
    }

    private fun canProbe(machine: Machine): Boolean =
        machine.isUp && !machine.isLeaseExpired && machine.relayedBy == null && machine.address != null &&
            !machine.commandInFlight && !machine.isDecommissioning

    private companion object {
        const val OVERDUE_AFTER_INTERVALS = 1.6
        const val PROBE_INTERVAL_SECONDS = 1.0
    }
}
