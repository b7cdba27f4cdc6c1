package burlridge.core

import burlridge.message.PeerMessage
import burlridge.settings.Endpoint
import burlridge.settings.Settings
import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap
import kotlin.random.Random

/**
 * What all slices share while the core takes one step: the time, the random source, the effects so far, the calls whose outcome is open,
 * scheduled actions, counters and log lines. It does no I/O; whoever steps the core carries out the effects.
 */
internal class StepContext(
    val settings: Settings,
    seed: Long,
) {
    /** Steady clock of this step, in seconds; it never goes back. */
    var now: Double = 0.0
        private set

    /** Time of day in milliseconds, within the bound that the settings give; only for ages that outlive a process. */
    var wallMillis: Long = 0
        private set

    /** The only source of randomness in the core, so that a seed determines a run. */
    val random: Random = Random(seed)
    private var effects = ArrayList<Effect>()
    private val pendingCalls = Long2ObjectOpenHashMap<(CallOutcome) -> Unit>()
    private var nextCallId = 1L
    private val scheduledActions = ScheduledActions()
    private val logRateLimiter = LogRateLimiter()

    /** Totals since the start of the process, by metric name. */
    val counters: Object2LongOpenHashMap<String> = Object2LongOpenHashMap()

    /** Adds [amount] to the counter [name]. */
    fun count(
        name: String,
        amount: Int = 1,
    ) {
        counters.addTo(name, amount.toLong())
    }

    /** Sets the time of the step that begins. */
    fun beginStep(
        now: Double,
        wallMillis: Long,
    ) {
        this.wallMillis = wallMillis
        this.now = maxOf(now, this.now)
        logRateLimiter.summarize(this.now).forEach { info(it) }
    }

    /** The effects of the step that ends, in the order in which they must be carried out. */
    fun finishStep(): List<Effect> = effects.also { effects = ArrayList() }

    /**
     * Calls an outside system. [onResult] runs in a later step; a [body] of null sends none. The call must not leave after [sendDeadline].
     */
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

    /** Hands the outcome of a call to whoever made it; an outcome that comes twice is ignored. */
    fun complete(completed: Input.CallCompleted) {
        pendingCalls.remove(completed.callId)?.invoke(completed.outcome)
    }

    /** Answers the request [requestId]. */
    fun respond(
        requestId: Long,
        response: HttpResponse,
    ) {
        effects += Effect.Respond(requestId, response.status, response.body, response.retryAfterSeconds, response.sendDeadline)
    }

    /** Sends [message] to another controller; it may be lost, and must not leave after [sendDeadline]. */
    fun send(
        member: String,
        message: PeerMessage,
        sendDeadline: Double = Effect.NO_DEADLINE,
    ) {
        effects += Effect.SendToPeer(member, message, sendDeadline)
    }

    /** Adds any other effect. */
    fun emit(effect: Effect) {
        effects += effect
    }

    /** Runs [action] in the first step that comes at least [delaySeconds] from now. */
    fun schedule(
        delaySeconds: Double,
        action: () -> Unit,
    ) {
        scheduledActions.add(now + delaySeconds, action)
    }

    /** Runs the scheduled actions that are due. */
    fun runDue() {
        scheduledActions.runDue(now)
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
        if (logRateLimiter.tryAcquire(event, now)) info(event, *details)
    }

    /** Logs [event], a fixed phrase, with its [details] as `key=value`. */
    fun debug(
        event: String,
        vararg details: Pair<String, Any?>,
    ) {
        effects += Effect.Log(LogLevel.DEBUG, logLine(event, details))
    }
}
