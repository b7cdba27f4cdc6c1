package burlridge.core

import burlridge.json.Json
import burlridge.message.PeerMessage
import burlridge.settings.Endpoint
import burlridge.settings.Settings
import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap
import kotlin.random.Random

/** What every slice shares inside one step: the time given, the effects so far and the calls that wait for an outcome. */
internal class StepContext(
    val settings: Settings,
    seed: Long,
) {
    var now: Double = 0.0
        private set

    /** The time of day, within the bound that the settings give; only for ages that outlive a process. */
    var wallMillis: Long = 0
        private set
    val random: Random = Random(seed)
    private var effects = ArrayList<Effect>()
    private val pendingCalls = Long2ObjectOpenHashMap<(CallOutcome) -> Unit>()
    private var nextCallId = 1L
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
    val counters: Object2LongOpenHashMap<String> = Object2LongOpenHashMap()

    fun count(
        what: String,
        amount: Int = 1,
    ) {
        counters.addTo(what, amount.toLong())
    }

    fun beginStep(
        now: Double,
        wallMillis: Long,
    ) {
        this.wallMillis = wallMillis
        this.now = maxOf(now, this.now)
        logRateLimiter.summarize(this.now).forEach { info(it) }
    }

    fun finishStep(): List<Effect> = effects.also { effects = ArrayList() }

    fun call(
        target: Endpoint,
        method: String,
        path: String,
        body: String?,
        timeoutSeconds: Double,
        sendDeadline: Double = Effect.NO_DEADLINE,
        onResult: (CallOutcome) -> Unit,
    ) {
        val id = nextCallId++
        pendingCalls.put(id, onResult)
        effects += Effect.HttpCall(id, target, method, path, body, timeoutSeconds, sendDeadline)
    }

    fun complete(done: Input.CallCompleted) {
        pendingCalls.remove(done.callId)?.invoke(done.outcome)
    }

    fun respond(
        id: Long,
        answer: HttpResponse,
    ) {
        effects += Effect.Respond(id, answer.status, answer.body, answer.retryAfterSeconds, answer.sendDeadline)
    }

    fun send(
        member: String,
        message: PeerMessage,
        sendDeadline: Double = Effect.NO_DEADLINE,
    ) {
        effects += Effect.SendToPeer(member, message, sendDeadline)
    }

    fun emit(effect: Effect) {
        effects += effect
    }

    /** Runs [work] at the first step that comes [delaySeconds] from now or later. */
    fun schedule(
        delaySeconds: Double,
        work: () -> Unit,
    ) {
        scheduled.add(ScheduledWork(now + delaySeconds, nextOrder++, work))
    }

    fun runDue() {
        while (true) {
            val due = scheduled.peek()?.takeIf { it.at <= now } ?: return
            scheduled.poll()
            due.work()
        }
    }

    /** Logs [event], a fixed phrase, with its [details] as `key=value`. */
    fun error(
        event: String,
        vararg details: Pair<String, Any?>,
    ) {
        effects += Effect.Log(LogLevel.ERROR, logLine(event, details))
    }

    /** Logs [event], a fixed phrase, with its [details] as `key=value`. */
    fun info(
        event: String,
        vararg details: Pair<String, Any?>,
    ) {
        effects += Effect.Log(LogLevel.INFO, logLine(event, details))
    }

    /** An [info] line of which hundreds may come at once: of each [event] the first of a second are logged, the others counted. */
    fun infoLimited(
        event: String,
        vararg details: Pair<String, Any?>,
    ) {
        if (logRateLimiter.admits(event, now)) info(event, *details)
    }

    /** A line of which hundreds may come at once: of each [kind] the first of a second are logged, and the others summed up. */
    fun infoRateLimited(
        kind: String,
        text: String,
    ) {
        if (logRateLimiter.admits(kind, now)) info(text)
    }

    /** Logs [event], a fixed phrase, with its [details] as `key=value`. */
    fun debug(
        event: String,
        vararg details: Pair<String, Any?>,
    ) {
        effects += Effect.Log(LogLevel.DEBUG, logLine(event, details))
    }
}

/** An answer to a request, from a user, a worker or a peer that passes one on. */
internal data class HttpResponse(
    val status: Int,
    val body: String,
    val retryAfterSeconds: Int? = null,
    /** After this time of the steady clock it must not be given any more. */
    val sendDeadline: Double = Effect.NO_DEADLINE,
) {
    internal companion object {
        fun error(
            status: Int,
            reason: String,
        ): HttpResponse = HttpResponse(status, Json.write(Json.obj { put("error", reason) }))

        fun unavailable(
            reason: String,
            retryAfterSeconds: Int = 1,
        ): HttpResponse = HttpResponse(503, Json.write(Json.obj { put("error", reason) }), retryAfterSeconds)
    }
}
