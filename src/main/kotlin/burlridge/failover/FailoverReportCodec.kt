package burlridge.failover

import burlridge.json.Json
import com.fasterxml.jackson.databind.node.ObjectNode

/** Encodes a [FailoverReport] and the response to a drain request as the JSON that the admin API serves. */
internal object FailoverReportCodec {
    /** Returns [report] as JSON text. */
    fun encode(report: FailoverReport): String =
        Json.write(
            Json.obj {
                put("member", report.member)
                put("role", report.role.label)
                put("leader", report.leader)
                put("term", report.term)
                put("draining", report.isDraining)
                put("drained", report.isDrained)
                put("doubts_itself", report.isRecoveringFromPause)
                putArray("members").also { list -> report.members.forEach { encodeMember(it, list.addObject()) } }
                encodeReplica(report.replica, putObject("replica"))
                put("outgoing_handover", report.outgoingHandover)
                put("incoming_handover", report.incomingHandover)
                put("false_suspicions", report.falseSuspicions)
                put("own_pauses", report.ownPauses)
                putArray("leader_changes").also { list -> report.leaderChanges.forEach { encodeChange(it, list.addObject()) } }
            },
        )

    /** Returns the response to an accepted drain of [member] as JSON text. */
    fun encodeDrain(
        member: String,
        isDrained: Boolean,
    ): String =
        Json.write(
            Json.obj {
                put("member", member)
                put("draining", true)
                put("drained", isDrained)
            },
        )

    private fun encodeMember(
        report: MemberReport,
        target: ObjectNode,
    ) {
        target
            .put("member", report.member)
            .put("state", report.state)
            .put("level", report.suspicionLevel)
            .put("reason", report.reason)
            .put("draining", report.isDraining)
            .put("slow", report.isSlow)
            .put("replica_revision", report.replicaRevision)
        report.silentSeconds?.let { target.put("silent_s", it) }
    }

    private fun encodeReplica(
        report: ReplicaReport,
        target: ObjectNode,
    ) {
        target
            .put("state", report.state.label)
            .put("rows", report.rows)
            .put("bytes", report.bytes)
            .put("revision", report.revision)
            .put("last_discard", report.lastDiscardReason)
        report.lagSeconds?.let { target.put("lag_s", it) }
    }

    private fun encodeChange(
        change: LeaderChange,
        target: ObjectNode,
    ) {
        target
            .put("at_ms", change.wallMillis)
            .put("term", change.term)
            .put("leader", change.leader)
            .put("cause", change.cause)
    }
}
