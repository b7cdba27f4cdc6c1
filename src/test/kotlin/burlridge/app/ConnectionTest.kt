package burlridge.app

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.launch
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.Random
import kotlin.concurrent.thread

/**
 * A request whose head is known is taken without the parser. Whatever comes, and in whatever pieces, the answers must be those that
 * the parser's way gives: here the same bytes are sent to a server that knows the heads and to one that has only just started.
 */
internal class ConnectionTest {
    private val loops = ArrayList<EventLoop>()

    /** A server that tells each request back, a moment later, so that answers could overtake one another. */
    private fun server(): Int {
        val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
        val loop = EventLoop().also { loops += it }
        val scope = CoroutineScope(loop + SupervisorJob())
        lateinit var server: HttpServer
        server =
            HttpServer(loop, ConnectionBudget(100), 60.0) { request ->
                scope.launch {
                    server.answer(Effect.Answer(request.id, 200, "${request.method} ${request.path} ${request.body}", null))
                }
            }
        server.serve(Endpoint("127.0.0.1", port), scope)
        thread(isDaemon = true) { loop.run() }
        return port
    }

    @AfterEach
    fun stop() = loops.forEach { it.stop() }

    /** Sends [parts] one by one and returns all that is answered until the server closes, which the last request asks for. */
    private fun exchange(
        port: Int,
        parts: List<ByteArray>,
    ): String =
        Socket(InetAddress.getLoopbackAddress(), port).use { socket ->
            socket.soTimeout = TIMEOUT_MS
            socket.tcpNoDelay = true
            parts.forEach {
                socket.getOutputStream().write(it)
                socket.getOutputStream().flush()
            }
            socket.getInputStream().readBytes().decodeToString()
        }

    private fun request(
        body: String,
        path: String = "/agent/beat",
        length: String = "${body.length}",
        extra: String = "",
    ) = "POST $path HTTP/1.1\r\nHost: a:1\r\n${extra}Content-Length: $length\r\n\r\n$body"

    private fun chunked(body: String) =
        "POST /agent/beat HTTP/1.1\r\nHost: a:1\r\nTransfer-Encoding: chunked\r\n\r\n" +
            "${body.length.toString(16)}\r\n$body\r\n0\r\n\r\n".takeIf { body.isNotEmpty() }.orEmpty() +
            "0\r\n\r\n".takeIf { body.isEmpty() }.orEmpty()

    private val last = request("bye", extra = "Connection: close\r\n")

    private fun pieces(
        text: String,
        random: Random,
    ): List<ByteArray> {
        val bytes = text.encodeToByteArray()
        val cuts = List(random.nextInt(4)) { random.nextInt(bytes.size) }.sorted()
        return (listOf(0) + cuts + bytes.size).zipWithNext { from, to -> bytes.copyOfRange(from, to) }.filter { it.isNotEmpty() }
    }

    private fun streams(random: Random): List<String> {
        val body = "x".repeat(random.nextInt(2000))
        return listOf(
            request(body) + last,
            request(body) + request("b", path = "/other") + request("c") + last,
            request("b", path = "/other") + request(body) + last,
            chunked(body) + request(body) + last,
            request(body).replace("Host:", "host:") + request(body, extra = "X: y\r\n") + last,
            request("", length = "0") + last,
        )
    }

    @Test
    fun `known heads change no answer`() {
        val random = Random(7)
        val knowing = server()
        val learnt = exchange(knowing, listOf(request("{}").encodeToByteArray(), last.encodeToByteArray()))
        assertEquals(2, learnt.split("HTTP/1.1 200").size - 1)
        repeat(ROUNDS) { round ->
            streams(random).forEachIndexed { i, stream ->
                val parts = pieces(stream, random)
                assertEquals(exchange(server(), parts), exchange(knowing, parts), "round $round, stream $i")
            }
        }
    }

    /** Sent whole and last, since the server closes without reading on. */
    @Test
    fun `what is malformed is never taken by a known head`() {
        val knowing = server()
        exchange(knowing, listOf(request("{}").encodeToByteArray(), last.encodeToByteArray()))
        val malformed =
            listOf(
                request("{}", length = "1x"),
                request("{}", extra = "Content-Length: 3\r\n", length = "2"),
                "POST /agent/beat\r\n\r\n",
                "POST  /agent/beat HTTP/1.1\r\nHost\r\n\r\n",
                "\u0000\u0001\r\n\r\n",
            )
        for (bytes in malformed) {
            val parts = listOf(bytes.encodeToByteArray() + last.encodeToByteArray())
            assertEquals(exchange(server(), parts), exchange(knowing, parts), bytes)
        }
    }

    /** Guards the order of answers: a request that was taken whole is answered before the next one is read. */
    @Test
    fun `answers keep the order of their requests`() {
        val knowing = server()
        exchange(knowing, listOf(request("{}").encodeToByteArray(), last.encodeToByteArray()))
        val all = exchange(knowing, List(20) { request("$it").encodeToByteArray() } + last.encodeToByteArray())
        val order = Regex("beat (\\d+|bye)(?=HTTP|$)").findAll(all).map { it.groupValues[1] }.toList()
        assertEquals(List(20) { "$it" } + "bye", order)
    }

    private companion object {
        const val TIMEOUT_MS = 10_000
        const val ROUNDS = 8
    }
}
