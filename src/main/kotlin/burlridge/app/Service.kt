package burlridge.app

import burlridge.core.Effect
import burlridge.core.Input
import burlridge.core.LogLevel
import burlridge.message.PeerMessage
import burlridge.net.ConnectionBudget
import burlridge.net.EventLoop
import burlridge.net.HttpClient
import burlridge.net.HttpServer
import burlridge.peer.PeerTransport
import burlridge.settings.GangTimings
import burlridge.settings.Settings
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.plus
import org.slf4j.LoggerFactory
import java.io.File
import kotlin.coroutines.EmptyCoroutineContext

/** The process of one controller: a single thread steps the core, executes its effects and waits for sockets and timers. */
internal class Service(
    private val settings: Settings,
) {
    private val log = LoggerFactory.getLogger("burlridge")
    private val controller = Controller(settings, System.nanoTime(), CurrentBuild.identity)
    private val loop = EventLoop()
    private val scope =
        CoroutineScope(loop + SupervisorJob() + CoroutineExceptionHandler { _, unexpected -> log.error("coroutine failed", unexpected) })
    private val budget = ConnectionBudget(settings.processLimits.maxConnections)
    private val client =
        HttpClient(
            loop,
            scope,
            budget.maxCalls,
            budget.maxIdle,
            setOf(settings.stateEndpoint, settings.cloudEndpoint),
            settings.stateEndpoint,
        )
    private val server = HttpServer(loop, budget, settings.workers.reportSeconds * RECLAIM_AFTER_INTERVALS) { step(it) }
    private val metrics = Metrics()
    private val peers = PeerTransport(settings, loop, metrics::onUnknownPeerMessage) { step(Input.MessageReceived(it)) }
    private val serveOn = settings.serveOn
    private var metricsLoggedAtNanos = 0L
    private val failover = settings.operator.failover
    private val tracer = failover?.traceFile?.let { LeaderChangeTracer(File(it), settings.member) }
    private val shutdown = if (failover == null) null else OrderlyShutdown(failover.drainTimeoutSeconds(settings))

    /** Runs the controller until the process is killed. */
    fun run() {
        shutdown?.install()
        start {
            step(Input.Tick)
            shutdown?.let { drainIfRequested(it) }
            server.expirePending()
            server.refuseUnfinished()
            peers.closeUnfinished()
            logMetrics()
        }
    }

    private fun drainIfRequested(shutdown: OrderlyShutdown) {
        if (!shutdown.isRequested) return
        step(Input.DrainRequested)
        if (controller.isDrained || !controller.isDraining) shutdown.complete()
    }

    private fun start(tick: suspend () -> Unit) {
        WarmUp(settings).run()
        peers.start(scope + loop.urgentDispatcher)
        server.serve(serveOn, scope)
        scope.launch { tickForever(tick) }
        loop.run()
    }

    private suspend fun tickForever(tick: suspend () -> Unit) {
        try {
            while (true) {
                tick()
                delay(TICK_MILLIS)
            }
        } catch (e: CancellationException) {
            throw e
        } catch (unexpected: Throwable) {
            // Without ticks, the process would stay up as a member that neither renews a lease nor elects.
            FailureExit.end(unexpected)
        }
    }

    private fun logMetrics() {
        if (!log.isDebugEnabled || System.nanoTime() - metricsLoggedAtNanos < METRICS_INTERVAL_NANOS) return
        metricsLoggedAtNanos = System.nanoTime()
        log.debug("metrics: {} net.open={}", metrics.line(controller.counters), server.openConnections)
    }

    /** Runs for two seconds with itself as store, cloud and worker, so that the class data archive holds the classes of all I/O paths. */
    fun trainClassArchive() {
        // If no team has a guaranteed quota, other code scales out, and gangs have separate code: the archive must cover both.
        val gang = GangTimings(settings.workers.reportSeconds, settings.workers.reportSeconds)
        val teamsWithoutGuarantee = settings.teams.mapValues { it.value.copy(cpus = 0.0) }
        WarmUp(settings.copy(teams = teamsWithoutGuarantee, workers = settings.workers.copy(gang = gang))).run()
        scope.launch {
            delay(TRAINING_MILLIS)
            loop.stop()
        }
        start {
            step(Input.Tick)
            scope.launch { (ClassArchiveTraining.calls(serveOn) + ClassArchiveTraining.refusedCall()).forEach { client.call(it) } }
            peers.send(
                "rehearsal",
                PeerMessage.Status("drover-0", 1, "drover-0", isLeader = false, mayAnswerWorkers = false, storeReachable = true),
            )
        }
    }

    private fun step(input: Input) {
        metrics.onInput(input)
        val effects =
            try {
                controller.step(input, System.nanoTime() / NANOS_PER_SECOND, System.currentTimeMillis())
            } catch (unexpected: Throwable) {
                // Whatever it is, the step may be incomplete. Restarting and loading the rows again is safe; continuing is not.
                FailureExit.end(unexpected) { log.error("core step failed input={}", input) }
            }
        effects.forEach(::execute)
    }

    private fun execute(effect: Effect) {
        metrics.onEffect(effect)
        when (effect) {
            is Effect.Respond -> {
                server.respond(effect)
            }

            is Effect.HttpCall -> {
                val context = if (effect.target == settings.stateEndpoint) loop.urgentDispatcher else EmptyCoroutineContext
                scope.launch(context) { step(Input.CallCompleted(effect.callId, client.call(effect))) }
            }

            is Effect.SendToPeer -> {
                peers.send(effect.member, effect.message, effect.sendDeadline)
            }

            is Effect.Trace -> {
                tracer?.record(effect)
            }

            is Effect.Log -> {
                when (effect.level) {
                    LogLevel.ERROR -> log.error(effect.text)
                    LogLevel.INFO -> log.info(effect.text)
                    LogLevel.DEBUG -> log.debug(effect.text)
                }
            }
        }
    }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
        const val TICK_MILLIS = 100L
        const val METRICS_INTERVAL_NANOS = 60_000_000_000L
        const val TRAINING_MILLIS = 2_000L

        /**
         * Idle time after which a connection may be reclaimed, in heartbeat intervals. A live worker sends a heartbeat at least every 1.25
         * intervals.
         */
        const val RECLAIM_AFTER_INTERVALS = 1.5
    }
}
