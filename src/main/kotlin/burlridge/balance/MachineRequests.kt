package burlridge.balance

import burlridge.core.HttpResponse
import burlridge.core.StepContext
import burlridge.json.Json
import burlridge.leadership.Leadership
import burlridge.peer.PeerRequests
import com.fasterxml.jackson.databind.JsonNode

/**
 * The operators' requests about machines. Any member takes them and passes them to the leader, which answers once its row is durable;
 * a request whose outcome is not known can be repeated, since it names its target and nothing else.
 */
internal class MachineRequests(
    private val context: StepContext,
    private val leadership: Leadership,
    private val balance: Balance,
    private val peers: PeerRequests,
    /** Whether this leader has read the rows. */
    private val isLoaded: () -> Boolean,
) {
    fun handle(
        method: String,
        path: String,
        body: String,
        passedOn: Boolean,
        onResult: (HttpResponse) -> Unit,
    ) {
        val allowed = if (path == STATUS || path.startsWith(EXPLAIN)) "GET" else "POST"
        when {
            method != allowed -> onResult(HttpResponse.methodNotAllowed(allowed))
            leadership.holdsLease && isLoaded() -> lead(path, body, onceInTime(onResult))
            passedOn || leadership.isLeader -> onResult(HttpResponse.unavailable("${context.settings.member} does not lead now; ask again"))
            else -> passOn(method, path, body, onResult)
        }
    }

    private fun passOn(
        method: String,
        path: String,
        body: String,
        onResult: (HttpResponse) -> Unit,
    ) {
        val leader = leadership.knownLeader?.takeIf { it != context.settings.member }
        if (leader == null) return onResult(HttpResponse.unavailable("no leader is known; ask again"))
        peers.forward(leader, method, path, body, ANSWER_SECONDS) { answer ->
            onResult(
                when {
                    answer == null -> HttpResponse.unavailable("the leader $leader does not answer; ask again: asked twice it is one drain")
                    answer.status == NOT_FOUND -> HttpResponse.error(CONFLICT, "the leader $leader has [balance] switched off")
                    else -> answer
                },
            )
        }
    }

    private fun lead(
        path: String,
        body: String,
        onResult: (HttpResponse) -> Unit,
    ) {
        if (path == STATUS) return onResult(HttpResponse(OK, Json.write(balance.report().encode())))
        if (path.startsWith(EXPLAIN)) return onResult(HttpResponse(OK, Json.write(balance.explain(path.removePrefix(EXPLAIN)))))
        val request = Json.parseOrNull(body)
        if (isStale(request)) return onResult(HttpResponse.error(CONFLICT, "this was asked too long ago and is not carried out; ask again"))
        val target =
            try {
                DrainTarget.parse(request)
            } catch (e: InvalidDrainTargetException) {
                return onResult(HttpResponse.error(MALFORMED, e.message.orEmpty()))
            }
        if (path == UNDRAIN) {
            balance.undrain(target) { onResult(answer(it)) }
        } else {
            balance.drain(target, isForced(request)) { onResult(answer(it)) }
        }
    }

    /** What was held up on its way must not undo what was asked since: whoever asked has given it up. */
    private fun isStale(request: JsonNode?): Boolean {
        val askedMillis = request?.path(ASKED)?.takeIf { it.isIntegralNumber } ?: return false
        return context.wallMillis - askedMillis.asLong() > MOST_AGE_MILLIS
    }

    private fun isForced(request: JsonNode?): Boolean = request?.path("force")?.asBoolean(false) ?: false

    private fun answer(change: DrainChange): HttpResponse =
        when (change) {
            is DrainChange.Refused -> HttpResponse.error(CONFLICT, change.reason)
            is DrainChange.Busy -> HttpResponse.unavailable("another change of this drain is being written; ask again")
            is DrainChange.Written -> HttpResponse(OK, Json.write(Json.obj { DrainReport(change.drain, progress = null).encode(this) }))
        }

    /** A write may stay open for as long as the state service is away, or end with the term: whoever asked is told to ask again. */
    private fun onceInTime(onResult: (HttpResponse) -> Unit): (HttpResponse) -> Unit {
        var answered = false

        fun answer(answer: HttpResponse) {
            if (answered) return
            answered = true
            onResult(answer)
        }
        context.schedule(
            WRITE_SECONDS,
        ) { answer(HttpResponse.unavailable("not known to be durable yet; ask again: asked twice it is one drain")) }
        return ::answer
    }

    internal companion object {
        const val STATUS: String = "/admin/machines"
        const val DRAIN: String = "/admin/machines/drain"
        const val UNDRAIN: String = "/admin/machines/undrain"

        /** Followed by the name of a task or machine. */
        const val EXPLAIN: String = "/admin/machines/explain/"

        fun serves(path: String): Boolean = path == STATUS || path == DRAIN || path == UNDRAIN || path.startsWith(EXPLAIN)

        /** In a request, the time of day at which it was asked, in milliseconds. */
        const val ASKED: String = "asked_ms"

        /** How long whoever asks waits for the answer, and what times of day may differ by. */
        private const val MOST_AGE_MILLIS = 7_000
        private const val OK = 200
        private const val MALFORMED = 400
        private const val NOT_FOUND = 404
        private const val CONFLICT = 409
        private const val WRITE_SECONDS = 3.0
        private const val ANSWER_SECONDS = 4.0
    }
}
