package burlridge.failover

/** State of a standby replica; [label] is written to the report. */
internal enum class ReplicaState(
    val label: String,
) {
    /** This member keeps no replica. */
    OFF("off"),

    /** Being read in full. */
    LOADING("loading"),

    /** Complete up to its revision, and refreshed regularly. */
    FOLLOWING("following"),

    /** Discarded because it took more memory than allowed; loaded again after a while. */
    TOO_LARGE("too_large"),

    /** This member was elected, and the last changes are being read. */
    TAKING_OVER("taking_over"),
}
