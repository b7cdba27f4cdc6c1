package burlridge.failover

import burlridge.core.StepContext
import burlridge.leadership.Leadership
import burlridge.message.FailoverStatus
import burlridge.settings.FailoverSettings

/**
 * This member's view of the other members: whether their heartbeats arrive, and the last status of each. Determines whether this member
 * keeps a standby replica and which members could take over the leadership.
 */
internal class ClusterView(
    private val context: StepContext,
    private val settings: FailoverSettings,
    private val leadership: Leadership,
) {
    private val member = context.settings.member
    private val others = context.settings.others.map { it.member }
    private val statuses = HashMap<String, FailoverStatus>()
    val detector: FailureDetector = FailureDetector(others, Leadership.STATUS_INTERVAL_SECONDS, settings.suspectLevel)

    /** Whether the settings list [name] as another member. */
    fun isMember(name: String): Boolean = name in others

    /** Records a heartbeat; returns false if it is refused, see [RefusedInput.HEARTBEAT]. */
    fun recordHeartbeat(
        from: String,
        status: FailoverStatus,
    ): Boolean {
        val isFromFuture = status.incarnation > context.wallMillis + MAX_CLOCK_SKEW_MILLIS
        if (isFromFuture || !detector.recordHeartbeat(from, status.incarnation, status.sequence, context.now)) return false
        statuses[from] = status
        return true
    }

    /**
     * Whether this member keeps a standby replica. Of the members that are alive, not draining and not the leader, the first ones by name
     * do, as many as the settings require. False while no leader is known.
     */
    fun isStandby(isDraining: Boolean): Boolean {
        if (leadership.isLeader || isDraining || leadership.knownLeader == null) return false
        val candidates = others.filter { it != leadership.knownLeader && isAvailable(it) }
        return (candidates + member).sorted().indexOf(member) < settings.standbys
    }

    /** Returns the members that could take over the leadership now, the one with the most recent replica first. */
    fun successors(): List<String> =
        others
            .filter { isAvailable(it) && statuses[it]?.isSlow == false }
            .sortedByDescending { statuses[it]?.replicaRevision ?: FailoverStatus.NO_REPLICA }

    /** Whether another member is alive and not draining. */
    fun hasAvailableMember(): Boolean = others.any { isAvailable(it) }

    /** Whether another member is alive, not draining and holds a standby replica. */
    fun hasMemberWithReplica(): Boolean =
        others.any { isAvailable(it) && (statuses[it]?.replicaRevision ?: FailoverStatus.NO_REPLICA) >= 0 }

    private fun isAvailable(other: String): Boolean = detector.isAlive(other) && statuses[other]?.isDraining == false

    /** Returns a report on each other member, for operators. */
    fun reports(): List<MemberReport> = detector.views(context.now).map { reportOf(it) }

    private fun reportOf(view: MemberView): MemberReport {
        val status = statuses[view.member]
        return MemberReport(
            member = view.member,
            state = if (view.lastHeartbeatAt == null) UNKNOWN_STATE else view.liveness.label,
            suspicionLevel = view.suspicionLevel,
            reason = view.reason,
            silentSeconds = view.lastHeartbeatAt?.let { context.now - it },
            isDraining = status?.isDraining ?: false,
            isSlow = status?.isSlow ?: false,
            replicaRevision = status?.replicaRevision ?: FailoverStatus.NO_REPLICA,
        )
    }

    private companion object {
        /**
         * Wall clocks of members differ by far less than this. An incarnation further in the future would make all later heartbeats of
         * that member look old.
         */
        const val MAX_CLOCK_SKEW_MILLIS = 60_000L
        const val UNKNOWN_STATE = "unknown"
    }
}
