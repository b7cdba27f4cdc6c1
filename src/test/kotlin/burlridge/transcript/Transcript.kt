package burlridge.transcript

import burlridge.core.Effect
import burlridge.message.HandoverMessage
import burlridge.message.PeerMessage
import burlridge.simulation.SimulatedCluster
import java.security.MessageDigest
import java.util.HexFormat
import java.util.zip.CRC32

/**
 * Records everything that leaves `Controller.step` of every member of a [SimulatedCluster], in order and with its virtual time, and at the
 * end all rows of the key-value store. Log lines are left out. The texts written here do not depend on identifiers, so that renaming the
 * code changes no line.
 */
internal class Transcript(
    private val cluster: SimulatedCluster,
) {
    private val lines = ArrayList<String>()

    init {
        cluster.onEffect = { member, effect -> describe(effect)?.let { record(member, it) } }
    }

    private fun record(
        member: String,
        text: String,
    ) {
        lines += "%9.3f %s %s".format(cluster.clock.now, member, text)
    }

    private fun describe(effect: Effect): String? =
        when (effect) {
            is Effect.HttpCall -> {
                val body = effect.body?.let { " $it" }.orEmpty()
                "call ${effect.method} ${effect.target}${effect.path}$body timeout=${effect.timeoutSeconds}${deadline(effect)}"
            }

            is Effect.Respond -> {
                val retryAfter = effect.retryAfterSeconds?.let { " retry-after=$it" }.orEmpty()
                "answer #${effect.id} ${effect.status} ${effect.body}$retryAfter${deadline(effect)}"
            }

            is Effect.SendToPeer -> {
                "send ${effect.member} ${describe(effect.message)} ${encoded(effect.message)}${deadline(effect)}"
            }

            is Effect.Trace -> {
                "trace"
            }

            is Effect.Log -> {
                null
            }
        }

    private fun deadline(effect: Effect): String =
        if (effect.sendDeadline == Effect.NO_DEADLINE) "" else " deadline=%.3f".format(effect.sendDeadline)

    private fun describe(message: PeerMessage): String =
        when (message) {
            is PeerMessage.Status -> "status term=${message.term} leader=${message.leader} leading=${message.isLeader}"
            is PeerMessage.ForwardedRequest -> "forwarded request #${message.requestId} ${message.method} ${message.path} ${message.body}"
            is PeerMessage.ForwardedResponse -> "forwarded answer #${message.requestId} ${message.status} ${message.body}"
            is PeerMessage.JobAccepted -> "job accepted ${message.job}"
            is PeerMessage.Handover -> "handover ${describe(message.step)}"
        }

    private fun describe(step: HandoverMessage): String =
        when (step) {
            is HandoverMessage.Offer -> "offer of term ${step.term}: ${step.reason}"
            is HandoverMessage.Accept -> "accept of term ${step.term} with lease ${step.lease}"
            is HandoverMessage.Decline -> "decline: ${step.reason}"
            is HandoverMessage.Transferred -> "transferred as term ${step.term}"
            is HandoverMessage.Withdraw -> "withdraw: ${step.reason}"
        }

    /** Describes the message's bytes on the wire by their number and checksum. */
    private fun encoded(message: PeerMessage): String {
        val bytes = PeerMessage.encode(message)
        val checksum = CRC32().also { it.update(bytes) }.value
        return "[${bytes.size} bytes, crc32 %08x]".format(checksum)
    }

    /** Returns the whole transcript, with the rows that the store holds now. */
    fun text(): String {
        val rows = cluster.state.keys("").map { "row $it ${cluster.state.value(it)}" }
        return (lines + rows).joinToString("\n", postfix = "\n")
    }

    fun lineCount(): Int = text().count { it == '\n' }

    fun digest(): String = HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text().toByteArray()))
}
