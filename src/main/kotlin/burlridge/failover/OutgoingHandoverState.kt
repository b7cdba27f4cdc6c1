package burlridge.failover

/** How far a handover that this leader offers has come. */
internal sealed interface OutgoingHandoverState {
    /** For an operator; [reason] is why the leader hands over. */
    fun describe(reason: String): String

    /** No handover is under way. */
    data object Idle : OutgoingHandoverState {
        override fun describe(reason: String): String = "none"
    }

    /** Waits for the answer of [successor]. */
    data class Offered(
        val attempt: Long,
        val successor: String,
        /** Whom to ask where it declines. */
        val nextSuccessors: List<String>,
        val deadline: Double,
    ) : OutgoingHandoverState {
        override fun describe(reason: String): String = "offered to $successor: $reason"
    }

    /** The successor waits; this leader starts nothing new and lets its work in flight finish, until [deadline] at the latest. */
    data class Quiescing(
        val attempt: Long,
        val successor: String,
        /** The successor's lease, to which the leader's row will be attached. */
        val lease: Long,
        val deadline: Double,
    ) : OutgoingHandoverState {
        override fun describe(reason: String): String = "coming to rest for $successor: $reason"
    }

    /** The transaction that names [successor] as leader is under way, and its outcome not known. */
    data class Transferring(
        val attempt: Long,
        val successor: String,
    ) : OutgoingHandoverState {
        override fun describe(reason: String): String = "transferring to $successor: $reason"
    }
}
