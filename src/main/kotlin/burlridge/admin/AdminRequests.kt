package burlridge.admin

import burlridge.balance.MachineRequests
import burlridge.core.HttpResponse
import burlridge.failover.MemberRequests

/** The operators' requests, on each member's own address; a part that is switched off knows no path. */
internal class AdminRequests(
    private val members: MemberRequests?,
    private val machines: MachineRequests?,
) {
    fun handle(
        method: String,
        path: String,
        body: String,
        /** Whether another member took the request and passed it on. */
        passedOn: Boolean,
        onResult: (HttpResponse) -> Unit,
    ) {
        when {
            members != null && MemberRequests.serves(path) -> members.handle(method, path, onResult)
            machines != null && MachineRequests.serves(path) -> machines.handle(method, path, body, passedOn, onResult)
            else -> onResult(HttpResponse.error(NOT_FOUND, "no such path"))
        }
    }

    internal companion object {
        const val PREFIX: String = "/admin/"
        private const val NOT_FOUND = 404
    }
}
