package burlridge.app

import com.fasterxml.jackson.databind.JsonNode
import java.time.Instant

/** Formats the leader's report about drains and moves for a terminal. */
internal object BalanceReportFormatter {
    /** Formats all drains, hot machines and open moves. */
    fun describe(report: JsonNode): String =
        buildString {
            val recent = "${report.path("moved_lately").asInt()} of ${report.path("moves_per_minute").asInt()} lately"
            appendLine(
                "machines, as ${report.path("leader").asText()} sees them: ${report.path("open_moves").asInt()} moves under way, $recent",
            )
            report.path("drains").forEach { appendLine("  ${drain(it)}") }
            report.path("machines_with_notice").takeIf { it.size() > 0 }?.let { list ->
                appendLine("  taken back by the cloud: ${list.joinToString { it.asText() }}")
            }
            report.path("hot_machines").properties().forEach { (machine, slowdown) ->
                appendLine("  machine $machine is hot: its tasks take %.1f times as long as elsewhere".format(slowdown.asDouble()))
            }
            report.path("moves").forEach { appendLine("  ${move(it)}") }
            report.path("damaged_rows").forEach { appendLine("  damaged row, left as it is: ${it.asText()}") }
        }.trimEnd()

    /** Formats one drain as one line. */
    fun drain(report: JsonNode): String {
        val kind = listOf("machine", "network", "zone").first { report.has(it) }
        val isKnown = report.has("machines_left")
        val left =
            if (isKnown) ", ${report.path("machines_left").asInt()} machines and ${report.path("tasks_left").asInt()} tasks left" else ""
        val waitReasons = report.path("waits_for").properties().joinToString { (reason, count) -> "${count.asInt()} $reason" }
        val waitText = if (waitReasons.isEmpty()) "" else ": $waitReasons"
        val cause = report.path("cause").asText()
        return "drain of $kind ${report.path(kind).asText()} ($cause): ${report.path("state").asText()}$left$waitText"
    }

    /** Formats the decisions about a task or machine, one line each. */
    fun explain(answer: JsonNode): String {
        val decisions = answer.path("decisions").map { "  ${Instant.ofEpochMilli(it.path("at_ms").asLong())} ${it.path("text").asText()}" }
        val since = Instant.ofEpochMilli(answer.path("since_ms").asLong())
        val dropped = answer.path("dropped").asLong().let { if (it > 0) "; $it older decisions are dropped" else "" }
        val heading = "${answer.path("subject").asText()}, as ${answer.path("member").asText()} decided since $since$dropped:"
        return (listOf(heading) + decisions.ifEmpty { listOf("  nothing off the ordinary path") }).joinToString("\n")
    }

    private fun move(move: JsonNode): String {
        val target = move.path("to").takeIf { it.isTextual }?.asText() ?: "wherever there is room"
        return "move ${move.path("time").asInt()} of ${move.path("task").asText()} run ${move.path("run").asInt()}: " +
            "${move.path("from").asText()} to $target (${move.path("reason").asText()})"
    }
}
