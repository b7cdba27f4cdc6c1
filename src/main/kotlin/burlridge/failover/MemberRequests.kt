package burlridge.failover

import burlridge.core.HttpResponse
import burlridge.core.StepContext
import burlridge.json.Json
import burlridge.peer.PeerRequests

/** The operators' requests about the members of the service: who leads, and which is to leave. */
internal class MemberRequests(
    private val context: StepContext,
    private val failover: Failover,
    private val peers: PeerRequests,
) {
    fun handle(
        method: String,
        path: String,
        onResult: (HttpResponse) -> Unit,
    ) {
        val target = path.removePrefix(DRAIN).removePrefix("/")
        when {
            path == STATUS && method == "GET" -> onResult(HttpResponse(OK, Json.write(failover.report().encode())))
            path == STATUS -> onResult(HttpResponse.error(NOT_ALLOWED, "use GET"))
            method != "POST" -> onResult(HttpResponse.error(NOT_ALLOWED, "use POST"))
            target.isEmpty() || target == context.settings.member -> drainHere(onResult)
            else -> drainOther(target, onResult)
        }
    }

    private fun drainHere(onResult: (HttpResponse) -> Unit) {
        val problem = failover.drain()
        if (problem != null) return onResult(HttpResponse.error(CONFLICT, "${context.settings.member} is not drained: $problem"))
        onResult(
            HttpResponse(
                OK,
                Json.write(
                    Json.obj {
                        put("member", context.settings.member)
                        put("draining", true)
                        put("drained", failover.drained)
                    },
                ),
            ),
        )
    }

    private fun drainOther(
        target: String,
        onResult: (HttpResponse) -> Unit,
    ) {
        val problem = failover.refusalToDrain(target)
        if (problem != null) return onResult(HttpResponse.error(CONFLICT, "$target is not drained: $problem"))
        peers.forward(target, "POST", DRAIN, "", ANSWER_SECONDS) { onResult(it ?: HttpResponse.unavailable("$target does not answer")) }
    }

    internal companion object {
        fun serves(path: String): Boolean = path == STATUS || path == DRAIN || path.startsWith("$DRAIN/")

        const val STATUS: String = "/admin/failover"
        const val DRAIN: String = "/admin/drain"
        private const val OK = 200
        private const val NOT_ALLOWED = 405
        private const val CONFLICT = 409
        private const val ANSWER_SECONDS = 2.0
    }
}
