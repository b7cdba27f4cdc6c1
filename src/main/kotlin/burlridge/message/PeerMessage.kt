package burlridge.message

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf

/** What controllers say to one another. */
@Serializable
internal sealed interface PeerMessage {
    val from: String

    /** Sent at a steady pace. [mayAnswerWorkers] is false once this member answers no worker and never will again below [term]. */
    @Serializable
    @SerialName("s")
    data class Status(
        override val from: String,
        val term: Long,
        val leader: String,
        val isLeader: Boolean,
        val mayAnswerWorkers: Boolean,
        val storeReachable: Boolean,
        /** Zones whose machines a leader knows and does not hear: what reports elsewhere is better passed on than sent to it. */
        val zonesWithoutHeartbeats: List<String> = emptyList(),
        /** Null from a member without failover, or of a version before it. */
        val failover: FailoverStatus? = null,
    ) : PeerMessage

    /** A request passed on to the leader. */
    @Serializable
    @SerialName("a")
    data class ForwardedRequest(
        override val from: String,
        val requestId: Long,
        val method: String,
        val path: String,
        val body: String,
    ) : PeerMessage

    @Serializable
    @SerialName("r")
    data class ForwardedResponse(
        override val from: String,
        val requestId: Long,
        val status: Int,
        val body: String,
        val retryAfterSeconds: Int,
    ) : PeerMessage

    /** News of a job whose row [from] has just written. */
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
