package burlridge.net

import burlridge.core.CallOutcome
import burlridge.core.Effect
import burlridge.settings.Endpoint
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.yield
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread

internal class EventLoopTest {
    /**
     * Guards against the loss of the leader's lease: its renewal and the response to that waited behind hundreds of heartbeats, and a slow
     * leader was considered dead.
     */
    @Test
    fun `urgent work and timers run before the queued work is finished`() {
        val loop = EventLoop()
        val scope = CoroutineScope(loop)
        val order = ArrayList<String>()
        scope.launch {
            delay(1)
            order += "timer"
        }
        repeat(500) { i ->
            scope.launch {
                order += "bulk"
                if (i == 3) scope.launch(loop.urgentDispatcher) { order += "urgent" }
                // Ensures that the timer's millisecond passes before all work is done, however fast the machine.
                if (i == 5) System.nanoTime().let { from -> while (System.nanoTime() - from < 2_000_000) Unit }
            }
        }
        scope.launch { loop.stop() }
        loop.run()
        assertEquals(4, order.indexOf("urgent"))
        assertTrue(order.indexOf("timer") in 6..100, "the timer came after ${order.indexOf("timer")} others")
        assertEquals(502, order.size)
    }

    /** Guards against a live worker considered unreachable: its response arrived in time, but this process was too slow to read it. */
    @Test
    fun `a response that arrived in time is accepted even if it is read after the timeout`() {
        val loop = EventLoop()
        val scope = CoroutineScope(loop)
        val received = CountDownLatch(1)
        val loopBlocked = CountDownLatch(1)
        val responseSent = CountDownLatch(1)
        var outcome: CallOutcome? = null
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
            thread(isDaemon = true) {
                server.accept().use { socket ->
                    socket.getInputStream().read()
                    received.countDown()
                    loopBlocked.await()
                    socket.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}".encodeToByteArray())
                    responseSent.countDown()
                    socket.getInputStream().readAllBytes()
                }
            }
            val client = HttpClient(loop, scope, 1, 1, emptySet())
            val target = Endpoint("127.0.0.1", server.localPort)
            scope.launch {
                launch {
                    outcome = client.call(Effect.HttpCall(1, target, "GET", "/", null, TIMEOUT_SECONDS))
                    loop.stop()
                }
                // Blocks the loop once the request is sent, until the response has arrived and the timeout has passed.
                while (received.count > 0) yield()
                loopBlocked.countDown()
                responseSent.await()
                System.nanoTime().let { from -> while (System.nanoTime() - from < TIMEOUT_SECONDS * 1e9) Unit }
            }
            loop.run()
        }
        assertEquals(CallOutcome.Responded(200, "{}"), outcome)
    }

    /** Guards the deadline check before sending: a call can pass its deadline while it waits for a permit or the process is paused. */
    @Test
    fun `a call past its send deadline is never written`() {
        val loop = EventLoop()
        val scope = CoroutineScope(loop)
        var late: CallOutcome? = null
        var timely: CallOutcome? = null
        val written = ArrayList<String>()
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
            thread(isDaemon = true) {
                server.accept().use { socket ->
                    val lines = socket.getInputStream().bufferedReader()
                    while (true) {
                        val line = lines.readLine() ?: break
                        if (line.startsWith("GET")) written += line
                        if (line.isEmpty()) {
                            socket.getOutputStream().write(
                                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}".encodeToByteArray(),
                            )
                        }
                    }
                }
            }
            val client = HttpClient(loop, scope, 1, 1, emptySet())
            val target = Endpoint("127.0.0.1", server.localPort)
            val now = System.nanoTime() / 1e9
            scope.launch {
                late = client.call(Effect.HttpCall(1, target, "GET", "/late", null, LONG_SECONDS, sendDeadline = now - 1))
                timely = client.call(Effect.HttpCall(2, target, "GET", "/in-time", null, LONG_SECONDS, sendDeadline = now + LONG_SECONDS))
                loop.stop()
            }
            loop.run()
        }
        assertEquals(CallOutcome.NotSent, late)
        assertEquals(CallOutcome.Responded(200, "{}"), timely)
        assertEquals(listOf("GET /in-time HTTP/1.1"), written)
    }

    private companion object {
        const val LONG_SECONDS = 30.0
        const val TIMEOUT_SECONDS = 0.2
    }
}
