package burlridge.app

import com.fasterxml.jackson.databind.JsonNode
import java.time.Instant

/**
 * Formats a controller's failover report as text for `burlridge status`. It reads the JSON leniently instead of decoding it to a report:
 * the controller may be of another version than the command line, and a missing field is shown as empty.
 */
internal object FailoverReportFormatter {
    /** Formats the members, the standby replica, handovers and leader changes, one line each. */
    fun describe(report: JsonNode): String =
        buildString {
            val isRecovering = report.path("doubts_itself").asBoolean()
            val recoveringNote = if (isRecovering) ", doubts its own view after a pause" else ""
            appendLine("${report.text("member")}: ${report.text("role")}${draining(report)}$recoveringNote")
            appendLine("  leader ${report.path("leader").asText("unknown")}, term ${report.text("term")}")
            report.path("members").forEach { appendLine("  ${describeMember(it)}") }
            appendLine("  ${describeReplica(report.path("replica"))}")
            appendLine("  handover given: ${report.text("outgoing_handover")}; taken: ${report.text("incoming_handover")}")
            appendLine("  false suspicions ${report.text("false_suspicions")}, own pauses ${report.text("own_pauses")}")
            report.path("leader_changes").forEach { appendLine("  ${describeChange(it)}") }
        }.trimEnd()

    private fun describeMember(member: JsonNode): String {
        val lastHeartbeat = if (member.has("silent_s")) "%.1f s ago".format(member.path("silent_s").asDouble()) else "never heard"
        val slowNote = if (member.path("slow").asBoolean()) ", slow" else ""
        val revision = member.path("replica_revision").asLong()
        val replica = if (revision >= 0) ", replica at $revision" else ""
        return "${member.text(
            "member",
        )} ${member.text("state")} ($lastHeartbeat, level %.1f, ${member.text("reason")})${draining(member)}$slowNote$replica"
            .format(member.path("level").asDouble())
    }

    private fun describeReplica(replica: JsonNode): String {
        val lag = if (replica.has("lag_s")) ", refreshed %.1f s ago".format(replica.path("lag_s").asDouble()) else ""
        val lastDiscard = replica.text("last_discard").let { if (it.isEmpty()) "" else "; last thrown away: $it" }
        return "standby replica ${replica.text("state")}: ${replica.text("rows")} rows, ${replica.text("bytes")} bytes$lag$lastDiscard"
    }

    private fun describeChange(change: JsonNode): String {
        val at = Instant.ofEpochMilli(change.path("at_ms").asLong())
        return "$at term ${change.text("term")}: ${change.text("leader")} leads: ${change.text("cause")}"
    }

    /** Returns the note that a member is draining, given the report of this member or its entry for another one; empty if it is not. */
    private fun draining(report: JsonNode): String = if (report.path("draining").asBoolean()) ", draining" else ""

    private fun JsonNode.text(name: String): String = path(name).asText("")
}
