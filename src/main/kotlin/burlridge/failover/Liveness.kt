package burlridge.failover

/** What a member takes another one for; [label] stands in reports, counters and traces. */
internal enum class Liveness(
    val label: String,
) {
    ALIVE("alive"),

    /** Silent for unusually long. Nothing with an effect may follow from this alone. */
    SUSPECTED("suspected"),

    /** Silent, and the fencing token in the state service has moved past its term. */
    FAILED("failed"),
}

/** One member as seen from here, for operators and for the choice of a successor. */
internal data class MemberView(
    val member: String,
    val liveness: Liveness,
    /** Suspicion level, see [ArrivalWindow.level]. */
    val level: Double,
    val reason: String,
    /** On the steady clock, in seconds; null where no heartbeat arrived since the start. */
    val lastHeartbeatAt: Double?,
)

/** A change of [MemberView.liveness]. */
internal data class LivenessChange(
    val member: String,
    val previous: Liveness,
    val current: Liveness,
    val reason: String,
)
