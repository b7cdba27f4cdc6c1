package burlridge.failover

import burlridge.json.Json
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode

/** Another member as this one sees it. */
internal data class MemberReport(
    val member: String,
    val state: String,
    val level: Double,
    val reason: String,
    val silentSeconds: Double?,
    val draining: Boolean,
    val slow: Boolean,
    val replicaRevision: Long,
)

/** The standby replica of this member. */
internal data class ReplicaReport(
    val state: String,
    val rows: Int,
    val bytes: Long,
    val revision: Long,
    /** Seconds since all of it was last refreshed; null where none is kept. */
    val lagSeconds: Double?,
    val lastDiscard: String,
)

/** One member's view of who leads and who could, for `burlridge status`. */
internal data class FailoverReport(
    val member: String,
    val role: String,
    val leader: String?,
    val term: Long,
    val draining: Boolean,
    val drained: Boolean,
    val doubtsItself: Boolean,
    val members: List<MemberReport>,
    val replica: ReplicaReport,
    val outgoing: String,
    val incoming: String,
    val falseSuspicions: Long,
    val ownPauses: Long,
    val changes: List<LeaderChange>,
) {
    fun encode(): JsonNode =
        Json.obj {
            put("member", member)
            put("role", role)
            put("leader", leader)
            put("term", term)
            put("draining", draining)
            put("drained", drained)
            put("doubts_itself", doubtsItself)
            putArray("members").also { list -> members.forEach { encode(it, list.addObject()) } }
            encodeReplica(putObject("replica"))
            put("outgoing_handover", outgoing)
            put("incoming_handover", incoming)
            put("false_suspicions", falseSuspicions)
            put("own_pauses", ownPauses)
            putArray("leader_changes").also { list ->
                changes.forEach { change ->
                    list
                        .addObject()
                        .put("at_ms", change.wallMillis)
                        .put("term", change.term)
                        .put("leader", change.leader)
                        .put("cause", change.cause)
                }
            }
        }

    private fun encode(
        view: MemberReport,
        to: ObjectNode,
    ) {
        to
            .put("member", view.member)
            .put("state", view.state)
            .put("level", view.level)
            .put("reason", view.reason)
            .put("draining", view.draining)
            .put("slow", view.slow)
            .put("replica_revision", view.replicaRevision)
        view.silentSeconds?.let { to.put("silent_s", it) }
    }

    private fun encodeReplica(to: ObjectNode) {
        to
            .put("state", replica.state)
            .put("rows", replica.rows)
            .put("bytes", replica.bytes)
            .put("revision", replica.revision)
            .put("last_discard", replica.lastDiscard)
        replica.lagSeconds?.let { to.put("lag_s", it) }
    }
}
