package burlridge.worker

import burlridge.core.StepContext
import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap

/** Which zones this leader reaches with commands, and from which it hears reports that come straight to it. */
internal class ZoneReachability(
    private val context: StepContext,
) {
    private val reportSeconds = context.settings.workers.reportSeconds

    /** Commands in a row that reached nobody in a zone: it is then cut off from us, and only what comes by another way is used. */
    private val unreached = Object2IntOpenHashMap<String>()

    /** When a report last came straight from each zone. */
    private val directAt = Object2DoubleOpenHashMap<String>()

    fun clear() {
        unreached.clear()
        directAt.clear()
    }

    fun onHeartbeat(zone: String) {
        directAt.put(zone, context.now)
    }

    fun commanded(
        zone: String,
        answered: Boolean,
    ) {
        if (answered) unreached.removeInt(zone) else unreached.addTo(zone, 1)
    }

    fun isAbandoned(zone: String): Boolean = unreached.getInt(zone) >= UNREACHED_TO_LEAVE && !hearsZone(zone)

    /** Zones to which a command is tried only now and then. */
    fun abandonedZones(): List<String> = unreached.keys.filter { unreached.getInt(it) >= UNREACHED_TO_LEAVE }

    /** Whether reports come straight from [zone]: then what cannot be reached there is cut off or dead by itself. */
    fun hearsZone(zone: String): Boolean = context.now < directAt.getDouble(zone) + reportSeconds / 2

    /** Zones with machines that have reported to this leader, of which none has lately come straight to it. */
    fun zonesWithoutHeartbeats(machines: Collection<Machine>): List<String> {
        val up = Object2IntOpenHashMap<String>()
        machines.forEach { if (it.up && !it.leaseExpired && !it.abandoned) up.addTo(it.zone, 1) }
        return up.keys.filter { zone ->
            val quietSeconds = reportSeconds * if (up.getInt(zone) >= MANY) QUIET_OF_MANY else QUIET_OF_FEW
            context.now > directAt.getDouble(zone) + quietSeconds
        }
    }

    private companion object {
        const val UNREACHED_TO_LEAVE = 4

        /** Of so many machines at least one reports within half an interval; of few, one within a whole and a quarter. */
        const val MANY = 8
        const val QUIET_OF_MANY = 0.5
        const val QUIET_OF_FEW = 1.25
    }
}
