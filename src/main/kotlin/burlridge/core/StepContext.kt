package burlridge.core

import burlridge.message.BuildIdentity
import burlridge.message.PeerMessage
import burlridge.settings.Endpoint
import burlridge.settings.Settings
import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap
import kotlin.random.Random

/**
 * The state that all packages of the core share during a step: the time, the random source, the effects so far, calls in flight, scheduled
 * actions, counters and log lines. It does no I/O; the caller of the core carries out the effects.
 */
internal class StepContext(
    val settings: Settings,
    seed: Long,
    /** The build that this process runs; null if it is not told to the other members. */
    val build: BuildIdentity? = null,
) {
    /** Monotonic time of this step, in seconds; it never decreases. */
    var now: Double = 0.0
        private set

    /**
     * Wall-clock time of this step, in milliseconds, accurate within the bound that the platform guarantees. It is used only for times and
     * ages that must outlive a process or be comparable with those of other processes.
     */
    var wallMillis: Long = 0
        private set

    /** The only source of randomness in the core, so that the seed and the inputs determine a run. */
    val random: Random = Random(seed)
    private var effects = ArrayList<Effect>()
    private val pendingCalls = Long2ObjectOpenHashMap<(CallOutcome) -> Unit>()
    private var nextCallId = 1L
    private val scheduledActions = ScheduledActions()
    private val logRateLimiter = LogRateLimiter()

    /** Counts since the start of the process, by metric name. */
    val counters: Object2LongOpenHashMap<String> = Object2LongOpenHashMap()

    /** Adds [amount] to the counter [name]. */
    fun count(
        name: String,
        amount: Int = 1,
    ) {
        counters.addTo(name, amount.toLong())
    }

    /** Begins a step at the given time, and logs the lines that summarize suppressed ones if they are due. */
    fun beginStep(
        now: Double,
        wallMillis: Long,
    ) {
        this.wallMillis = wallMillis
        this.now = maxOf(now, this.now)
        logRateLimiter.summarize(this.now).forEach { info(it) }
    }

    /** Ends the step and returns its effects, in the order in which they must be carried out. */
    fun finishStep(): List<Effect> = effects.also { effects = ArrayList() }

    /**
     * Calls an external system over HTTP, without a request body if [body] is null. [onResult] runs in a later step. The call must not be
     * sent after [sendDeadline].
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

    /** Passes the outcome of a call to the `onResult` of that call; a second outcome of the same call is ignored. */
    fun complete(completed: Input.CallCompleted) {
        pendingCalls.remove(completed.callId)?.invoke(completed.outcome)
    }

    /** Responds to the request [requestId]. */
    fun respond(
        requestId: Long,
        response: HttpResponse,
    ) {
        effects += Effect.Respond(requestId, response.status, response.body, response.retryAfterSeconds, response.sendDeadline)
    }

    /** Sends [message] to another controller. It may be lost, and must not be sent after [sendDeadline]. */
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

    /** Runs [action] in the first step that is at least [delaySeconds] after this one. */
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

    /** Like [info], for events that may occur hundreds at a time: lines of an [event] above the limit per second are counted only. */
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
