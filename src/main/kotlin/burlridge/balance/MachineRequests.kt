package burlridge.balance

import burlridge.core.HttpResponse
import burlridge.core.HttpStatus
import burlridge.core.StepContext
import burlridge.json.Json
import burlridge.leadership.Leadership
import burlridge.peer.PeerRequests
import com.fasterxml.jackson.databind.JsonNode

/**
 * Handles the operators' requests about machines. Any member accepts them and forwards them to the leader, which responds once the row is
 * durable. Requests are idempotent, as a drain is identified by its target alone, so one whose outcome is unknown can be repeated.
 */
internal class MachineRequests(
    private val context: StepContext,
    private val leadership: Leadership,
    private val balance: Balance,
    private val peers: PeerRequests,
    /** Whether this leader has read the stored rows. */
    private val isLoaded: () -> Boolean,
) {
    /** Handles a request for a path that [serves] accepts; [isForwarded] is true if another member received and forwarded it. */
    fun handle(
        method: String,
        path: String,
        body: String,
        isForwarded: Boolean,
        respond: (HttpResponse) -> Unit,
    ) {
        val allowedMethod = if (path == STATUS || path.startsWith(EXPLAIN)) "GET" else "POST"
        when {
            method != allowedMethod -> {
                respond(HttpResponse.methodNotAllowed(allowedMethod))
            }

            leadership.holdsLease && isLoaded() -> {
                handleAsLeader(path, body, respondOnceBeforeTimeout(respond))
            }

            isForwarded || leadership.isLeader -> {
                respond(
                    HttpResponse.unavailable("${context.settings.member} does not lead now; ask again"),
                )
            }

            else -> {
                forwardToLeader(method, path, body, respond)
            }
        }
    }

    private fun forwardToLeader(
        method: String,
        path: String,
        body: String,
        respond: (HttpResponse) -> Unit,
    ) {
        val leader = leadership.knownLeader?.takeIf { it != context.settings.member }
        if (leader == null) return respond(HttpResponse.unavailable("no leader is known; ask again"))
        peers.forward(leader, method, path, body, FORWARD_TIMEOUT_SECONDS) { response ->
            respond(
                when {
                    response == null -> {
                        HttpResponse.unavailable(
                            "the leader $leader does not answer; ask again: asked twice it is one drain",
                        )
                    }

                    response.status == HttpStatus.NOT_FOUND -> {
                        HttpResponse.error(HttpStatus.CONFLICT, "the leader $leader has [balance] switched off")
                    }

                    else -> {
                        response
                    }
                },
            )
        }
    }

    private fun handleAsLeader(
        path: String,
        body: String,
        respond: (HttpResponse) -> Unit,
    ) {
        if (path == STATUS) return respond(HttpResponse(HttpStatus.OK, Json.write(balance.report().encode())))
        if (path.startsWith(EXPLAIN)) return respond(HttpResponse(HttpStatus.OK, Json.write(balance.explain(path.removePrefix(EXPLAIN)))))
        val request = Json.parseOrNull(body)
        if (isStale(request)) {
            return respond(HttpResponse.error(HttpStatus.CONFLICT, "this was asked too long ago and is not carried out; ask again"))
        }
        val target =
            try {
                DrainTarget.parse(request)
            } catch (e: InvalidDrainTargetException) {
                return respond(HttpResponse.error(HttpStatus.BAD_REQUEST, e.message.orEmpty()))
            }
        if (path == UNDRAIN) {
            balance.undrain(target) { respond(toResponse(it)) }
        } else {
            balance.drain(target, isForced(request)) { respond(toResponse(it)) }
        }
    }

    /** Whether [request] was delayed for longer than its sender waits; it must not override requests sent since. */
    private fun isStale(request: JsonNode?): Boolean {
        val requestedMillis = request?.path(REQUESTED_AT_KEY)?.takeIf { it.isIntegralNumber } ?: return false
        return context.wallMillis - requestedMillis.asLong() > MAX_REQUEST_AGE_MILLIS
    }

    private fun isForced(request: JsonNode?): Boolean = request?.path("force")?.asBoolean(false) ?: false

    private fun toResponse(change: DrainChange): HttpResponse =
        when (change) {
            is DrainChange.Refused -> HttpResponse.error(HttpStatus.CONFLICT, change.reason)
            is DrainChange.Busy -> HttpResponse.unavailable("another change of this drain is being written; ask again")
            is DrainChange.Written -> HttpResponse(HttpStatus.OK, encode(change.drain))
        }

    private fun encode(drain: Drain): String = Json.write(Json.obj { DrainReport(drain, progress = null).encode(this) })

    /**
     * Returns a callback that passes only the first response to [respond]. A write may stay in flight for as long as the key-value store is
     * unavailable, or be abandoned when the term ends; after [WRITE_TIMEOUT_SECONDS] the response therefore asks the client to retry.
     */
    private fun respondOnceBeforeTimeout(respond: (HttpResponse) -> Unit): (HttpResponse) -> Unit {
        var hasResponded = false

        fun respondOnce(response: HttpResponse) {
            if (hasResponded) return
            hasResponded = true
            respond(response)
        }
        context.schedule(
            WRITE_TIMEOUT_SECONDS,
        ) { respondOnce(HttpResponse.unavailable("not known to be durable yet; ask again: asked twice it is one drain")) }
        return ::respondOnce
    }

    internal companion object {
        const val STATUS: String = "/admin/machines"
        const val DRAIN: String = "/admin/machines/drain"
        const val UNDRAIN: String = "/admin/machines/undrain"

        /** Prefix of the path; the name of a task or machine follows. */
        const val EXPLAIN: String = "/admin/machines/explain/"

        /** Whether [path] belongs to one of these requests. */
        fun serves(path: String): Boolean = path == STATUS || path == DRAIN || path == UNDRAIN || path.startsWith(EXPLAIN)

        /** Key of the wall-clock time at which a request was made, in milliseconds. */
        const val REQUESTED_AT_KEY: String = "asked_ms"

        /** The time for which a client waits for the response, plus the tolerated clock skew. */
        private const val MAX_REQUEST_AGE_MILLIS = 7_000
        private const val WRITE_TIMEOUT_SECONDS = 3.0
        private const val FORWARD_TIMEOUT_SECONDS = 4.0
    }
}
