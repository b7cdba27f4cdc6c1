package burlridge.failover

/** How far a standby replica is; [label] stands in the report. */
internal enum class ReplicaState(
    val label: String,
) {
    /** Not kept here. */
    OFF("off"),

    /** Being read in full. */
    LOADING("loading"),

    /** Complete up to its revision, and refreshed. */
    FOLLOWING("following"),

    /** It took more memory than it may; tried again after a while. */
    TOO_LARGE("too_large"),

    /** This member was elected, and the last changes are being read. */
    TAKING_OVER("taking_over"),
}
