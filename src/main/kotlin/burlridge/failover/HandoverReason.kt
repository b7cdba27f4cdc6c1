package burlridge.failover

/** Why a leader hands over; [text] travels in the offer to the successor and is shown to operators. */
internal sealed interface HandoverReason {
    val text: String

    data object Draining : HandoverReason {
        override val text: String = "it is draining"
    }

    /** The process stalled [count] times within the window of [StallMonitor]. */
    data class Stalled(
        val count: Int,
    ) : HandoverReason {
        override val text: String get() = "it stood still $count times lately"
    }
}

/** Why a member does not take over a leadership that it was offered; [text] travels in the answer to the leader. */
internal sealed interface DeclineReason {
    val text: String

    data object LeadsItself : DeclineReason {
        override val text: String = "it leads itself"
    }

    /** It knows another leader than the one that offers; null where it knows none. */
    data class FollowsAnother(
        val leader: String?,
    ) : DeclineReason {
        override val text: String get() = "it follows ${leader ?: "nobody"}"
    }

    data object StoreUnavailable : DeclineReason {
        override val text: String = "the state service refuses it"
    }

    data object LeaseNotGranted : DeclineReason {
        override val text: String = "it gets no lease"
    }

    data object Draining : DeclineReason {
        override val text: String = "it is draining"
    }

    data object Stalled : DeclineReason {
        override val text: String = "it stood still lately"
    }

    data object RecoveringFromPause : DeclineReason {
        override val text: String = "it was paused a moment ago"
    }
}

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

        /** Given up by the leader, which keeps its term. */
        ABANDONED("abandoned"),

        /** The leader lost its term before the transfer. */
        DEPOSED("deposed"),

        /** The leader lost its term while the outcome of the transfer was unknown. */
        IN_DOUBT("in doubt"),
    }

    val text: String get() = if (reason == null) result.label else "${result.label}: $reason"
}
