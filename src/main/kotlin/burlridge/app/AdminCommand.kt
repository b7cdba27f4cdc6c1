package burlridge.app

import burlridge.core.Json
import burlridge.core.Settings
import burlridge.failover.AdminRequests
import com.fasterxml.jackson.databind.JsonNode
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.time.Instant

/** What an operator asks of a controller that runs, from the command line of its machine. */
internal class AdminCommand(
    settings: Settings,
) {
    /** A controller that cannot be asked, or does not do what it is asked; the message is one line for the operator. */
    class Failure(
        message: String,
    ) : Exception(message)

    private val address = settings.serveOn
    private val client =
        HttpClient
            .newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(PATIENCE)
            .build()

    fun status(): String = FailoverText.describe(ask("GET", AdminRequests.STATUS))

    /** Takes [member], or the controller itself, out of service and waits until it is. */
    fun drain(
        member: String?,
        waitS: Long,
    ): String {
        val answer = ask("POST", AdminRequests.DRAIN + member?.let { "/$it" }.orEmpty())
        val name = answer.path("member").asText()
        // Only the controller at this address can be watched from here.
        if (member != null && member != selfName()) return "$name is draining"
        val until = System.nanoTime() + Duration.ofSeconds(waitS).toNanos()
        while (!ask("GET", AdminRequests.STATUS).path("drained").asBoolean()) {
            if (System.nanoTime() > until) throw Failure("$name is draining, and not drained after $waitS s")
            Thread.sleep(POLL_MS)
        }
        return "$name is drained: it can be stopped"
    }

    private fun selfName(): String = ask("GET", AdminRequests.STATUS).path("member").asText()

    private fun ask(
        method: String,
        path: String,
    ): JsonNode {
        val request =
            HttpRequest
                .newBuilder(URI.create("http://$address$path"))
                .timeout(PATIENCE)
                .method(method, HttpRequest.BodyPublishers.noBody())
                .build()
        val response =
            try {
                client.send(request, HttpResponse.BodyHandlers.ofString())
            } catch (e: IOException) {
                throw Failure("the controller at $address cannot be asked: ${e.message ?: e.javaClass.simpleName}")
            }
        val body = Json.parseOrNull(response.body()) ?: throw Failure("the controller at $address answers what is not JSON")
        if (response.statusCode() == NOT_FOUND) throw Failure("the controller at $address has no failover switched on")
        if (response.statusCode() != OK) throw Failure(body.path("error").asText("status ${response.statusCode()}"))
        return body
    }

    private companion object {
        val PATIENCE: Duration = Duration.ofSeconds(5)
        const val POLL_MS = 200L
        const val OK = 200
        const val NOT_FOUND = 404
    }
}

/** A controller's failover report as lines of text. */
internal object FailoverText {
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
