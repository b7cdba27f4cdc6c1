package burlridge.failover

/** What a member thinks of another one. */
internal enum class Liveness {
    ALIVE,

    /** Silent for unusually long. Nothing with an effect may follow from this alone. */
    SUSPECTED,

    /** Silent, and the fence in the state service has moved past its term. */
    FAILED,
}

/** One member as seen from here, for operators and for the choice of a successor. */
internal data class MemberView(
    val member: String,
    val liveness: Liveness,
    val level: Double,
    val reason: String,
    /** Null where nothing has been heard since the start. */
    val heardAt: Double?,
)

/** A change of [MemberView.liveness]. */
internal data class LivenessChange(
    val member: String,
    val before: Liveness,
    val now: Liveness,
    val reason: String,
)

/**
 * Tells silent members from live ones by the heartbeats that arrive here. A process that was itself paused or starved sees
 * everybody else fall silent at once: it doubts its own view first, and raises no suspicion until the others had a chance to be heard.
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
        var heardAt: Double? = null

        /** Silence counts from here: the last heartbeat, or the end of our own last pause. */
        var silentSince: Double? = null
        var incarnation = 0L
        var sequence = 0L

        /** Its process began anew since it was last alive. */
        var restarted = false
    }

    private val peers = members.associateWith { Peer(expectedSeconds) }
    private var lastTickAt: Double? = null
    private var doubtUntil = 0.0

    /** Suspicions raised and taken back: the member was heard again, by the same process and without having been fenced. */
    var falseSuspicions: Long = 0
        private set

    /** Own pauses noticed. */
    var pauses: Long = 0
        private set

    fun doubtsItself(now: Double): Boolean = now < doubtUntil

    /**
     * Takes a heartbeat; false for one of an unknown member, a copy, or one that was overtaken. An [incarnation] is the time at which
     * the member's process began, in milliseconds.
     */
    fun heard(
        member: String,
        incarnation: Long,
        sequence: Long,
        now: Double,
    ): Boolean {
        val peer = peers[member] ?: return false
        if (incarnation < peer.incarnation || (incarnation == peer.incarnation && sequence <= peer.sequence)) return false
        val restarted = incarnation > peer.incarnation
        val since = peer.silentSince
        // A silence that ended by itself was usual after all, whatever it was taken for.
        if (!restarted && since != null) peer.window.add(now - since)
        peer.restarted = peer.restarted || (restarted && peer.incarnation != 0L)
        peer.incarnation = incarnation
        peer.sequence = sequence
        peer.heardAt = now
        peer.silentSince = now
        return true
    }

    /** Looks at everybody; what has changed since the last look. */
    fun tick(now: Double): List<LivenessChange> {
        noticeOwnPause(now)
        return peers.mapNotNull { (member, peer) -> judge(member, peer, now) }
    }

    private fun noticeOwnPause(now: Double) {
        val before = lastTickAt
        lastTickAt = now
        if (before == null || now - before < expectedSeconds * PAUSE_HEARTBEATS) return
        pauses++
        doubtUntil = now + expectedSeconds * DOUBT_HEARTBEATS
        peers.values.forEach { peer -> peer.silentSince = peer.silentSince?.let { now } }
    }

    private fun judge(
        member: String,
        peer: Peer,
        now: Double,
    ): LivenessChange? {
        val before = peer.liveness
        val level = levelOf(peer, now)
        val silent = level >= suspectLevel
        when {
            !silent && before != Liveness.ALIVE && peer.heardAt != null -> {
                if (before == Liveness.SUSPECTED && !peer.restarted) falseSuspicions++
                become(peer, Liveness.ALIVE, if (peer.restarted) "heard again, restarted" else "heard again")
                peer.restarted = false
            }

            silent && before == Liveness.ALIVE && !doubtsItself(now) -> {
                val silence = now - (peer.silentSince ?: now)
                become(peer, Liveness.SUSPECTED, "silent for %.2f s, level %.1f".format(silence, level))
            }
        }
        return if (peer.liveness == before) null else LivenessChange(member, before, peer.liveness, peer.reason)
    }

    /** The term of [member] has been passed in the state service: a suspicion of it is now certain in all that matters. */
    fun fenced(
        member: String,
        term: Long,
    ): LivenessChange? {
        val peer = peers[member]?.takeIf { it.liveness == Liveness.SUSPECTED } ?: return null
        become(peer, Liveness.FAILED, "silent, and term $term has passed its own")
        return LivenessChange(member, Liveness.SUSPECTED, Liveness.FAILED, peer.reason)
    }

    private fun become(
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

    fun view(
        member: String,
        now: Double,
    ): MemberView? = peers[member]?.let { MemberView(member, it.liveness, levelOf(it, now), it.reason, it.heardAt) }

    fun views(now: Double): List<MemberView> = peers.keys.mapNotNull { view(it, now) }

    /** Heard since our start and not suspected. */
    fun isAlive(member: String): Boolean = peers[member]?.let { it.liveness == Liveness.ALIVE && it.heardAt != null } ?: false

    private companion object {
        /** A look that comes so many heartbeats after the last one means that this process stood still. */
        const val PAUSE_HEARTBEATS = 2.0

        /** How long the others have, after that, to be heard. */
        const val DOUBT_HEARTBEATS = 4.0
    }
}
