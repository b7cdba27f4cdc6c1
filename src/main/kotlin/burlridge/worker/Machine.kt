package burlridge.worker

import burlridge.settings.Endpoint

/** Why a machine is being emptied. */
internal enum class DrainReason {
    /** Its tasks take much longer than others of their jobs. */
    SLOW,

    /** It did not come up in time. */
    OVERDUE,

    /** Its return to the cloud has been asked for, which cannot be taken back. */
    RETURNED,

    /** Operators want it empty. */
    OPERATOR,
}

/** A machine as the leader knows it, from its worker's reports and from the cloud's list. */
internal class Machine(
    val id: String,
    /** When this leader first knew of it. */
    val knownSince: Double,
) {
    // From the cloud.
    var type: String = ""
    var zone: String = ""
    var spot: Boolean = false
    var listed: Boolean = false
    var listedAgeSeconds: Double = 0.0
    var starting: Boolean = false
    var rentedAt: Double = 0.0

    // From the worker.
    var address: Endpoint? = null
    var agentEpoch: Long = 0
    var sequence: Long = -1
    var seenToken: Long = 0
    var reported: Map<String, TaskStatus> = emptyMap()
    var orphans: Set<String> = emptySet()
    var lastMessageAt: Double = -1e9
    var reclaimAt: Double? = null

    /** When this leader first heard its worker. */
    var upSince: Double = 0.0

    /** When its worker was seen to begin a new session; long ago where none was seen. */
    var sessionBeganAt: Double = -1e9

    /** When a report was last answered with 200 by us, or may have been by an earlier leader. */
    var answeredAt: Double = 0.0

    /** What it last reported by itself, to tell a report that says nothing new. */
    var lastHeartbeat: LastHeartbeat? = null

    /** When it last reported by itself; answers to commands renew no lease. */
    var heartbeatAt: Double = -1e9

    // Ours.
    var token: Long = 0

    /** The highest token under which a command of open outcome may still be on its way. */
    var unsettledToken: Long = 0

    /** The token that its worker must have seen before anything more is placed on it: only that shows that it hears us. */
    var requiredToken: Long = 0

    /** Since when it has reported without having seen [requiredToken]; null while it hears. */
    var unresponsiveSince: Double? = null

    /** The highest token under which a start was sent to it. */
    var lastStartToken: Long = 0
    var commandInFlight: Boolean = false
    var nextCommandAt: Double = 0.0
    var refusals: Int = 0
    var notBefore: Double = 0.0
    var idleSince: Double = 0.0
    var failures: Int = 0

    /** Why nothing more is placed on it and what is there leaves; null while it is in service. */
    var drainReason: DrainReason? = null

    /** Given up for dead: it goes back whatever was on it, and the cloud's answer makes that certain. */
    var dead: Boolean = false
    var returning: Boolean = false
    var leaseExpired: Boolean = false

    /** The member through which its last report came, where it cannot reach the leader itself; commands go the same way. */
    var relayedBy: String? = null

    /** Images it should still hold, with their size, the most recently used last. */
    val images: LinkedHashMap<String, Double> = LinkedHashMap()

    /** Since when nothing has been heard of it. */
    val silentSince: Double get() = maxOf(lastMessageAt, knownSince)

    val up: Boolean get() = agentEpoch > 0

    val draining: Boolean get() = drainReason != null

    /** Leaving for good, so that no word from it is waited for; one that operators drain is asked like any other. */
    val abandoned: Boolean get() = draining && drainReason != DrainReason.OPERATOR

    val isResponsive: Boolean get() = seenToken >= requiredToken

    /** Takes over what [report] says of the machine itself and of its tasks; its order among reports is the caller's to judge. */
    fun update(
        report: Heartbeat,
        now: Double,
    ) {
        type = report.type ?: type
        zone = report.zone ?: zone
        spot = report.spot ?: spot
        address = report.address ?: address
        starting = false
        reclaimAt = report.noticeSeconds?.let { now + it }
        reported = report.tasks
    }
}
