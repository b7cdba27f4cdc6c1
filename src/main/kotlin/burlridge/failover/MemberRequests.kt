package burlridge.failover

import burlridge.core.HttpResponse
import burlridge.core.HttpStatus
import burlridge.core.StepContext
import burlridge.peer.PeerRequests

/** Serves operators' requests about the members of the service: the failover report and the drain of a member. */
internal class MemberRequests(
    private val context: StepContext,
    private val failover: Failover,
    private val peers: PeerRequests,
) {
    private val member = context.settings.member

    /** Handles a request for a path that [serves] accepts; calls [respond] once. */
    fun handle(
        method: String,
        path: String,
        respond: (HttpResponse) -> Unit,
    ) {
        val allowedMethod = if (path == STATUS) "GET" else "POST"
        val target = path.removePrefix(DRAIN).removePrefix("/")
        when {
            method != allowedMethod -> respond(HttpResponse.methodNotAllowed(allowedMethod))
            path == STATUS -> respond(HttpResponse(HttpStatus.OK, FailoverReportCodec.encode(failover.report())))
            target.isEmpty() || target == member -> drainThisMember(respond)
            else -> drainOtherMember(target, respond)
        }
    }

    private fun drainThisMember(respond: (HttpResponse) -> Unit) {
        when (val result = failover.drain()) {
            DrainResult.Accepted -> respond(HttpResponse(HttpStatus.OK, FailoverReportCodec.encodeDrain(member, failover.isDrained)))
            is DrainResult.Refused -> respond(refusedResponse(member, result.refusal))
        }
    }

    private fun drainOtherMember(
        target: String,
        respond: (HttpResponse) -> Unit,
    ) {
        when (val result = failover.checkDrain(target)) {
            DrainResult.Accepted -> {
                peers.forward(target, "POST", DRAIN, "", FORWARD_TIMEOUT_SECONDS) { response ->
                    respond(response ?: HttpResponse.unavailable("$target does not answer"))
                }
            }

            is DrainResult.Refused -> {
                respond(refusedResponse(target, result.refusal))
            }
        }
    }

    private fun refusedResponse(
        target: String,
        refusal: DrainRefusal,
    ): HttpResponse = HttpResponse.error(HttpStatus.CONFLICT, "$target is not drained: ${refusal.text}")

    internal companion object {
        const val STATUS: String = "/admin/failover"

        /** Followed by a slash and the name of a member, or by nothing for the member that receives the request. */
        const val DRAIN: String = "/admin/drain"
        private const val FORWARD_TIMEOUT_SECONDS = 2.0

        /** Whether [path] belongs to one of these requests. */
        fun serves(path: String): Boolean = path == STATUS || path == DRAIN || path.startsWith("$DRAIN/")
    }
}
