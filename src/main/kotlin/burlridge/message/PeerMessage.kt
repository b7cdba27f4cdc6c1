package burlridge.message

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf

/**
 * What controllers send to one another, as protobuf. The order of the properties and the serial names are the wire format: properties may
 * be renamed and new ones with a default appended, but never reordered or removed.
 */
@Serializable
internal sealed interface PeerMessage {
    /** The sender's member name. */
    val from: String

    /** Sent by every member to all others, at a steady interval and at once after a change of leader. */
    @Serializable
    @SerialName("s")
    data class Status(
        override val from: String,
        /** The highest term that the sender knows of. */
        val term: Long,
        /** Who leads that term as far as the sender knows; empty where it knows of nobody. */
        val leader: String,
        val isLeader: Boolean,
        /** False once the sender answers no worker and never will again in a term below [term]. */
        val mayAnswerWorkers: Boolean,
        val storeReachable: Boolean,
        /** Zones of whose machines a leader receives no heartbeats: another member relays these instead of redirecting the workers. */
        val zonesWithoutHeartbeats: List<String> = emptyList(),
        /** Null from a member without failover, or of a version before it. */
        val failover: FailoverStatus? = null,
    ) : PeerMessage

    /**
     * A request that the sender received and the receiver is to handle: of a user, an operator or a worker, forwarded to the leader; or of
     * an operator, forwarded to the member that it names; or a worker command that the leader asks another member to send.
     */
    @Serializable
    @SerialName("a")
    data class ForwardedRequest(
        override val from: String,
        /** Drawn by the sender; its [ForwardedResponse] carries the same. */
        val requestId: Long,
        val method: String,
        val path: String,
        val body: String,
    ) : PeerMessage

    /** Sent to the sender of a [ForwardedRequest] once it is answered. */
    @Serializable
    @SerialName("r")
    data class ForwardedResponse(
        override val from: String,
        val requestId: Long,
        val status: Int,
        val body: String,
        /** 0 where the response has no such header. */
        val retryAfterSeconds: Int,
    ) : PeerMessage

    /**
     * Sent to all members by one that has just written the row of an accepted job, so that the leader need not wait for its watch. A hint:
     * it may be lost, and the receiver reads the row.
     */
    @Serializable
    @SerialName("j")
    data class JobAccepted(
        override val from: String,
        val job: String,
    ) : PeerMessage

    /** A step of a planned handover; sent only to members whose status shows that they have failover switched on. */
    @Serializable
    @SerialName("h")
    data class Handover(
        override val from: String,
        val step: HandoverMessage,
    ) : PeerMessage

    @OptIn(ExperimentalSerializationApi::class)
    companion object {
        fun encode(message: PeerMessage): ByteArray = ProtoBuf.encodeToByteArray(serializer(), message)

        /** Throws [IllegalArgumentException] for what is no message, or of a kind that this version does not know. */
        fun decode(bytes: ByteArray): PeerMessage = ProtoBuf.decodeFromByteArray(serializer(), bytes)

        /** Null for a kind that this version does not know, or for what is no message at all. */
        fun decodeOrNull(bytes: ByteArray): PeerMessage? =
            try {
                decode(bytes)
            } catch (_: IllegalArgumentException) {
                null
            }
    }
}
