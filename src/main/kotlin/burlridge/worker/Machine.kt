package burlridge.worker

import burlridge.settings.Endpoint

/** Reason why a machine is drained: it gets no new tasks, and the tasks on it finish or are stopped. */
internal enum class DrainReason {
    /** Its tasks take much longer than other tasks of the same jobs. */
    SLOW,

    /** It did not boot in time. */
    OVERDUE,

    /** Its return to the cloud has been requested and cannot be undone. */
    RETURNED,

    /** Operators have drained it. */
    OPERATOR,
}

/**
 * The leader's view of a machine, from its worker's heartbeats and from the cloud's machine list. Times are in seconds of this member's
 * monotonic clock; [NEVER] marks an event that has not happened.
 */
internal class Machine(
    val id: String,
    /** Time at which this leader first learned of the machine. */
    val knownSince: Double,
) {
    // Reported by the cloud.

    /** Name of its machine type; empty until the cloud or its worker reports it. */
    var type: String = ""
    var zone: String = ""
    var spot: Boolean = false

    /** Whether the machine has appeared in the cloud's list. */
    var isListed: Boolean = false

    /** Greatest age that a list of the cloud has shown for it. */
    var listedAgeSeconds: Double = 0.0

    /** Whether it has been rented and has not booted yet. */
    var isStarting: Boolean = false

    /** Time at which its rental was requested; 0 if unknown. */
    var rentedAt: Double = 0.0

    // Reported by its worker.

    /** Address at which its worker accepts commands; null until known. */
    var address: Endpoint? = null

    /** Latest agent epoch of its worker, which begins a new one whenever it has lost all its tasks; 0 before the first heartbeat. */
    var agentEpoch: Long = 0

    /** Sequence number of the latest heartbeat within [agentEpoch]; -1 before the first one. */
    var sequence: Long = -1

    /** Highest fencing token that its worker has reported as seen. */
    var seenToken: Long = 0

    /** Its tasks by [TaskStatus.key], as of the latest heartbeat. */
    var reportedTasks: Map<String, TaskStatus> = emptyMap()

    /** Names of the tasks that run on it without an allocation. */
    var orphans: Set<String> = emptySet()

    /** Time of the latest heartbeat, whether sent on its own or in response to a command. */
    var lastMessageAt: Double = NEVER

    /** Time of the latest heartbeat sent on its own; a response to a command renews no lease. */
    var lastHeartbeatAt: Double = NEVER

    /** Latest time at which its tasks are known to have been as in [reportedTasks], unless a worker's request was held up on its way. */
    var observedAt: Double = NEVER

    /** Time at which the cloud will reclaim it; null unless its worker has reported a reclaim notice. */
    var reclaimAt: Double? = null

    /** Time of its first heartbeat to this leader; 0 before. */
    var upSince: Double = 0.0

    /** Time at which this leader last saw its worker change to a new agent epoch. */
    var epochChangedAt: Double = NEVER

    /**
     * Latest time at which the worker's lease may have been renewed: this leader answered a heartbeat with 200, an earlier leader may have
     * done so, or a new agent epoch began.
     */
    var leaseRenewedAt: Double = 0.0

    /** Latest heartbeat, used to recognize one without changes; null if the next heartbeat must be decoded in full. */
    var lastHeartbeat: LastHeartbeat? = null

    /** Member that relayed its latest heartbeat and relays commands to it; null if its worker reaches the leader directly. */
    var relayedBy: String? = null

    // State of the commands to its worker.

    /** Fencing token sent with the next commands and heartbeat responses. */
    var token: Long = 0

    /** Highest token of a command with an unknown outcome, which the worker may still execute. */
    var unsettledToken: Long = 0

    /**
     * Fencing token that its worker must have seen before more tasks are placed on the machine: only this proves that the worker receives
     * this leader's responses.
     */
    var requiredToken: Long = 0

    /** Time since which it has sent heartbeats without having seen [requiredToken]; null once it has seen it. */
    var unresponsiveSince: Double? = null

    /** Highest token under which a start command was sent. */
    var lastStartToken: Long = 0
    var commandInFlight: Boolean = false

    /** Earliest time at which the next command may be sent. */
    var nextCommandAt: Double = 0.0

    /** Number of consecutive requests to its worker that were not answered with a heartbeat. */
    var consecutiveCommandFailures: Int = 0

    // Decided by the leader.

    /** Earliest time at which tasks may be placed on it again after it failed or refused tasks. */
    var noPlacementBefore: Double = 0.0

    /** Time since which it has had no allocations; 0 while it has some. */
    var idleSince: Double = 0.0

    /** Number of tasks that have failed on it since the last one that completed. */
    var consecutiveTaskFailures: Int = 0

    /** Reason why it is drained; null while it is in service. */
    var drainReason: DrainReason? = null

    /**
     * Whether it is considered dead. It is then returned to the cloud together with its tasks, and the cloud's confirmation proves that
     * they have ended.
     */
    var isDead: Boolean = false

    /** Whether a call to return it to the cloud is in flight or waits to be retried. */
    var isReturning: Boolean = false

    /** Whether its worker's lease has certainly expired and has not been renewed by a newer heartbeat. */
    var isLeaseExpired: Boolean = false

    /** Images that its cache should still hold, with their size in GB, from least to most recently used. */
    val images: Map<String, Double> get() = cachedImages
    private val cachedImages = LinkedHashMap<String, Double>()

    /** Time since which no message has come from it. */
    val silentSince: Double get() = maxOf(lastMessageAt, knownSince)

    /** Whether it has ever sent a heartbeat to this leader. */
    val isUp: Boolean get() = agentEpoch > 0

    val isDraining: Boolean get() = drainReason != null

    /** Whether it is drained permanently, so that no messages are expected from it. A drain by operators may be undone. */
    val isDecommissioning: Boolean get() = isDraining && drainReason != DrainReason.OPERATOR

    /** Highest token whose commands the worker may still execute, at once or as late copies, although they have been answered. */
    val lastCommandToken: Long get() = maxOf(unsettledToken, lastStartToken)

    /** Whether its worker has seen [requiredToken], which proves that it receives responses. */
    val isResponsive: Boolean get() = seenToken >= requiredToken

    /** Copies the description of the machine and its tasks from [heartbeat], which the caller has checked to be the latest. */
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

    /**
     * Records that a task has used [image], of [sizeGb], and drops the least recently used images that a cache of [cacheGb] cannot hold
     * together with it.
     */
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
        /** Time before all others; marks an event that has not happened. */
        const val NEVER: Double = -1e9
    }
}
