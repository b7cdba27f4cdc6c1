package burlridge.failover

/** Result of an operator's request to drain a member. */
internal sealed interface DrainResult {
    /** The member is draining, or can be asked to drain. */
    data object Accepted : DrainResult

    /** No drain was started. */
    data class Refused(
        val refusal: DrainRefusal,
    ) : DrainResult
}

/** Reason why a member cannot be drained; [text] is shown to the operator. */
internal sealed interface DrainRefusal {
    val text: String

    /** No other member could take over from the member that is to be drained. */
    data object NoSuccessor : DrainRefusal {
        override val text: String = "no other member is alive to take over"
    }

    /** The settings list no such member. */
    data class UnknownMember(
        val member: String,
    ) : DrainRefusal {
        override val text: String get() = "there is no member $member"
    }

    /** No heartbeat of [member] has arrived at [observer] since [observer] started. */
    data class NoHeartbeat(
        val member: String,
        val observer: String,
    ) : DrainRefusal {
        override val text: String get() = "$member has not been heard since $observer started, or has no failover switched on"
    }

    /** The member is suspected or failed. */
    data class NotAlive(
        val view: MemberView,
    ) : DrainRefusal {
        override val text: String get() = "${view.member} is ${view.liveness.label}: ${view.reason}"
    }
}
