package burlridge.app

import burlridge.admin.BuildRequests
import burlridge.balance.MachineRequests
import burlridge.core.HttpStatus
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

/** Sends the operators' commands to a running controller, over HTTP. */
internal class AdminCommand(
    settings: Settings,
) {
    /** Thrown if the controller cannot be reached or refuses a request; the message is one line for the operator. */
    class Failure(
        message: String,
        cause: Throwable? = null,
    ) : Exception(message, cause)

    private val address = settings.serveOn
    private val client =
        HttpClient
            .newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(TIMEOUT)
            .build()

    /** Returns the members' builds, and the state of failover and balance as far as they are enabled. Throws [Failure]. */
    fun status(): String {
        val builds = requestIfEnabled("GET", BuildRequests.PATH)?.let(BuildReportFormatter::describe)
        val members = requestIfEnabled("GET", MemberRequests.STATUS)?.let(FailoverReportFormatter::describe)
        val machines = requestIfEnabled("GET", MachineRequests.STATUS)?.let(BalanceReportFormatter::describe)
        val parts = listOfNotNull(builds, members, machines)
        if (parts.isEmpty()) throw Failure("the controller at $address has neither failover nor balance switched on")
        return parts.joinToString("\n")
    }

    /** Starts a drain of [target] and returns once it is durable. Throws [Failure]. */
    fun drainMachines(
        target: MachineTarget,
        forced: Boolean,
    ): String = change(MachineRequests.DRAIN, target, forced)

    /** Cancels the drain of [target] and returns once the cancellation is durable. Throws [Failure]. */
    fun undrainMachines(target: MachineTarget): String = change(MachineRequests.UNDRAIN, target, forced = false)

    /** Returns the leader's decisions about the task or machine [subject]. Throws [Failure]. */
    fun explain(subject: String): String {
        val answer =
            requestIfEnabled("GET", MachineRequests.EXPLAIN + subject)
                ?: throw Failure("the controller at $address has no balance switched on")
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
                put(MachineRequests.REQUESTED_AT_KEY, System.currentTimeMillis())
            }
        val answer =
            requestIfEnabled("POST", path, Json.write(request)) ?: throw Failure("the controller at $address has no balance switched on")
        return BalanceReportFormatter.drain(answer)
    }

    /**
     * Drains [member], or the controller at this address if null. Waits up to [waitSeconds] until the latter is drained; does not wait for
     * another member. Throws [Failure].
     */
    fun drain(
        member: String?,
        waitSeconds: Long,
    ): String {
        val answer = request("POST", MemberRequests.DRAIN + member?.let { "/$it" }.orEmpty())
        val name = answer.path("member").asText()
        // Only the drain of the controller at this address can be polled from here.
        if (member != null && member != controllerName()) return "$name is draining"
        val deadlineNanos = System.nanoTime() + Duration.ofSeconds(waitSeconds).toNanos()
        while (!request("GET", MemberRequests.STATUS).path("drained").asBoolean()) {
            if (System.nanoTime() > deadlineNanos) throw Failure("$name is draining, and not drained after $waitSeconds s")
            Thread.sleep(POLL_MILLIS)
        }
        return "$name is drained: it can be stopped"
    }

    private fun controllerName(): String = request("GET", MemberRequests.STATUS).path("member").asText()

    private fun request(
        method: String,
        path: String,
    ): JsonNode = requestIfEnabled(method, path) ?: throw Failure("the controller at $address has no failover switched on")

    /** Sends a request; returns null if the controller does not serve [path] because the feature is disabled. */
    private fun requestIfEnabled(
        method: String,
        path: String,
        content: String? = null,
    ): JsonNode? {
        val publisher = content?.let { HttpRequest.BodyPublishers.ofString(it) } ?: HttpRequest.BodyPublishers.noBody()
        val request =
            HttpRequest
                .newBuilder(URI.create("http://$address$path"))
                .timeout(TIMEOUT)
                .method(method, publisher)
                .build()
        val response =
            try {
                client.send(request, HttpResponse.BodyHandlers.ofString())
            } catch (e: IOException) {
                throw Failure("the controller at $address cannot be asked: ${e.message ?: e.javaClass.simpleName}", e)
            }
        val body = Json.parseOrNull(response.body()) ?: throw Failure("the controller at $address answers what is not JSON")
        if (response.statusCode() == HttpStatus.NOT_FOUND) return null
        if (response.statusCode() != HttpStatus.OK) throw Failure(body.path("error").asText("status ${response.statusCode()}"))
        return body
    }

    private companion object {
        val TIMEOUT: Duration = Duration.ofSeconds(5)
        const val POLL_MILLIS = 200L
    }
}
