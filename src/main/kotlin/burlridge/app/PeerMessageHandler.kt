package burlridge.app

import burlridge.allocation.ActiveJobRow
import burlridge.allocation.JobRegistry
import burlridge.api.JobApi
import burlridge.core.HttpResponse
import burlridge.core.StepContext
import burlridge.failover.Failover
import burlridge.leadership.Leadership
import burlridge.message.PeerMessage
import burlridge.peer.LeaderRequests
import burlridge.peer.PeerRequests
import burlridge.store.ReadResult
import burlridge.store.RequestPriority
import burlridge.store.StoreClient
import burlridge.worker.HeartbeatRelay
import burlridge.worker.RelayedCommand

/** Dispatches each message of another member to the part that handles it. */
internal class PeerMessageHandler(
    private val context: StepContext,
    private val store: StoreClient,
    private val leadership: Leadership,
    private val peers: PeerRequests,
    private val registry: JobRegistry,
    private val jobApi: JobApi,
    private val relay: HeartbeatRelay,
    private val router: RequestRouter,
    private val failover: Failover?,
    /** Called when a job that another member has accepted is in the registry. */
    private val onJobAdmitted: () -> Unit,
) {
    private val leaderRequests = LeaderRequests(peers)

    /** Dispatches [message] to the part that handles it. */
    fun handle(message: PeerMessage) {
        peers.onMessage(message)
        when (message) {
            is PeerMessage.Status -> {
                leadership.onPeerStatus(message)
                failover?.onStatus(message)
            }

            is PeerMessage.Handover -> {
                if (failover == null) context.count("failover.messages_refused") else failover.onHandover(message)
            }

            is PeerMessage.ForwardedResponse -> {
                peers.onResponse(message)
            }

            is PeerMessage.JobAccepted -> {
                onJobAccepted(message.job)
            }

            is PeerMessage.ForwardedRequest -> {
                onForwardedRequest(message)
            }
        }
    }

    private fun onForwardedRequest(request: PeerMessage.ForwardedRequest) {
        when {
            request.path.startsWith(RelayedCommand.PATH_PREFIX) -> {
                relay.forwardCommand(request.path.removePrefix(RelayedCommand.PATH_PREFIX), request.body) { respond(request, it) }
            }

            request.path.startsWith(LeaderRequests.PATH_PREFIX) -> {
                onRequestToLeader(request)
            }

            else -> {
                router.handle(request.method, request.path, request.body, request.from) { respond(request, it) }
            }
        }
    }

    /** Handles a request of a member that does not reach the leader itself. */
    private fun onRequestToLeader(request: PeerMessage.ForwardedRequest) {
        val path = request.path.removePrefix(LeaderRequests.PATH_PREFIX)
        val leader = leadership.knownLeader
        when {
            leadership.isLeader -> router.handle(request.method, path, request.body, request.from) { respond(request, it) }
            leader == null -> respond(request, HttpResponse.unavailable("no leader at the moment"))
            else -> leaderRequests.relay(leader, path) { respond(request, it) }
        }
    }

    private fun respond(
        request: PeerMessage.ForwardedRequest,
        response: HttpResponse,
    ) {
        val retryAfterSeconds = response.retryAfterSeconds ?: 0
        context.send(
            request.from,
            PeerMessage.ForwardedResponse(context.settings.member, request.requestId, response.status, response.body, retryAfterSeconds),
        )
    }

    private fun onJobAccepted(job: String) {
        jobApi.onAccepted(job)
        if (leadership.isLeader && jobApi.isLoaded && !registry.jobs.containsKey(job)) readAndAdmit(job)
    }

    /** Reads the job's row before admitting it: the message may be old, and the job finished long ago. */
    private fun readAndAdmit(job: String) {
        val isStillLeading = leadership.whileLeading(leadership.term)
        store.get(ActiveJobRow.key(job), RequestPriority.USER) { read ->
            if (isStillLeading() && jobApi.isLoaded && read is ReadResult.Found) {
                registry.admit(read.value)
                onJobAdmitted()
            }
        }
    }
}
