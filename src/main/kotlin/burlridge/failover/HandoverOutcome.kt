package burlridge.failover

/** How a handover ended for the leader that offered it. */
internal data class HandoverOutcome(
    val result: Result,
    /** Null for [Result.DONE]. */
    val reason: String? = null,
) {
    /** [label] is written to traces and logs. */
    internal enum class Result(
        val label: String,
    ) {
        DONE("done"),

        /** No successor accepted. */
        DECLINED("declined"),

        /** The leader gave up the handover and keeps its term. */
        ABANDONED("abandoned"),

        /** The leader lost its term before the transfer. */
        DEPOSED("deposed"),

        /** The leader lost its term while the outcome of the transfer was unknown. */
        IN_DOUBT("in doubt"),
    }

    val text: String get() = if (reason == null) result.label else "${result.label}: $reason"
}
