package burlridge.app

import com.fasterxml.jackson.databind.JsonNode
import java.time.Instant

/** A controller's failover report as lines of text. */
internal object FailoverReportFormatter {
    fun describe(report: JsonNode): String =
        buildString {
            val draining = if (report.path("draining").asBoolean()) ", draining" else ""
            val doubts = if (report.path("doubts_itself").asBoolean()) ", doubts its own view after a pause" else ""
            appendLine("${report.text("member")}: ${report.text("role")}$draining$doubts")
            appendLine("  leader ${report.path("leader").asText("unknown")}, term ${report.text("term")}")
            report.path("members").forEach { appendLine("  ${member(it)}") }
            appendLine("  ${replica(report.path("replica"))}")
            appendLine("  handover given: ${report.text("outgoing_handover")}; taken: ${report.text("incoming_handover")}")
            appendLine("  false suspicions ${report.text("false_suspicions")}, own pauses ${report.text("own_pauses")}")
            report.path("leader_changes").forEach { change ->
                appendLine(
                    "  ${Instant.ofEpochMilli(change.path("at_ms").asLong())} term ${change.text("term")}: " +
                        "${change.text("leader")} leads: ${change.text("cause")}",
                )
            }
        }.trimEnd()

    private fun member(view: JsonNode): String {
        val silent = if (view.has("silent_s")) "%.1f s ago".format(view.path("silent_s").asDouble()) else "never heard"
        val draining = if (view.path("draining").asBoolean()) ", draining" else ""
        val slow = if (view.path("slow").asBoolean()) ", slow" else ""
        val revision = view.path("replica_revision").asLong()
        val replica = if (revision >= 0) ", replica at $revision" else ""
        return "${view.text("member")} ${view.text("state")} ($silent, level %.1f, ${view.text("reason")})$draining$slow$replica"
            .format(view.path("level").asDouble())
    }

    private fun replica(replica: JsonNode): String {
        val lag = if (replica.has("lag_s")) ", refreshed %.1f s ago".format(replica.path("lag_s").asDouble()) else ""
        val discard = replica.text("last_discard").let { if (it.isEmpty()) "" else "; last thrown away: $it" }
        return "standby replica ${replica.text("state")}: ${replica.text("rows")} rows, ${replica.text("bytes")} bytes$lag$discard"
    }

    private fun JsonNode.text(name: String): String = path(name).asText("")
}
