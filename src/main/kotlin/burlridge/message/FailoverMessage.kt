package burlridge.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What a member that has failover switched on adds to its status; versions before pass over it. */
@Serializable
internal data class FailoverStatus(
    /** When the sender's process began, in milliseconds of the time of day. */
    val incarnation: Long,
    /** Counts the sender's statuses, so that copies and overtaken ones are known. */
    val sequence: Long,
    val draining: Boolean = false,
    /** It stood still several times lately. */
    val slow: Boolean = false,
    /** The revision up to which its standby replica is complete; [NO_REPLICA] where it keeps none. */
    val replicaRevision: Long = NO_REPLICA,
) {
    internal companion object {
        const val NO_REPLICA: Long = -1
    }
}

/** The steps of a planned handover. All name the [attempt], which is drawn anew for each. */
@Serializable
internal sealed interface HandoverMessage {
    val attempt: Long

    /** From the leader of [term] to the successor it names. */
    @Serializable
    @SerialName("o")
    data class Offer(
        override val attempt: Long,
        val term: Long,
        val reason: String,
    ) : HandoverMessage

    /** The successor is caught up and holds [lease], to which the leader's row may be attached. */
    @Serializable
    @SerialName("a")
    data class Accept(
        override val attempt: Long,
        val term: Long,
        val lease: Long,
    ) : HandoverMessage

    @Serializable
    @SerialName("d")
    data class Decline(
        override val attempt: Long,
        val reason: String,
    ) : HandoverMessage

    /** The rows name the successor as leader of [term]; it reads them before it believes so. */
    @Serializable
    @SerialName("t")
    data class Transferred(
        override val attempt: Long,
        val term: Long,
    ) : HandoverMessage

    /** The leader goes on leading. */
    @Serializable
    @SerialName("w")
    data class Withdraw(
        override val attempt: Long,
        val reason: String,
    ) : HandoverMessage
}
