package burlridge.peer

import burlridge.core.Effect
import burlridge.core.HttpResponse
import burlridge.core.StepContext
import burlridge.message.PeerMessage
import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap

/** Links between the controllers: statuses, requests passed to the leader, and news of accepted jobs. */
internal class PeerRequests(
    private val context: StepContext,
) {
    private val pendingRequests = Long2ObjectOpenHashMap<(HttpResponse?) -> Unit>()

    /** Begins anywhere: a reply to a question of our former self must not meet one of ours. */
    private var nextRequestId = context.random.nextLong(Long.MAX_VALUE / 2)
    private val statuses = HashMap<String, PeerMessage.Status>()
    private val heardAt = HashMap<String, Double>()

    fun onMessage(message: PeerMessage) {
        heardAt[message.from] = context.now
        if (message is PeerMessage.Status) statuses[message.from] = message
    }

    /** Another member that lately said the state service answers it. */
    fun memberWithStore(): String? = statuses.values.firstOrNull { it.storeReachable && !isSilent(it.from) }?.from

    fun leaderMissesZone(
        leader: String,
        zone: String,
    ): Boolean = statuses[leader]?.let { it.isLeader && zone in it.zonesWithoutHeartbeats } ?: false

    fun isSilent(member: String): Boolean = context.now > (heardAt[member] ?: -1e9) + SILENT_SECONDS

    /** Asks [member]; null when it does not answer in time. A member long unheard of is not waited for. */
    fun forward(
        member: String,
        method: String,
        path: String,
        body: String,
        patienceSeconds: Double,
        sendDeadline: Double = Effect.NO_DEADLINE,
        onResult: (HttpResponse?) -> Unit,
    ) {
        if (isSilent(member)) return onResult(null)
        val id = nextRequestId++
        pendingRequests.put(id, onResult)
        context.send(member, PeerMessage.ForwardedRequest(context.settings.member, id, method, path, body), sendDeadline)
        context.schedule(patienceSeconds) { pendingRequests.remove(id)?.invoke(null) }
    }

    fun onResponse(reply: PeerMessage.ForwardedResponse) {
        pendingRequests.remove(reply.requestId)?.invoke(HttpResponse(reply.status, reply.body, reply.retryAfterSeconds.takeIf { it > 0 }))
    }

    fun broadcastAccepted(job: String) {
        context.settings.others.forEach { context.send(it.member, PeerMessage.JobAccepted(context.settings.member, job)) }
    }

    private companion object {
        const val SILENT_SECONDS = 2.0
    }
}
