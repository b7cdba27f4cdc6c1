package burlridge.worker

import burlridge.settings.Endpoint

/** Why no more tasks are placed on a machine, and those that it has leave it. */
internal enum class DrainReason {
    /** Its tasks take much longer than others of their jobs. */
    SLOW,

    /** It did not come up in time. */
    OVERDUE,

    /** Its return to the cloud has been requested, which cannot be undone. */
    RETURNED,

    /** Operators want it empty. */
    OPERATOR,
}

/**
 * A machine as the leader knows it, from its worker's heartbeats and from the cloud's list. Times are seconds of this member's steady
 * clock; [NEVER] stands for what has not happened.
 */
internal class Machine(
    val id: String,
    /** When this leader first knew of it. */
    val knownSince: Double,
) {
    // What the cloud says.

    /** The name of its machine type; empty until the cloud or its worker names it. */
    var type: String = ""
    var zone: String = ""
    var spot: Boolean = false

    /** Whether the cloud's list has had it. */
    var isListed: Boolean = false

    /** Its greatest age in the cloud's lists. */
    var listedAgeSeconds: Double = 0.0

    /** Whether it has been rented and is not up yet. */
    var isStarting: Boolean = false

    /** When its rental was requested; 0 where that is not known. */
    var rentedAt: Double = 0.0

    // What its worker says.

    /** Where it takes commands; null until it is known. */
    var address: Endpoint? = null

    /** The newest agent epoch of its worker, which begins one whenever it has lost all its tasks; 0 before its first heartbeat. */
    var agentEpoch: Long = 0

    /** The sequence of the newest heartbeat within [agentEpoch]; -1 before the first one. */
    var sequence: Long = -1

    /** The highest fencing token that its worker has seen. */
    var seenToken: Long = 0

    /** Its tasks by [TaskStatus.key], as of the newest heartbeat. */
    var reportedTasks: Map<String, TaskStatus> = emptyMap()

    /** The names of the tasks that run on it without an allocation. */
    var orphans: Set<String> = emptySet()

    /** When the newest heartbeat came, by itself or as the answer to a command. */
    var lastMessageAt: Double = NEVER

    /** When the newest heartbeat came by itself; answers to commands renew no lease. */
    var heartbeatAt: Double = NEVER

    /** When the cloud takes it back; null without such a notice. */
    var reclaimAt: Double? = null

    /** When its first heartbeat came to this leader; 0 before. */
    var upSince: Double = 0.0

    /** When this leader saw its worker begin a new agent epoch. */
    var epochBeganAt: Double = NEVER

    /** When this leader last answered a heartbeat with 200, or an earlier leader may have. */
    var answeredAt: Double = 0.0

    /** The newest heartbeat, to recognize one that says nothing new; null where the next one has to be read in full. */
    var lastHeartbeat: LastHeartbeat? = null

    /** The member that relayed its newest heartbeat, and relays the commands to it; null if its worker reaches the leader itself. */
    var relayedBy: String? = null

    // The state of commands to it.

    /** The fencing token of the next commands and answers. */
    var token: Long = 0

    /** The highest token under which a command of unknown outcome may still be executed. */
    var unsettledToken: Long = 0

    /** The token that its worker must have seen before anything more is placed on it, since only that shows that answers reach it. */
    var requiredToken: Long = 0

    /** Since when it has reported without having seen [requiredToken]; null once it has. */
    var unresponsiveSince: Double? = null

    /** The highest token under which a start was sent. */
    var lastStartToken: Long = 0
    var commandInFlight: Boolean = false

    /** No command is sent before. */
    var nextCommandAt: Double = 0.0

    /** Requests to it since the last one that was answered. */
    var consecutiveCommandFailures: Int = 0

    // What the leader has decided.

    /** Nothing is placed on it before, since it failed or refused tasks. */
    var noPlacementBefore: Double = 0.0

    /** Since when it has no allocations; 0 while it has some. */
    var idleSince: Double = 0.0

    /** Tasks that failed on it since the last one that was done. */
    var consecutiveTaskFailures: Int = 0

    /** Why it is drained; null while it is in service. */
    var drainReason: DrainReason? = null

    /** Whether it is taken for dead: it is returned with whatever is on it, and the cloud's answer makes the end of that certain. */
    var isDead: Boolean = false

    /** Whether a call to return it is under way, or is not retried yet. */
    var isReturning: Boolean = false

    /** Whether its worker's lease has certainly expired, and no newer heartbeat has renewed it. */
    var isLeaseExpired: Boolean = false

    /** Images that it should still have, with their size in GB; the most recently used last. */
    val images: Map<String, Double> get() = cachedImages
    private val cachedImages = LinkedHashMap<String, Double>()

    /** Since when it has sent nothing. */
    val silentSince: Double get() = maxOf(lastMessageAt, knownSince)

    /** Whether it has ever sent a heartbeat to this leader. */
    val isUp: Boolean get() = agentEpoch > 0

    val isDraining: Boolean get() = drainReason != null

    /** Whether it is drained for good, so that no message from it is waited for; one that operators drain may come back into service. */
    val isDecommissioning: Boolean get() = isDraining && drainReason != DrainReason.OPERATOR

    /** Whether its worker has seen the token that shows that answers reach it. */
    val isResponsive: Boolean get() = seenToken >= requiredToken

    /** Takes over what [heartbeat] says of the machine and its tasks; the caller has checked that it is the newest. */
    fun update(
        heartbeat: Heartbeat,
        now: Double,
    ) {
        type = heartbeat.type ?: type
        zone = heartbeat.zone ?: zone
        spot = heartbeat.spot ?: spot
        address = heartbeat.address ?: address
        isStarting = false
        reclaimAt = heartbeat.noticeSeconds?.let { now + it }
        reportedTasks = heartbeat.tasks
    }

    /** A task has used [image], of [sizeGb]; the least recently used ones that a cache of [cacheGb] cannot hold beside it are forgotten. */
    fun recordImage(
        image: String,
        sizeGb: Double,
        cacheGb: Double,
    ) {
        cachedImages.remove(image)
        cachedImages[image] = sizeGb
        while (cachedImages.size > 1 && cachedImages.values.sum() > cacheGb) cachedImages.remove(cachedImages.keys.first())
    }

    internal companion object {
        /** A time before all others, for what has not happened yet. */
        const val NEVER: Double = -1e9
    }
}
