package burlridge.failover

/** State of the handover that this leader offers. */
internal sealed interface OutgoingHandoverState {
    /** Returns the state as text for operators; [reason] is why the leader hands over. */
    fun describe(reason: String): String

    /** No handover is in progress. */
    data object Idle : OutgoingHandoverState {
        override fun describe(reason: String): String = "none"
    }

    /** This leader waits for the reply of [successor]. */
    data class Offered(
        val attempt: Long,
        val successor: String,
        /** Members to offer the term to if [successor] declines, in this order. */
        val nextSuccessors: List<String>,
        val deadline: Double,
    ) : OutgoingHandoverState {
        override fun describe(reason: String): String = "offered to $successor: $reason"
    }

    /** The successor is ready; this leader starts no new work and lets its work in flight finish, until [deadline] at the latest. */
    data class Quiescing(
        val attempt: Long,
        val successor: String,
        /** The successor's lease, to which the leader's row will be attached. */
        val lease: Long,
        val deadline: Double,
    ) : OutgoingHandoverState {
        override fun describe(reason: String): String = "coming to rest for $successor: $reason"
    }

    /** The transaction that names [successor] as leader is in flight and its outcome is unknown. */
    data class Transferring(
        val attempt: Long,
        val successor: String,
    ) : OutgoingHandoverState {
        override fun describe(reason: String): String = "transferring to $successor: $reason"
    }
}
