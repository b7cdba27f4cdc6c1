package burlridge.worker

import burlridge.core.StepContext
import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap

/** Tracks which zones this leader can reach with commands, and from which zones it receives direct heartbeats. */
internal class ZoneReachability(
    private val context: StepContext,
) {
    private val reportSeconds = context.settings.workers.reportSeconds

    /** Number of consecutive unanswered direct commands by zone, without the zones in which the last direct command was answered. */
    private val unansweredCommands = Object2IntOpenHashMap<String>()

    /** Time of the last direct heartbeat from each zone. */
    private val directHeartbeatAt = Object2DoubleOpenHashMap<String>()

    /** Clears all state when a term begins or ends. */
    fun clear() {
        unansweredCommands.clear()
        directHeartbeatAt.clear()
    }

    /** Records a direct heartbeat from [zone]. */
    fun onHeartbeat(zone: String) {
        directHeartbeatAt.put(zone, context.now)
    }

    /** Records whether a command sent directly to a worker in [zone] was answered. */
    fun onCommandResult(
        zone: String,
        isAnswered: Boolean,
    ) {
        if (isAnswered) unansweredCommands.removeInt(zone) else unansweredCommands.addTo(zone, 1)
    }

    /** Whether commands to [machine] can be expected to arrive. */
    fun isReachable(machine: Machine): Boolean = machine.relayedBy != null || !isUnreachable(machine.zone)

    private fun isUnreachable(zone: String): Boolean =
        unansweredCommands.getInt(zone) >= MIN_UNANSWERED_FOR_UNREACHABLE && !receivesHeartbeatsFrom(zone)

    /** Returns the zones with so many consecutive unanswered commands that they may be unreachable. */
    fun zonesWithUnansweredCommands(): List<String> =
        unansweredCommands.keys.filter { unansweredCommands.getInt(it) >= MIN_UNANSWERED_FOR_UNREACHABLE }

    /**
     * Whether direct heartbeats arrive from [zone]. If they do, a machine there that cannot be reached is itself dead or partitioned,
     * rather than the whole zone.
     */
    fun receivesHeartbeatsFrom(zone: String): Boolean = context.now < directHeartbeatAt.getDouble(zone) + reportSeconds / 2

    /** Returns the zones with machines that have sent a heartbeat to this leader, but without a recent direct heartbeat. */
    fun zonesWithoutHeartbeats(machines: Collection<Machine>): List<String> {
        val machineCounts = Object2IntOpenHashMap<String>()
        machines.forEach { if (it.isUp && !it.isLeaseExpired && !it.isDecommissioning) machineCounts.addTo(it.zone, 1) }
        return machineCounts.keys.filter { zone ->
            val maxGapIntervals = if (machineCounts.getInt(zone) >= MIN_LARGE_ZONE_SIZE) MAX_GAP_LARGE_ZONE else MAX_GAP_SMALL_ZONE
            context.now > directHeartbeatAt.getDouble(zone) + reportSeconds * maxGapIntervals
        }
    }

    private companion object {
        const val MIN_UNANSWERED_FOR_UNREACHABLE = 4

        /**
         * In a zone with at least this many machines, at least one of them sends a heartbeat within half a heartbeat interval; in a
         * smaller zone, one does within one and a quarter intervals.
         */
        const val MIN_LARGE_ZONE_SIZE = 8
        const val MAX_GAP_LARGE_ZONE = 0.5
        const val MAX_GAP_SMALL_ZONE = 1.25
    }
}
