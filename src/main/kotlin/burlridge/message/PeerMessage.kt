package burlridge.message

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf

/**
 * A message between controllers, encoded as protobuf. The order of the properties and the serial names are the wire format: properties may
 * be renamed and new ones with a default appended, but never reordered or removed.
 */
@Serializable
internal sealed interface PeerMessage {
    /** The sender's member name. */
    val from: String

    /** Sent by every member to all others, at a regular interval and immediately after a change of leader. */
    @Serializable
    @SerialName("s")
    data class Status(
        override val from: String,
        /** The highest term that the sender knows of. */
        val term: Long,
        /** The leader of that term as far as the sender knows; empty if it knows none. */
        val leader: String,
        val isLeader: Boolean,
        /** False if the sender answers no workers and will answer none again in a term below [term]. */
        val mayAnswerWorkers: Boolean,
        val storeReachable: Boolean,
        /** Zones from whose machines a leader receives no heartbeats. Another member relays these instead of redirecting the workers. */
        val zonesWithoutHeartbeats: List<String> = emptyList(),
        /** Null if the sender has failover switched off, or runs a version without it. */
        val failover: FailoverStatus? = null,
        /** The build that the sender runs; null if it runs a version that does not tell. */
        val build: BuildIdentity? = null,
    ) : PeerMessage

    /**
     * A request that the sender forwards for the receiver to handle: a request of a user, operator or worker, forwarded to the leader; a
     * request of a user, forwarded to a member that reaches the key-value store; a request of an operator, forwarded to the member that it
     * names; or a worker command that the leader asks another member to send.
     */
    @Serializable
    @SerialName("a")
    data class ForwardedRequest(
        override val from: String,
        /** Assigned by the sender; the [ForwardedResponse] carries the same ID. */
        val requestId: Long,
        val method: String,
        val path: String,
        val body: String,
    ) : PeerMessage

    /** The response to a [ForwardedRequest], sent to its sender. */
    @Serializable
    @SerialName("r")
    data class ForwardedResponse(
        override val from: String,
        val requestId: Long,
        val status: Int,
        val body: String,
        /** Value of the `Retry-After` header; 0 if the response has none. */
        val retryAfterSeconds: Int,
    ) : PeerMessage

    /**
     * Sent to all other members by one that has just written the row of an accepted job, so that the leader need not wait for its watch to
     * report it. It is only a hint: it may be lost, and the receiver reads the row.
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

        /**
         * Throws [IllegalArgumentException] or [IndexOutOfBoundsException] for malformed bytes, and the former for a message type that this
         * version does not support.
         */
        fun decode(bytes: ByteArray): PeerMessage = ProtoBuf.decodeFromByteArray(serializer(), bytes)

        /** Returns null for malformed bytes and for a message type that this version does not support. */
        fun decodeOrNull(bytes: ByteArray): PeerMessage? =
            try {
                decode(bytes)
            } catch (_: IllegalArgumentException) {
                null
            } catch (_: IndexOutOfBoundsException) {
                // A length that is longer than the message.
                null
            }
    }
}
