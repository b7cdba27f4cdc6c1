package burlridge.net

import burlridge.core.Effect
import burlridge.core.Input
import burlridge.settings.Endpoint
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.Random
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread

/**
 * Requests with a known head bypass the parser. Whatever bytes are received, and however they are split, the responses must be the same as
 * with the parser: the tests send the same bytes to a server with a known head and to a new one, which has none yet.
 */
internal class ConnectionTest {
    private val loops = ArrayList<EventLoop>()

    private fun server(handle: (HttpServer, Input.Request) -> Unit): Int {
        val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
        val loop = EventLoop().also { loops += it }
        lateinit var server: HttpServer
        server = HttpServer(loop, ConnectionBudget(100), 60.0) { handle(server, it) }
        server.serve(Endpoint("127.0.0.1", port), CoroutineScope(loop + SupervisorJob()))
        thread(isDaemon = true) { loop.run() }
        return port
    }

    /** Starts a server that responds with the method, path and body of each request; returns its port. */
    private fun echoServer(): Int =
        server { server, request ->
            server.respond(Effect.Respond(request.id, 200, "${request.method} ${request.path} ${request.body}", null))
        }

    @AfterEach
    fun stop() = loops.forEach { it.stop() }

    /** Sends [parts] one by one; returns everything received until the server closes the connection, as the last request demands. */
    private fun exchange(
        port: Int,
        parts: List<ByteArray>,
    ): String =
        Socket(InetAddress.getLoopbackAddress(), port).use { socket ->
            socket.soTimeout = TIMEOUT_MILLIS
            socket.tcpNoDelay = true
            parts.forEach {
                socket.getOutputStream().write(it)
                socket.getOutputStream().flush()
            }
            socket.getInputStream().readBytes().decodeToString()
        }

    /** Sends one plain request on a separate connection, so that the server knows its head from then on; returns [port]. */
    private fun withKnownHead(port: Int): Int {
        Socket(InetAddress.getLoopbackAddress(), port).use { socket ->
            socket.soTimeout = TIMEOUT_MILLIS
            socket.getOutputStream().write(request("{}").encodeToByteArray())
            val response = StringBuilder()
            while (!response.endsWith("{}")) response.append(socket.getInputStream().read().toChar())
        }
        return port
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

    private val closingRequest = request("bye", extra = "Connection: close\r\n")

    private fun splitRandomly(
        text: String,
        random: Random,
    ): List<ByteArray> {
        val bytes = text.encodeToByteArray()
        val offsets = List(random.nextInt(4)) { random.nextInt(bytes.size) }.sorted()
        return (listOf(0) + offsets + bytes.size).zipWithNext { from, to -> bytes.copyOfRange(from, to) }.filter { it.isNotEmpty() }
    }

    private fun requestStreams(random: Random): List<String> {
        val body = "x".repeat(random.nextInt(2000))
        return listOf(
            request(body) + closingRequest,
            request(body) + request("b", path = "/other") + request("c") + closingRequest,
            request("b", path = "/other") + request(body) + closingRequest,
            chunked(body) + request(body) + closingRequest,
            request(body).replace("Host:", "host:") + request(body, extra = "X: y\r\n") + closingRequest,
            request("", length = "0") + closingRequest,
        )
    }

    @Test
    fun `a known head does not change any response`() {
        val random = Random(7)
        val serverWithKnownHead = withKnownHead(echoServer())
        repeat(ROUNDS) { round ->
            requestStreams(random).forEachIndexed { i, stream ->
                val parts = splitRandomly(stream, random)
                assertEquals(exchange(echoServer(), parts), exchange(serverWithKnownHead, parts), "round $round, stream $i")
            }
        }
    }

    /** Each malformed request is sent in one write with the closing request, since the server closes without reading further. */
    @Test
    fun `a malformed request never matches a known head`() {
        val serverWithKnownHead = withKnownHead(echoServer())
        val malformed =
            listOf(
                request("{}", length = "1x"),
                request("{}", extra = "Content-Length: 3\r\n", length = "2"),
                "POST /agent/beat\r\n\r\n",
                "POST  /agent/beat HTTP/1.1\r\nHost\r\n\r\n",
                "\u0000\u0001\r\n\r\n",
            )
        for (bytes in malformed) {
            val parts = listOf(bytes.encodeToByteArray() + closingRequest.encodeToByteArray())
            assertEquals(exchange(echoServer(), parts), exchange(serverWithKnownHead, parts), bytes)
        }
    }

    /** Guards against a job that is accepted with another text than was sent: invalid bytes would become replacement characters. */
    @Test
    fun `a body that is not UTF-8 is refused, and a replacement character that was sent is not`() {
        val serverWithKnownHead = withKnownHead(echoServer())
        val invalid = request("{?}", extra = "Connection: close\r\n").toByteArray(Charsets.ISO_8859_1)
        for ((byte, other) in listOf(0xc3 to '}', 0xff to '!', 0xed to 'x')) {
            invalid[invalid.lastIndex - 1] = byte.toByte()
            invalid[invalid.lastIndex] = other.code.toByte()
            for (port in listOf(echoServer(), serverWithKnownHead)) {
                assertEquals("""{"error":"the body is not UTF-8"}""", exchange(port, listOf(invalid)).substringAfter("\r\n\r\n"))
            }
        }
        val valid = "{\ufffd}".encodeToByteArray()
        val head =
            "POST /agent/beat HTTP/1.1\r\nHost: a:1\r\nConnection: close\r\nContent-Length: ${valid.size}\r\n\r\n"
                .encodeToByteArray()
        assertEquals("POST /agent/beat {\ufffd}", exchange(serverWithKnownHead, listOf(head + valid)).substringAfter("\r\n\r\n"))
    }

    /** Guards against responses out of order: a request that bypassed the parser must be answered before the next one is read. */
    @Test
    fun `responses are sent in the order of the requests`() {
        val handled = CountDownLatch(1)
        var slowId = 0L
        val port =
            server { server, request ->
                if (request.body == "slow") slowId = request.id
                if (request.path == "/release") server.respond(Effect.Respond(slowId, 200, "slow", null))
                if (request.body == "slow") handled.countDown() else server.respond(Effect.Respond(request.id, 200, request.body, null))
            }
        withKnownHead(port)
        Socket(InetAddress.getLoopbackAddress(), port).use { socket ->
            socket.soTimeout = TIMEOUT_MILLIS
            socket.getOutputStream().write(request("slow").encodeToByteArray())
            handled.await()
            socket.getOutputStream().write((request("next") + closingRequest).encodeToByteArray())
            // Read after the bytes sent before it on the other connection; the slow request is answered only then.
            exchange(port, listOf(request("release", path = "/release", extra = "Connection: close\r\n").encodeToByteArray()))
            val responses = socket.getInputStream().readBytes().decodeToString()
            assertEquals(listOf("slow", "next", "bye"), Regex("slow|next|bye").findAll(responses).map { it.value }.toList())
        }
    }

    private companion object {
        const val TIMEOUT_MILLIS = 10_000
        const val ROUNDS = 8
    }
}
