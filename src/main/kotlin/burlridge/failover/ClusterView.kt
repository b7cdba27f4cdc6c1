package burlridge.failover

import burlridge.core.StepContext
import burlridge.leadership.Leadership
import burlridge.message.FailoverStatus
import burlridge.settings.FailoverSettings

/**
 * The other members as this one sees them: whether their heartbeats arrive, and what their last status said. Selects from these the members
 * that keep a standby replica and those that could take over the leadership.
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

    /** Whether [name] is another member of the settings. */
    fun isMember(name: String): Boolean = name in others

    /** Takes a heartbeat; false for one that is refused, see [RefusedInput.HEARTBEAT]. */
    fun recordHeartbeat(
        from: String,
        status: FailoverStatus,
    ): Boolean {
        val isFromFuture = status.incarnation > context.wallMillis + MAX_CLOCK_SKEW_MILLIS
        if (isFromFuture || !detector.recordHeartbeat(from, status.incarnation, status.sequence, context.now)) return false
        statuses[from] = status
        return true
    }

    /** Whether this member keeps a standby replica: the first members by name that are alive, do not lead and are not draining do. */
    fun isStandby(isDraining: Boolean): Boolean {
        if (leadership.isLeader || isDraining || leadership.knownLeader == null) return false
        val candidates = others.filter { it != leadership.knownLeader && isAvailable(it) }
        return (candidates + member).sorted().indexOf(member) < settings.standbys
    }

    /** The members that could take over the leadership now, the one with the most recent replica first. */
    fun successors(): List<String> =
        others
            .filter { isAvailable(it) && statuses[it]?.isSlow == false }
            .sortedByDescending { statuses[it]?.replicaRevision ?: FailoverStatus.NO_REPLICA }

    /** Whether another member is alive and not draining. */
    fun hasAvailableMember(): Boolean = others.any { isAvailable(it) }

    /** Whether another member is alive, not draining and holds a standby replica. */
    fun hasPreparedMember(): Boolean = others.any { isAvailable(it) && (statuses[it]?.replicaRevision ?: FailoverStatus.NO_REPLICA) >= 0 }

    private fun isAvailable(other: String): Boolean = detector.isAlive(other) && statuses[other]?.isDraining == false

    /** Each other member, for operators. */
    fun reports(): List<MemberReport> = detector.views(context.now).map { reportOf(it) }

    private fun reportOf(view: MemberView): MemberReport {
        val status = statuses[view.member]
        return MemberReport(
            member = view.member,
            state = if (view.lastHeartbeatAt == null) UNKNOWN_STATE else view.liveness.label,
            level = view.level,
            reason = view.reason,
            silentSeconds = view.lastHeartbeatAt?.let { context.now - it },
            isDraining = status?.isDraining ?: false,
            isSlow = status?.isSlow ?: false,
            replicaRevision = status?.replicaRevision ?: FailoverStatus.NO_REPLICA,
        )
    }

    private companion object {
        /** Two clocks of day differ by far less; a heartbeat from later than that would make all later ones look old. */
        const val MAX_CLOCK_SKEW_MILLIS = 60_000L
        const val UNKNOWN_STATE = "unknown"
    }
}
