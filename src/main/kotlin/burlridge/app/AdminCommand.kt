package burlridge.app

import burlridge.balance.MachineRequests
import burlridge.failover.MemberRequests
import burlridge.json.Json
import burlridge.settings.Settings
import com.fasterxml.jackson.databind.JsonNode
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

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

    /** What each part that is switched on says. */
    fun status(): String {
        val members = askIfOn("GET", MemberRequests.STATUS)?.let(FailoverReportFormatter::describe)
        val machines = askIfOn("GET", MachineRequests.STATUS)?.let(BalanceReportFormatter::describe)
        val parts = listOfNotNull(members, machines)
        if (parts.isEmpty()) throw Failure("the controller at $address has neither failover nor balance switched on")
        return parts.joinToString("\n")
    }

    /** Has the machines of [target] drained; done once that is durable. */
    fun drainMachines(
        target: MachineTarget,
        forced: Boolean,
    ): String = change(MachineRequests.DRAIN, target, forced)

    fun undrainMachines(target: MachineTarget): String = change(MachineRequests.UNDRAIN, target, forced = false)

    /** Why the leader decided what it did about a task or machine. */
    fun explain(subject: String): String {
        val answer =
            askIfOn("GET", MachineRequests.EXPLAIN + subject) ?: throw Failure("the controller at $address has no balance switched on")
        return BalanceReportFormatter.explain(answer)
    }

    private fun change(
        path: String,
        target: MachineTarget,
        forced: Boolean,
    ): String {
        val request =
            Json.obj {
                put(target.kind, target.value)
                put("force", forced)
                put(MachineRequests.ASKED, System.currentTimeMillis())
            }
        val answer = askIfOn("POST", path, Json.write(request)) ?: throw Failure("the controller at $address has no balance switched on")
        return BalanceReportFormatter.drain(answer)
    }

    /** Takes [member], or the controller itself, out of service and waits until it is. */
    fun drain(
        member: String?,
        waitSeconds: Long,
    ): String {
        val answer = ask("POST", MemberRequests.DRAIN + member?.let { "/$it" }.orEmpty())
        val name = answer.path("member").asText()
        // Only the controller at this address can be watched from here.
        if (member != null && member != selfName()) return "$name is draining"
        val until = System.nanoTime() + Duration.ofSeconds(waitSeconds).toNanos()
        while (!ask("GET", MemberRequests.STATUS).path("drained").asBoolean()) {
            if (System.nanoTime() > until) throw Failure("$name is draining, and not drained after $waitSeconds s")
            Thread.sleep(POLL_MILLIS)
        }
        return "$name is drained: it can be stopped"
    }

    private fun selfName(): String = ask("GET", MemberRequests.STATUS).path("member").asText()

    private fun ask(
        method: String,
        path: String,
    ): JsonNode = askIfOn(method, path) ?: throw Failure("the controller at $address has no failover switched on")

    /** Null where the controller does not know [path]. */
    private fun askIfOn(
        method: String,
        path: String,
        content: String? = null,
    ): JsonNode? {
        val publisher = content?.let { HttpRequest.BodyPublishers.ofString(it) } ?: HttpRequest.BodyPublishers.noBody()
        val request =
            HttpRequest
                .newBuilder(URI.create("http://$address$path"))
                .timeout(PATIENCE)
                .method(method, publisher)
                .build()
        val response =
            try {
                client.send(request, HttpResponse.BodyHandlers.ofString())
            } catch (e: IOException) {
                throw Failure("the controller at $address cannot be asked: ${e.message ?: e.javaClass.simpleName}")
            }
        val body = Json.parseOrNull(response.body()) ?: throw Failure("the controller at $address answers what is not JSON")
        if (response.statusCode() == NOT_FOUND) return null
        if (response.statusCode() != OK) throw Failure(body.path("error").asText("status ${response.statusCode()}"))
        return body
    }

    private companion object {
        val PATIENCE: Duration = Duration.ofSeconds(5)
        const val POLL_MILLIS = 200L
        const val OK = 200
        const val NOT_FOUND = 404
    }
}
