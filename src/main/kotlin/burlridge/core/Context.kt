package burlridge.core

import burlridge.json.Json
import burlridge.message.PeerMessage
import burlridge.settings.Endpoint
import burlridge.settings.Settings
import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap
import kotlin.random.Random

/** What every slice shares inside one step: the time given, the effects so far and the calls that wait for an outcome. */
internal class Context(
    val settings: Settings,
    seed: Long,
) {
    var now: Double = 0.0
        private set

    /** The time of day, within the bound that the settings give; only for ages that outlive a process. */
    var wallMs: Long = 0
        private set
    val random: Random = Random(seed)
    private var effects = ArrayList<Effect>()
    private val waiting = Long2ObjectOpenHashMap<(Outcome) -> Unit>()
    private var nextCall = 1L
    private var scheduled = java.util.PriorityQueue<ScheduledWork>()
    private var nextOrder = 0L
    private val logRateLimiter = LogRateLimiter()

    private class ScheduledWork(
        val at: Double,
        val order: Long,
        val work: () -> Unit,
    ) : Comparable<ScheduledWork> {
        override fun compareTo(other: ScheduledWork): Int = compareValuesBy(this, other, ScheduledWork::at, ScheduledWork::order)
    }

    /** How much of what has been done; the figures that grow with a deployment. */
    val work: Object2LongOpenHashMap<String> = Object2LongOpenHashMap()

    fun count(
        what: String,
        amount: Int = 1,
    ) {
        work.addTo(what, amount.toLong())
    }

    fun begin(
        now: Double,
        wallMs: Long,
    ) {
        this.wallMs = wallMs
        this.now = maxOf(now, this.now)
        logRateLimiter.sumUp(this.now).forEach(::info)
    }

    fun finish(): List<Effect> = effects.also { effects = ArrayList() }

    fun call(
        target: Endpoint,
        method: String,
        path: String,
        body: String?,
        timeoutS: Double,
        leaveBy: Double = Effect.NEVER_TOO_LATE,
        then: (Outcome) -> Unit,
    ) {
        val id = nextCall++
        waiting.put(id, then)
        effects += Effect.Call(id, target, method, path, body, timeoutS, leaveBy)
    }

    fun called(done: Input.CallDone) {
        waiting.remove(done.call)?.invoke(done.outcome)
    }

    fun answer(
        id: Long,
        answer: Answer,
    ) {
        effects += Effect.Answer(id, answer.status, answer.body, answer.retryAfterS, answer.leaveBy)
    }

    fun send(
        member: String,
        message: PeerMessage,
        leaveBy: Double = Effect.NEVER_TOO_LATE,
    ) {
        effects += Effect.Send(member, message, leaveBy)
    }

    fun emit(effect: Effect) {
        effects += effect
    }

    /** Runs [work] at the first step that comes [delayS] from now or later. */
    fun later(
        delayS: Double,
        work: () -> Unit,
    ) {
        scheduled.add(ScheduledWork(now + delayS, nextOrder++, work))
    }

    fun runDue() {
        while (true) {
            val due = scheduled.peek()?.takeIf { it.at <= now } ?: return
            scheduled.poll()
            due.work()
        }
    }

    fun error(text: String) {
        effects += Effect.Log(Level.ERROR, text)
    }

    fun info(text: String) {
        effects += Effect.Log(Level.INFO, text)
    }

    /** A line of which hundreds may come at once: of each [kind] the first of a second are logged, and the others summed up. */
    fun infoRateLimited(
        kind: String,
        text: String,
    ) {
        if (logRateLimiter.admits(kind, now)) info(text)
    }

    fun debug(text: String) {
        effects += Effect.Log(Level.DEBUG, text)
    }
}

/** An answer to a request, from a user, a worker or a peer that passes one on. */
internal data class Answer(
    val status: Int,
    val body: String,
    val retryAfterS: Int? = null,
    /** After this time of the steady clock it must not be given any more. */
    val leaveBy: Double = Effect.NEVER_TOO_LATE,
) {
    internal companion object {
        fun error(
            status: Int,
            reason: String,
        ): Answer = Answer(status, Json.write(Json.obj { put("error", reason) }))

        fun unavailable(
            reason: String,
            retryAfterS: Int = 1,
        ): Answer = Answer(503, Json.write(Json.obj { put("error", reason) }), retryAfterS)
    }
}
