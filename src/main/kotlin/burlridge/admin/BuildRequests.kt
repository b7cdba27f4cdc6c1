package burlridge.admin

import burlridge.core.HttpResponse
import burlridge.core.HttpStatus
import burlridge.core.StepContext
import burlridge.json.Json
import burlridge.message.BuildIdentity
import burlridge.peer.PeerRequests

/** Serves the operators' question which build each member runs, as far as the member that receives it knows. */
internal class BuildRequests(
    private val context: StepContext,
    private val peers: PeerRequests,
) {
    /** Answers a request for [PATH]. */
    fun handle(method: String): HttpResponse =
        if (method ==
            "GET"
        ) {
            HttpResponse(HttpStatus.OK, report())
        } else {
            HttpResponse.methodNotAllowed("GET")
        }

    private fun report(): String {
        val builds =
            mapOf(context.settings.member to context.build) + context.settings.others.associate { it.member to peers.buildOf(it.member) }
        return Json.write(
            Json.obj {
                val members = putArray("members")
                for ((member, build) in builds.toSortedMap()) {
                    members
                        .addObject()
                        .put("member", member)
                        .put("version", build?.version ?: BuildIdentity.UNKNOWN)
                        .put("commit", build?.commit ?: BuildIdentity.UNKNOWN)
                        .put("modified", build?.isModified ?: false)
                }
            },
        )
    }

    internal companion object {
        const val PATH: String = "/admin/builds"
    }
}
