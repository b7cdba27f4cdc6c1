package burlridge.failover

import burlridge.core.HttpResponse
import burlridge.core.HttpStatus
import burlridge.core.StepContext
import burlridge.peer.PeerRequests

/** The operators' requests about the members of the service: the failover report, and the drain of a member. */
internal class MemberRequests(
    private val context: StepContext,
    private val failover: Failover,
    private val peers: PeerRequests,
) {
    private val member = context.settings.member

    /** Handles a request whose path [serves]; [respond] is called once. */
    fun handle(
        method: String,
        path: String,
        respond: (HttpResponse) -> Unit,
    ) {
        val allowed = if (path == STATUS) "GET" else "POST"
        val target = path.removePrefix(DRAIN).removePrefix("/")
        when {
            method != allowed -> respond(HttpResponse.methodNotAllowed(allowed))
            path == STATUS -> respond(HttpResponse(HttpStatus.OK, FailoverReportCodec.encode(failover.report())))
            target.isEmpty() || target == member -> drainHere(respond)
            else -> drainOther(target, respond)
        }
    }

    private fun drainHere(respond: (HttpResponse) -> Unit) {
        when (val result = failover.drain()) {
            DrainResult.Accepted -> respond(HttpResponse(HttpStatus.OK, FailoverReportCodec.encodeDrain(member, failover.isDrained)))
            is DrainResult.Refused -> respond(refused(member, result.refusal))
        }
    }

    private fun drainOther(
        target: String,
        respond: (HttpResponse) -> Unit,
    ) {
        when (val result = failover.checkDrain(target)) {
            DrainResult.Accepted -> {
                peers.forward(target, "POST", DRAIN, "", ANSWER_SECONDS) { answer ->
                    respond(answer ?: HttpResponse.unavailable("$target does not answer"))
                }
            }

            is DrainResult.Refused -> {
                respond(refused(target, result.refusal))
            }
        }
    }

    private fun refused(
        target: String,
        refusal: DrainRefusal,
    ): HttpResponse = HttpResponse.error(HttpStatus.CONFLICT, "$target is not drained: ${refusal.text}")

    internal companion object {
        const val STATUS: String = "/admin/failover"

        /** Followed by a slash and the name of a member, or by nothing for the member that is asked. */
        const val DRAIN: String = "/admin/drain"
        private const val ANSWER_SECONDS = 2.0

        /** Whether [path] is one of these requests. */
        fun serves(path: String): Boolean = path == STATUS || path == DRAIN || path.startsWith("$DRAIN/")
    }
}
