package burlridge.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The heartbeat that a member with failover switched on adds to its status. Versions without failover ignore it. */
@Serializable
internal data class FailoverStatus(
    /** Wall-clock time in milliseconds at which the sender's process made its first step. */
    val incarnation: Long,
    /** Sequence number of the sender's statuses, by which duplicates and messages out of order are detected. */
    val sequence: Long,
    val isDraining: Boolean = false,
    /** Whether the sender stalled several times recently. */
    val isSlow: Boolean = false,
    /** Revision up to which the sender's standby replica is complete; [NO_REPLICA] if it keeps none. */
    val replicaRevision: Long = NO_REPLICA,
) {
    internal companion object {
        const val NO_REPLICA: Long = -1
    }
}

/**
 * The steps of a planned handover from the leader to a successor: [Offer], answered by [Accept] or [Decline]; then [Transferred], or
 * [Withdraw] if the leader keeps its term.
 */
@Serializable
internal sealed interface HandoverMessage {
    /** Random identifier that the leader generates for each offer; all later steps carry it. */
    val attempt: Long

    /** Sent by the leader of [term] to the successor that it selected. */
    @Serializable
    @SerialName("o")
    data class Offer(
        override val attempt: Long,
        val term: Long,
        val reason: String,
    ) : HandoverMessage

    /** Sent by the successor once it holds [lease], to which the leader's row may be attached. */
    @Serializable
    @SerialName("a")
    data class Accept(
        override val attempt: Long,
        /** The term of the offer. */
        val term: Long,
        val lease: Long,
    ) : HandoverMessage

    /** Sent by a successor that cannot take over; the leader offers the term to the next one. */
    @Serializable
    @SerialName("d")
    data class Decline(
        override val attempt: Long,
        val reason: String,
    ) : HandoverMessage

    /** Sent by the former leader once the rows name the successor as leader of [term]; the successor reads them before it leads. */
    @Serializable
    @SerialName("t")
    data class Transferred(
        override val attempt: Long,
        val term: Long,
    ) : HandoverMessage

    /** Sent by the leader to a successor, after an offer, if it does not hand over to it. */
    @Serializable
    @SerialName("w")
    data class Withdraw(
        override val attempt: Long,
        val reason: String,
    ) : HandoverMessage
}
