package burlridge.failover

/** Reason why a leader hands over; [text] is sent to the successor in the offer and shown to operators. */
internal sealed interface HandoverReason {
    val text: String

    /** The leader is draining. */
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
