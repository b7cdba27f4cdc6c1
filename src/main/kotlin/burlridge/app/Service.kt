package burlridge.app

import burlridge.peer.PeerLinks
import burlridge.peer.PeerMessage
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import java.util.concurrent.Executors

/** The thin shell: one thread steps the core and carries out its effects, another waits for sockets. */
internal class Service(
    settings: Settings,
) {
    private val log = LoggerFactory.getLogger("burlridge")
    private val controller = Controller(settings, System.nanoTime())
    private val selector = SelectorManager(Executors.newSingleThreadExecutor { Thread(it, "selector") }.asCoroutineDispatcher())
    private val client = HttpClient(selector)
    private val server = HttpServer(selector) { request, _ -> step(request) }
    private val peers = PeerLinks(settings, selector) { step(Input.FromPeer(it)) }
    private val serveOn = settings.serveOn
    private val metrics = Metrics()
    private var metricsAt = 0L
    private lateinit var scope: CoroutineScope

    fun run() {
        runBlocking {
            scope = this
            peers.start(this)
            launch { server.serve(serveOn, scope) }
            while (true) {
                step(Input.Tick)
                logMetrics()
                delay(TICK_MS)
            }
        }
    }

    private fun logMetrics() {
        if (System.nanoTime() - metricsAt < METRICS_NS) return
        metricsAt = System.nanoTime()
        log.debug("metrics: {}", metrics.line())
    }

    /** A short life with itself as state service, cloud and worker, so that every path of I/O is walked once. */
    fun rehearse() {
        runBlocking {
            scope = this
            peers.start(this)
            launch { server.serve(serveOn, scope) }
            withTimeoutOrNull(REHEARSAL_MS) {
                while (true) {
                    step(Input.Tick)
                    Rehearsal.calls(serveOn).forEach { client.call(it) }
                    peers.send(
                        "rehearsal",
                        PeerMessage.Status("drover-0", 1, "drover-0", leading = false, answering = false, storeServed = true),
                    )
                    delay(TICK_MS)
                }
            }
            coroutineContext.cancelChildren()
        }
    }

    private fun step(input: Input) {
        metrics.stepped(input)
        controller.step(input, System.nanoTime() / 1e9, System.currentTimeMillis()).forEach(::carryOut)
    }

    private fun carryOut(effect: Effect) {
        metrics.carriedOut(effect)
        when (effect) {
            is Effect.Answer -> {
                server.answer(effect)
            }

            is Effect.Call -> {
                scope.launch { step(Input.CallDone(effect.call, client.call(effect))) }
            }

            is Effect.Send -> {
                peers.send(effect.member, effect.message)
            }

            is Effect.Log -> {
                when (effect.level) {
                    Level.ERROR -> log.error(effect.text)
                    Level.INFO -> log.info(effect.text)
                    Level.DEBUG -> log.debug(effect.text)
                }
            }
        }
    }

    private companion object {
        const val TICK_MS = 100L
        const val METRICS_NS = 60_000_000_000L
        const val REHEARSAL_MS = 2_000L
    }
}
