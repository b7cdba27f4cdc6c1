package burlridge.failover

/** Current role of a member; [label] is written to the report. */
internal enum class MemberRole(
    val label: String,
) {
    LEADER("leader"),

    /** Keeps a standby replica of the leader's rows. */
    STANDBY("standby"),
    FOLLOWER("follower"),
}

/** This member's view of another member. */
internal data class MemberReport(
    val member: String,
    /** The label of its [Liveness], or `unknown` if no heartbeat of the member has arrived. */
    val state: String,
    /** Suspicion level, see [ArrivalWindow.suspicionLevel]. */
    val suspicionLevel: Double,
    val reason: String,
    /** Seconds since its last heartbeat; null if none has arrived. */
    val silentSeconds: Double?,
    val isDraining: Boolean,
    val isSlow: Boolean,
    val replicaRevision: Long,
)

/** The standby replica of this member. */
internal data class ReplicaReport(
    val state: ReplicaState,
    val rows: Int,
    val bytes: Long,
    val revision: Long,
    /** Seconds since all tables were last refreshed; null unless [state] is [ReplicaState.FOLLOWING]. */
    val lagSeconds: Double?,
    /** Reason why the replica was last discarded or not used for a takeover; empty if neither has happened. */
    val lastDiscardReason: String,
)

/** One member's view of the current leader and of the members that could take over, for `burlridge status`. */
internal data class FailoverReport(
    val member: String,
    val role: MemberRole,
    val leader: String?,
    val term: Long,
    val isDraining: Boolean,
    val isDrained: Boolean,
    /** Whether this member was paused a moment ago, so that its view of the others is unreliable. */
    val isRecoveringFromPause: Boolean,
    val members: List<MemberReport>,
    val replica: ReplicaReport,
    /** State of the handover that this member offers, and of the one that it takes up, as text. */
    val outgoingHandover: String,
    val incomingHandover: String,
    val falseSuspicions: Long,
    val ownPauses: Long,
    /** Oldest first. */
    val leaderChanges: List<LeaderChange>,
)
