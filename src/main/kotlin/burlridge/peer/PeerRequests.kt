package burlridge.peer

import burlridge.core.Effect
import burlridge.core.HttpResponse
import burlridge.core.StepContext
import burlridge.message.BuildIdentity
import burlridge.message.PeerMessage
import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap

/** Forwards requests to other controllers and announces accepted jobs; tracks from their statuses which members can be asked. */
internal class PeerRequests(
    private val context: StepContext,
) {
    private val pendingRequests = Long2ObjectOpenHashMap<(HttpResponse?) -> Unit>()

    /** Starts at a random value: a response to a request of this member's previous process must not match one of this process. */
    private var nextRequestId = context.random.nextLong(Long.MAX_VALUE / 2)
    private val statuses = HashMap<String, PeerMessage.Status>()
    private val lastMessageAt = HashMap<String, Double>()

    /** Records the arrival of any message, which shows that its sender is alive, and keeps the latest status. */
    fun onMessage(message: PeerMessage) {
        lastMessageAt[message.from] = context.now
        if (message is PeerMessage.Status) statuses[message.from] = message
    }

    /** Returns a member that is not silent and whose last status said that it reaches the key-value store; null if there is none. */
    fun memberReachingStore(): String? = statuses.values.firstOrNull { it.storeReachable && !isSilent(it.from) }?.from

    /** Returns the members, [leader] excepted, that are not silent and whose last status named [leader] as the leader. */
    fun membersFollowing(leader: String): List<String> =
        statuses.values.filter { it.from != leader && it.leader == leader && !isSilent(it.from) }.map { it.from }

    /** Whether [leader], in its last status, reported as leader that it receives no heartbeats from [zone]. */
    fun leaderLacksHeartbeatsFrom(
        leader: String,
        zone: String,
    ): Boolean = statuses[leader]?.let { it.isLeader && zone in it.zonesWithoutHeartbeats } ?: false

    /** Returns the build that [member] runs, by its last status; null if it has sent none or does not tell. */
    fun buildOf(member: String): BuildIdentity? = statuses[member]?.build

    /** Whether no message of [member] has arrived in the last [SILENCE_TIMEOUT_SECONDS]. */
    fun isSilent(member: String): Boolean = context.now > (lastMessageAt[member] ?: Double.NEGATIVE_INFINITY) + SILENCE_TIMEOUT_SECONDS

    /** Forwards a request to [member]. The result is null after [timeoutSeconds] without a response, immediately if it is silent. */
    fun forward(
        member: String,
        method: String,
        path: String,
        body: String,
        timeoutSeconds: Double,
        sendDeadline: Double = Effect.NO_DEADLINE,
        onResult: (HttpResponse?) -> Unit,
    ) {
        if (isSilent(member)) return onResult(null)
        val id = nextRequestId++
        pendingRequests.put(id, onResult)
        context.send(member, PeerMessage.ForwardedRequest(context.settings.member, id, method, path, body), sendDeadline)
        context.schedule(timeoutSeconds) { pendingRequests.remove(id)?.invoke(null) }
    }

    /** Passes on the response to a forwarded request; one that arrives after the timeout is ignored. */
    fun onResponse(response: PeerMessage.ForwardedResponse) {
        val retryAfterSeconds = response.retryAfterSeconds.takeIf { it > 0 }
        pendingRequests.remove(response.requestId)?.invoke(HttpResponse(response.status, response.body, retryAfterSeconds))
    }

    /** Notifies all other members that this one has accepted [job]. */
    fun broadcastJobAccepted(job: String) {
        context.settings.others.forEach { context.send(it.member, PeerMessage.JobAccepted(context.settings.member, job)) }
    }

    private companion object {
        const val SILENCE_TIMEOUT_SECONDS = 2.0
    }
}
