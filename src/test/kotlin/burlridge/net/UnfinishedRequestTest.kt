package burlridge.net

import burlridge.core.Effect
import burlridge.settings.Endpoint
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

/** Guards against requests that end a controller without ever being complete: their parts together used up the heap. */
internal class UnfinishedRequestTest {
    private val loop = EventLoop()
    private val budget = ReceiveBudget(BUDGET_BYTES)
    private val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
    private val sockets = ArrayList<Socket>()

    init {
        lateinit var server: HttpServer
        server =
            HttpServer(loop, ConnectionBudget(CONNECTIONS), 60.0, budget) {
                server.respond(Effect.Respond(it.id, 200, "${it.body.length}", null))
            }
        server.serve(Endpoint("127.0.0.1", port), CoroutineScope(loop + SupervisorJob()))
        thread(isDaemon = true) { loop.run() }
    }

    @AfterEach
    fun stop() {
        sockets.forEach { it.close() }
        loop.stop()
    }

    private fun send(text: String): Socket =
        Socket(InetAddress.getLoopbackAddress(), port).also {
            it.soTimeout = TIMEOUT_MILLIS
            sockets += it
            it.getOutputStream().write(text.encodeToByteArray())
        }

    /** The status and body of the next response; the server closes the connection after it, or the request demands it. */
    private fun Socket.response(): String =
        getInputStream().readBytes().decodeToString().let {
            it.substring(9, 12) + " " +
                it.substringAfter("\r\n\r\n")
        }

    private fun part(bytes: Int) = "POST /api/jobs HTTP/1.1\r\nContent-Length: 65536\r\n\r\n" + "x".repeat(bytes)

    private fun awaitHeld(condition: (Long) -> Boolean) {
        val deadline = System.nanoTime() + TIMEOUT_MILLIS * 1_000_000L
        while (!condition(budget.usedBytes)) check(System.nanoTime() < deadline) { "${budget.usedBytes} bytes are held" }
    }

    @Test
    fun `parts beyond the budget get a final answer, and what is complete is answered meanwhile and afterwards`() {
        val waiting = List(3) { send(part(50_000)) }
        awaitHeld { it > 150_000 }
        val refused = send(part(60_000))
        assertEquals("503 {\"error\":\"too many requests are incomplete\"}", refused.response())
        assertTrue(budget.usedBytes <= BUDGET_BYTES)
        assertEquals("200 2", send("POST /api/jobs HTTP/1.1\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}").response())
        waiting.forEach { it.getOutputStream().write("x".repeat(15_536).encodeToByteArray()) }
        awaitHeld { it == 0L }
        waiting.forEach { it.close() }
        assertEquals("200 65536", send(part(65_536).replaceFirst("\r\n", "\r\nConnection: close\r\n")).response())
        awaitHeld { it == 0L }
    }

    @Test
    fun `a head without end is refused`() {
        val socket = send("GET /ready HTTP/1.1\r\n")
        val headers = "x: ${"y".repeat(1_000)}\r\n".repeat(100).encodeToByteArray()
        var isOpen = true
        repeat(10) { if (isOpen) isOpen = runCatching { socket.getOutputStream().write(headers) }.isSuccess }
        awaitHeld { it == 0L }
        assertTrue(
            runCatching { socket.getInputStream().readBytes().decodeToString() }.getOrDefault("400").let { "400" in it || "503" in it },
        )
    }

    @Test
    fun `a body in tiny chunks is accepted`() {
        val body = "1\r\nx\r\n".repeat(20_000) + "0\r\n\r\n"
        val socket = send("POST /api/jobs HTTP/1.1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n$body")
        assertEquals("200 20000", socket.response())
    }

    @Test
    fun `bytes of the next request stay counted when one is complete`() {
        val held = HeldBytes(ReceiveLimit(budget, 100))
        assertNull(held.add(40))
        assertNull(held.add(30))
        held.onMessageCompleted(hasUnread = true)
        assertEquals(70, budget.usedBytes)
        assertEquals(ReceiveRefusal.TOO_LONG, held.add(31))
        assertNull(held.add(20))
        held.onMessageCompleted(hasUnread = true)
        assertEquals(50, budget.usedBytes)
        held.releaseAll()
        held.releaseAll()
        assertEquals(0, budget.usedBytes)
    }

    private companion object {
        const val BUDGET_BYTES = 200_000L
        const val CONNECTIONS = 100
        const val TIMEOUT_MILLIS = 10_000
    }
}
