package burlridge.peer

import burlridge.core.Effect
import burlridge.core.HttpResponse
import burlridge.core.StepContext
import burlridge.message.PeerMessage
import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap

/** Links between the controllers: statuses, requests passed to the leader, and news of accepted jobs. */
internal class Peers(
    private val context: StepContext,
) {
    private val asked = Long2ObjectOpenHashMap<(HttpResponse?) -> Unit>()

    /** Begins anywhere: a reply to a question of our former self must not meet one of ours. */
    private var nextAsk = context.random.nextLong(Long.MAX_VALUE / 2)
    private val statuses = HashMap<String, PeerMessage.Status>()
    private val heardAt = HashMap<String, Double>()

    fun heard(message: PeerMessage) {
        heardAt[message.from] = context.now
        if (message is PeerMessage.Status) statuses[message.from] = message
    }

    /** Another member that lately said the state service answers it. */
    fun served(): String? = statuses.values.firstOrNull { it.storeServed && !silent(it.from) }?.from

    fun unheard(
        leader: String,
        zone: String,
    ): Boolean = statuses[leader]?.let { it.leading && zone in it.unheard } ?: false

    fun silent(member: String): Boolean = context.now > (heardAt[member] ?: -1e9) + SILENT_S

    /** Asks [member]; null when it does not answer in time. A member long unheard of is not waited for. */
    fun ask(
        member: String,
        method: String,
        path: String,
        body: String,
        patienceS: Double,
        sendDeadline: Double = Effect.NO_DEADLINE,
        onResult: (HttpResponse?) -> Unit,
    ) {
        if (silent(member)) return onResult(null)
        val id = nextAsk++
        asked.put(id, onResult)
        context.send(member, PeerMessage.Ask(context.settings.member, id, method, path, body), sendDeadline)
        context.schedule(patienceS) { asked.remove(id)?.invoke(null) }
    }

    fun replied(reply: PeerMessage.Reply) {
        asked.remove(reply.ask)?.invoke(HttpResponse(reply.status, reply.body, reply.retryAfterS.takeIf { it > 0 }))
    }

    fun tellAccepted(job: String) {
        context.settings.others.forEach { context.send(it.member, PeerMessage.Accepted(context.settings.member, job)) }
    }

    private companion object {
        const val SILENT_S = 2.0
    }
}
