package burlridge.failover

/** Why a leader hands over; [text] travels in the offer to the successor and is shown to operators. */
internal sealed interface HandoverReason {
    val text: String

    /** The leader was asked to leave. */
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
