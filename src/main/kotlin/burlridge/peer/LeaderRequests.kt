package burlridge.peer

import burlridge.core.HttpResponse
import burlridge.core.HttpStatus

/** Sends read requests to the leader: directly, or through members that may reach it although this one does not. */
internal class LeaderRequests(
    private val peers: PeerRequests,
) {
    /** Requests [path] from [leader], first directly; the result is null if neither that nor any other way yields the leader's response. */
    fun get(
        leader: String,
        path: String,
        onResult: (HttpResponse?) -> Unit,
    ) = getDirectly(leader, path) { response -> if (response == null) getThroughFollowers(leader, path, onResult) else onResult(response) }

    /** Requests [path] from [leader] directly; the result is null if it does not respond, or is not able to as leader. */
    fun getDirectly(
        leader: String,
        path: String,
        onResult: (HttpResponse?) -> Unit,
    ) = peers.forward(leader, "GET", path, "", DIRECT_TIMEOUT_SECONDS) { response ->
        onResult(response?.takeIf { it.status != HttpStatus.SERVICE_UNAVAILABLE })
    }

    /**
     * Requests [path] from [leader] through two other members at once, and returns the response that arrives first. The result is null if
     * no member passes on a response with which the leader describes what was asked for.
     */
    fun getThroughFollowers(
        leader: String,
        path: String,
        onResult: (HttpResponse?) -> Unit,
    ) {
        val followers = peers.membersFollowing(leader).take(MAX_FOLLOWERS_ASKED)
        if (followers.isEmpty()) return onResult(null)
        var unanswered = followers.size
        var hasResult = false
        for (follower in followers) {
            peers.forward(follower, "GET", PATH_PREFIX + path, "", RELAYED_TIMEOUT_SECONDS) { response ->
                unanswered--
                // A member of an earlier version does not know the path, so that its 404 says nothing about what was asked for.
                val isFromLeader = response != null && response.status in setOf(HttpStatus.OK, HttpStatus.GATEWAY_TIMEOUT)
                if (!hasResult && (isFromLeader || unanswered == 0)) {
                    hasResult = true
                    onResult(response.takeIf { isFromLeader })
                }
            }
        }
    }

    /** Passes on [path], which another member has requested under [PATH_PREFIX], to [leader]. */
    fun relay(
        leader: String,
        path: String,
        respond: (HttpResponse) -> Unit,
    ) = peers.forward(leader, "GET", path, "", RELAY_TIMEOUT_SECONDS) { response ->
        respond(response ?: HttpResponse.unavailable("the leader does not answer"))
    }

    internal companion object {
        /** Prefix of the path of a request that the receiving member is to pass on to the leader. */
        const val PATH_PREFIX: String = "/leader"
        private const val MAX_FOLLOWERS_ASKED = 2
        private const val DIRECT_TIMEOUT_SECONDS = 0.6
        private const val RELAYED_TIMEOUT_SECONDS = 0.7

        /** Shorter than the time for which the member that asked waits. */
        private const val RELAY_TIMEOUT_SECONDS = RELAYED_TIMEOUT_SECONDS * 0.8
    }
}
