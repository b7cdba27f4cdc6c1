package burlridge.failover

/**
 * Tells silent members from live ones by the heartbeats that arrive here. A process that was itself paused or starved sees
 * everybody else fall silent at once: it distrusts its own view first, and raises no suspicion until the others had time to send again.
 *
 * @property expectedSeconds the usual interval between two heartbeats.
 * @property suspectLevel the level of [ArrivalWindow.level] from which on a member is suspected.
 */
internal class FailureDetector(
    members: Collection<String>,
    private val expectedSeconds: Double,
    private val suspectLevel: Double,
) {
    private class Peer(
        expectedSeconds: Double,
    ) {
        val window = ArrivalWindow(expectedSeconds)
        var liveness = Liveness.ALIVE
        var reason = "not heard yet"
        var lastHeartbeatAt: Double? = null

        /** Silence counts from here: the last heartbeat, or the end of our own last pause. */
        var silentSince: Double? = null
        var incarnation = 0L
        var sequence = 0L

        /** Whether its process was restarted since the member was last alive. */
        var hasRestarted = false
    }

    private val peers = members.associateWith { Peer(expectedSeconds) }
    private var lastTickAt: Double? = null
    private var recoveringUntil = 0.0

    /** Suspicions raised and taken back: a heartbeat arrived again, from the same process and before its term was fenced. */
    var falseSuspicions: Long = 0
        private set

    /** Pauses of this process noticed so far. */
    var ownPauses: Long = 0
        private set

    /** Whether this process was paused a moment ago, so that the silence of others means nothing yet. */
    fun isRecoveringFromPause(now: Double): Boolean = now < recoveringUntil

    /**
     * Takes a heartbeat; false for one of an unknown member, a copy, or one that was overtaken. An [incarnation] is the time at which
     * the member's process began, in milliseconds.
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
        // A silence that ended by itself is part of the usual intervals, even if it raised a suspicion.
        if (!hasRestarted && silentSince != null) peer.window.add(now - silentSince)
        peer.hasRestarted = peer.hasRestarted || (hasRestarted && peer.incarnation != 0L)
        peer.incarnation = incarnation
        peer.sequence = sequence
        peer.lastHeartbeatAt = now
        peer.silentSince = now
        return true
    }

    /** Evaluates every member; the changes since the last tick. */
    fun tick(now: Double): List<LivenessChange> {
        detectOwnPause(now)
        return peers.mapNotNull { (member, peer) -> evaluate(member, peer, now) }
    }

    private fun detectOwnPause(now: Double) {
        val before = lastTickAt
        lastTickAt = now
        if (before == null || now - before < expectedSeconds * PAUSE_HEARTBEATS) return
        ownPauses++
        recoveringUntil = now + expectedSeconds * RECOVERY_HEARTBEATS
        peers.values.forEach { peer -> peer.silentSince = peer.silentSince?.let { now } }
    }

    private fun evaluate(
        member: String,
        peer: Peer,
        now: Double,
    ): LivenessChange? {
        val before = peer.liveness
        val level = levelOf(peer, now)
        val isSilent = level >= suspectLevel
        when {
            !isSilent && before != Liveness.ALIVE && peer.lastHeartbeatAt != null -> {
                if (before == Liveness.SUSPECTED && !peer.hasRestarted) falseSuspicions++
                transition(peer, Liveness.ALIVE, if (peer.hasRestarted) "heard again, restarted" else "heard again")
                peer.hasRestarted = false
            }

            isSilent && before == Liveness.ALIVE && !isRecoveringFromPause(now) -> {
                val silence = now - (peer.silentSince ?: now)
                transition(peer, Liveness.SUSPECTED, "silent for %.2f s, level %.1f".format(silence, level))
            }
        }
        return if (peer.liveness == before) null else LivenessChange(member, before, peer.liveness, peer.reason)
    }

    /** The fencing token has passed the term of [member]: a suspected member now counts as failed; null where it is not suspected. */
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

    private fun levelOf(
        peer: Peer,
        now: Double,
    ): Double = peer.silentSince?.let { peer.window.level(now - it) } ?: 0.0

    /** Null for a name that is no member. */
    fun view(
        member: String,
        now: Double,
    ): MemberView? = peers[member]?.let { MemberView(member, it.liveness, levelOf(it, now), it.reason, it.lastHeartbeatAt) }

    /** All members, in the order of the settings. */
    fun views(now: Double): List<MemberView> = peers.keys.mapNotNull { view(it, now) }

    /** Whether a heartbeat of [member] arrived since our start and it is not suspected now. */
    fun isAlive(member: String): Boolean = peers[member]?.let { it.liveness == Liveness.ALIVE && it.lastHeartbeatAt != null } ?: false

    private companion object {
        /** A tick that comes so many heartbeats after the last one means that this process was paused. */
        const val PAUSE_HEARTBEATS = 2.0

        /** How long the others have, after that, to send a heartbeat. */
        const val RECOVERY_HEARTBEATS = 4.0
    }
}
