package burlridge.failover

/** One member's assessment of another; [label] is written to reports, counters and traces. */
internal enum class Liveness(
    val label: String,
) {
    ALIVE("alive"),

    /** Silent for unusually long. This alone must not cause any action with an effect outside this member. */
    SUSPECTED("suspected"),

    /** Silent, and the fencing token in the key-value store has moved past its term. */
    FAILED("failed"),
}

/** This member's view of another member, for operators and for the choice of a successor. */
internal data class MemberView(
    val member: String,
    val liveness: Liveness,
    /** Suspicion level, see [ArrivalWindow.suspicionLevel]. */
    val suspicionLevel: Double,
    val reason: String,
    /** Monotonic time, in seconds; null if no heartbeat has arrived since this process started. */
    val lastHeartbeatAt: Double?,
)

/** A change of [MemberView.liveness]. */
internal data class LivenessChange(
    val member: String,
    val previous: Liveness,
    val current: Liveness,
    val reason: String,
)
