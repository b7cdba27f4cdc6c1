package burlridge.worker

import burlridge.core.StepContext
import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap

/** Which zones this leader reaches with commands, and from which heartbeats come straight to it. */
internal class ZoneReachability(
    private val context: StepContext,
) {
    private val reportSeconds = context.settings.workers.reportSeconds

    /** Consecutive direct commands without an answer, by zone; zones whose last one was answered are left out. */
    private val unansweredCommands = Object2IntOpenHashMap<String>()

    /** When a heartbeat last came straight from each zone. */
    private val directHeartbeatAt = Object2DoubleOpenHashMap<String>()

    /** Forgets everything, when leadership ends. */
    fun clear() {
        unansweredCommands.clear()
        directHeartbeatAt.clear()
    }

    /** A heartbeat has come straight from [zone]. */
    fun onHeartbeat(zone: String) {
        directHeartbeatAt.put(zone, context.now)
    }

    /** A command sent straight to a worker in [zone] has ended, with or without an answer. */
    fun onCommandResult(
        zone: String,
        isAnswered: Boolean,
    ) {
        if (isAnswered) unansweredCommands.removeInt(zone) else unansweredCommands.addTo(zone, 1)
    }

    /** Whether commands to [machine] can be expected to arrive. */
    fun isReachable(machine: Machine): Boolean = machine.relayedBy != null || !isCutOff(machine.zone)

    private fun isCutOff(zone: String): Boolean =
        unansweredCommands.getInt(zone) >= MIN_UNANSWERED_TO_CUT_OFF && !receivesHeartbeatsFrom(zone)

    /** Zones where so many commands in a row were not answered that they may be cut off. */
    fun zonesWithUnansweredCommands(): List<String> =
        unansweredCommands.keys.filter { unansweredCommands.getInt(it) >= MIN_UNANSWERED_TO_CUT_OFF }

    /** Whether heartbeats come straight from [zone], so that a machine there that cannot be reached is cut off or dead by itself. */
    fun receivesHeartbeatsFrom(zone: String): Boolean = context.now < directHeartbeatAt.getDouble(zone) + reportSeconds / 2

    /** Zones with machines that have reported to this leader, none of them lately and straight. */
    fun zonesWithoutHeartbeats(machines: Collection<Machine>): List<String> {
        val machineCounts = Object2IntOpenHashMap<String>()
        machines.forEach { if (it.isUp && !it.isLeaseExpired && !it.isDecommissioning) machineCounts.addTo(it.zone, 1) }
        return machineCounts.keys.filter { zone ->
            val patienceReports = if (machineCounts.getInt(zone) >= MIN_LARGE_ZONE) PATIENCE_REPORTS_LARGE else PATIENCE_REPORTS_SMALL
            context.now > directHeartbeatAt.getDouble(zone) + reportSeconds * patienceReports
        }
    }

    private companion object {
        const val MIN_UNANSWERED_TO_CUT_OFF = 4

        /** Of so many machines at least one reports within half an interval; of fewer, one within an interval and a quarter. */
        const val MIN_LARGE_ZONE = 8
        const val PATIENCE_REPORTS_LARGE = 0.5
        const val PATIENCE_REPORTS_SMALL = 1.25
    }
}
