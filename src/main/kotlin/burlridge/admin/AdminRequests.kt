package burlridge.admin

import burlridge.balance.MachineRequests
import burlridge.core.HttpResponse
import burlridge.core.HttpStatus
import burlridge.failover.MemberRequests

/** Routes the operators' HTTP requests, which every member accepts on its own address. */
internal class AdminRequests(
    /** Null if failover is switched off; its paths then return 404. */
    private val members: MemberRequests?,
    /** Null if balance is switched off; its paths then return 404. */
    private val machines: MachineRequests?,
    private val builds: BuildRequests,
) {
    /** Routes a request to the handler of its path; responds with 404 if there is none. */
    fun handle(
        method: String,
        path: String,
        body: String,
        /** Whether another member received the request and forwarded it. */
        isForwarded: Boolean,
        respond: (HttpResponse) -> Unit,
    ) {
        when {
            path == BuildRequests.PATH -> respond(builds.handle(method))
            members != null && MemberRequests.serves(path) -> members.handle(method, path, respond)
            machines != null && MachineRequests.serves(path) -> machines.handle(method, path, body, isForwarded, respond)
            else -> respond(HttpResponse.error(HttpStatus.NOT_FOUND, "no such path"))
        }
    }

    internal companion object {
        const val PREFIX: String = "/admin/"
    }
}
