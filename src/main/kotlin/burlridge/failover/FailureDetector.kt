package burlridge.failover

/**
 * Detects silent members by the heartbeats that arrive at this process. A process that was itself paused or starved of CPU time sees all
 * others fall silent at once; after such a pause it raises no suspicion until the others have had time to send again.
 *
 * @property expectedIntervalSeconds the usual interval between two heartbeats.
 * @property suspectLevel the [ArrivalWindow.suspicionLevel] from which on a member is suspected.
 */
internal class FailureDetector(
    members: Collection<String>,
    private val expectedIntervalSeconds: Double,
    private val suspectLevel: Double,
) {
    private class Peer(
        expectedIntervalSeconds: Double,
    ) {
        val window = ArrivalWindow(expectedIntervalSeconds)
        var liveness = Liveness.ALIVE
        var reason = "not heard yet"
        var lastHeartbeatAt: Double? = null

        /** Start of the current silence: the last heartbeat, or the end of this process's own last pause if that is later. */
        var silentSince: Double? = null
        var incarnation = 0L
        var sequence = 0L

        /** Whether its process was restarted since the member last became alive. */
        var hasRestarted = false
    }

    private val peers = members.associateWith { Peer(expectedIntervalSeconds) }
    private var lastTickAt: Double? = null
    private var recoveringUntil = 0.0

    /** Number of wrong suspicions: a heartbeat arrived again, from the same process and before its term was fenced. */
    var falseSuspicions: Long = 0
        private set

    /** Number of pauses of this process detected so far. */
    var ownPauses: Long = 0
        private set

    /** Whether this process was paused a moment ago, so that the silence of others is no evidence yet. */
    fun isRecoveringFromPause(now: Double): Boolean = now < recoveringUntil

    /**
     * Records a heartbeat; returns false if the member is unknown or the heartbeat is a duplicate or out of order. [incarnation] is the
     * time at which the member's process started, in milliseconds.
     */
    fun recordHeartbeat(
        member: String,
        incarnation: Long,
        sequence: Long,
        now: Double,
    ): Boolean {
        val peer = peers[member] ?: return false
        if (incarnation < peer.incarnation || (incarnation == peer.incarnation && sequence <= peer.sequence)) return false
        val hasRestarted = incarnation > peer.incarnation
        val silentSince = peer.silentSince
        // A silence that ended without a restart counts as a usual interval, even if it raised a suspicion.
        if (!hasRestarted && silentSince != null) peer.window.add(now - silentSince)
        peer.hasRestarted = peer.hasRestarted || (hasRestarted && peer.incarnation != 0L)
        peer.incarnation = incarnation
        peer.sequence = sequence
        peer.lastHeartbeatAt = now
        peer.silentSince = now
        return true
    }

    /** Evaluates every member and returns the changes since the last tick. */
    fun tick(now: Double): List<LivenessChange> {
        detectOwnPause(now)
        return peers.mapNotNull { (member, peer) -> evaluate(member, peer, now) }
    }

    private fun detectOwnPause(now: Double) {
        val previousTickAt = lastTickAt
        lastTickAt = now
        if (previousTickAt == null || now - previousTickAt < expectedIntervalSeconds * OWN_PAUSE_INTERVALS) return
        ownPauses++
        recoveringUntil = now + expectedIntervalSeconds * RECOVERY_INTERVALS
        peers.values.forEach { peer -> peer.silentSince = peer.silentSince?.let { now } }
    }

    private fun evaluate(
        member: String,
        peer: Peer,
        now: Double,
    ): LivenessChange? {
        val previousLiveness = peer.liveness
        val suspicionLevel = suspicionLevelOf(peer, now)
        val isSilent = suspicionLevel >= suspectLevel
        when {
            !isSilent && previousLiveness != Liveness.ALIVE && peer.lastHeartbeatAt != null -> {
                if (previousLiveness == Liveness.SUSPECTED && !peer.hasRestarted) falseSuspicions++
                transition(peer, Liveness.ALIVE, if (peer.hasRestarted) "heard again, restarted" else "heard again")
                peer.hasRestarted = false
            }

            isSilent && previousLiveness == Liveness.ALIVE && !isRecoveringFromPause(now) -> {
                val silence = now - (peer.silentSince ?: now)
                transition(peer, Liveness.SUSPECTED, "silent for %.2f s, level %.1f".format(silence, suspicionLevel))
            }
        }
        return if (peer.liveness == previousLiveness) null else LivenessChange(member, previousLiveness, peer.liveness, peer.reason)
    }

    /** Marks [member] as failed because the fencing token has moved past its term, to [term]; returns null if it is not suspected. */
    fun markFailed(
        member: String,
        term: Long,
    ): LivenessChange? {
        val peer = peers[member]?.takeIf { it.liveness == Liveness.SUSPECTED } ?: return null
        transition(peer, Liveness.FAILED, "silent, and term $term has passed its own")
        return LivenessChange(member, Liveness.SUSPECTED, Liveness.FAILED, peer.reason)
    }

    private fun transition(
        peer: Peer,
        liveness: Liveness,
        reason: String,
    ) {
        peer.liveness = liveness
        peer.reason = reason
    }

    private fun suspicionLevelOf(
        peer: Peer,
        now: Double,
    ): Double = peer.silentSince?.let { peer.window.suspicionLevel(now - it) } ?: 0.0

    /** Returns the view of [member]; null for a name that is not a member. */
    fun view(
        member: String,
        now: Double,
    ): MemberView? = peers[member]?.let { MemberView(member, it.liveness, suspicionLevelOf(it, now), it.reason, it.lastHeartbeatAt) }

    /** Returns the views of all members, in the order of the settings. */
    fun views(now: Double): List<MemberView> = peers.keys.mapNotNull { view(it, now) }

    /** Whether a heartbeat of [member] has arrived since this process started and it is neither suspected nor failed. */
    fun isAlive(member: String): Boolean = peers[member]?.let { it.liveness == Liveness.ALIVE && it.lastHeartbeatAt != null } ?: false

    private companion object {
        /** A gap of this many heartbeat intervals between two ticks means that this process was paused. */
        const val OWN_PAUSE_INTERVALS = 2.0

        /** Time that the others have after such a pause to send a heartbeat, in heartbeat intervals. */
        const val RECOVERY_INTERVALS = 4.0
    }
}
