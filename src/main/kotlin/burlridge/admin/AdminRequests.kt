package burlridge.admin

import burlridge.balance.MachineRequests
import burlridge.core.HttpResponse
import burlridge.core.HttpStatus
import burlridge.failover.MemberRequests

/** Routes the operators' requests, which each member serves on its own address. */
internal class AdminRequests(
    /** Null where failover is switched off: then its paths are not found. */
    private val members: MemberRequests?,
    /** Null where balance is switched off. */
    private val machines: MachineRequests?,
) {
    /** Routes a request to the part that serves its path; 404 if that is switched off. */
    fun handle(
        method: String,
        path: String,
        body: String,
        /** Whether another member received the request and forwarded it. */
        isForwarded: Boolean,
        respond: (HttpResponse) -> Unit,
    ) {
        when {
            members != null && MemberRequests.serves(path) -> members.handle(method, path, respond)
            machines != null && MachineRequests.serves(path) -> machines.handle(method, path, body, isForwarded, respond)
            else -> respond(HttpResponse.error(HttpStatus.NOT_FOUND, "no such path"))
        }
    }

    internal companion object {
        const val PREFIX: String = "/admin/"
    }
}
