package burlridge.failover

/** What a member does now; [label] stands in the report. */
internal enum class MemberRole(
    val label: String,
) {
    LEADER("leader"),

    /** Keeps a standby replica of the leader's rows. */
    STANDBY("standby"),
    FOLLOWER("follower"),
}

/** Another member as this one sees it. */
internal data class MemberReport(
    val member: String,
    /** The label of its [Liveness], or `unknown` where no heartbeat of it has arrived. */
    val state: String,
    /** Suspicion level, see [ArrivalWindow.level]. */
    val level: Double,
    val reason: String,
    /** Seconds since its last heartbeat; null where none has arrived. */
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
    /** Seconds since all of it was last refreshed; null where none is kept. */
    val lagSeconds: Double?,
    /** Why the replica was last discarded; empty where it never was. */
    val lastDiscard: String,
)

/** One member's view of who leads and who could, for `burlridge status`. */
internal data class FailoverReport(
    val member: String,
    val role: MemberRole,
    val leader: String?,
    val term: Long,
    val isDraining: Boolean,
    val isDrained: Boolean,
    /** Whether this member was paused a moment ago, and so distrusts its own view of the others. */
    val isRecoveringFromPause: Boolean,
    val members: List<MemberReport>,
    val replica: ReplicaReport,
    /** The states of handovers that this member offers and takes up, in words. */
    val outgoingHandover: String,
    val incomingHandover: String,
    val falseSuspicions: Long,
    val ownPauses: Long,
    /** The oldest first. */
    val leaderChanges: List<LeaderChange>,
)
