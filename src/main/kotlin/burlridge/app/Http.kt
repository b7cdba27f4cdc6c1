package burlridge.app

import io.ktor.http.cio.HttpHeadersMap
import io.ktor.http.cio.decodeChunked
import io.ktor.http.cio.parseRequest
import io.ktor.http.cio.parseResponse
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readRemaining
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.readByteArray

/** Reads the body that [headers] announce; null when it is longer than [most] bytes. */
private suspend fun readBody(
    headers: HttpHeadersMap,
    input: ByteReadChannel,
    most: Int,
): String? {
    val length = headers["Content-Length"]?.toString()?.trim()?.toLongOrNull()
    val encoding = headers["Transfer-Encoding"]
    return when {
        encoding != null && encoding.contains("chunked", ignoreCase = true) -> {
            coroutineScope {
                val decoded = ByteChannel()
                val decoder =
                    launch {
                        decodeChunked(input, decoded)
                        decoded.flushAndClose()
                    }
                val bytes = decoded.readRemaining(most + 1L).readByteArray()
                if (bytes.size > most) decoder.cancel()
                bytes.takeIf { it.size <= most }?.decodeToString()
            }
        }

        length == null || length == 0L -> {
            ""
        }

        length > most -> {
            null
        }

        else -> {
            input.readByteArray(length.toInt()).decodeToString()
        }
    }
}

/** Serves users, workers and health checks; every request becomes an input and waits for the core's answer. */
internal class HttpServer(
    private val selector: SelectorManager,
    private val handle: (Input.Request, CompletableDeferred<Answer>) -> Unit,
) {
    private var nextId = 1L
    private val waiting = HashMap<Long, CompletableDeferred<Answer>>()

    fun answer(effect: Effect.Answer) {
        waiting.remove(effect.id)?.complete(Answer(effect.status, effect.body, effect.retryAfterS))
    }

    suspend fun serve(
        at: Endpoint,
        scope: CoroutineScope,
    ) {
        val server = aSocket(selector).tcp().bind(InetSocketAddress(at.host, at.port)) { reuseAddress = true }
        while (true) {
            val socket = server.accept()
            scope.launch {
                try {
                    connection(socket)
                } catch (e: CancellationException) {
                    throw e
                } catch (_: Exception) {
                    // The other side went away or sent no HTTP; its connection ends with it.
                } finally {
                    socket.close()
                }
            }
        }
    }

    private suspend fun connection(socket: Socket) {
        val input = socket.openReadChannel()
        val output = socket.openWriteChannel(autoFlush = false)
        while (true) {
            val request = withTimeoutOrNull(IDLE_MS) { parseRequest(input) } ?: return
            try {
                val uri = request.uri.toString()
                val close = request.headers["Connection"]?.contains("close", ignoreCase = true) == true
                val body = readBody(request.headers, input, MOST_BODY)
                if (body == null) {
                    write(output, Answer.error(400, "the body is longer than $MOST_BODY bytes"), true)
                    return
                }
                val deferred = CompletableDeferred<Answer>()
                val id = nextId++
                waiting[id] = deferred
                handle(Input.Request(id, request.method.value, uri.substringBefore('?'), uri.substringAfter('?', ""), body), deferred)
                val answer = withTimeoutOrNull(HANDLE_MS) { deferred.await() } ?: Answer.unavailable("no answer in time")
                waiting.remove(id)
                write(output, answer, close)
                if (close) return
            } finally {
                request.release()
            }
        }
    }

    private suspend fun write(
        output: ByteWriteChannel,
        answer: Answer,
        close: Boolean,
    ) {
        val body = answer.body.encodeToByteArray()
        val head =
            buildString {
                append("HTTP/1.1 ")
                    .append(answer.status)
                    .append(' ')
                    .append(REASONS[answer.status] ?: "Status")
                    .append("\r\n")
                append("Content-Type: application/json\r\nContent-Length: ").append(body.size).append("\r\n")
                answer.retryAfterS?.let { append("Retry-After: ").append(it).append("\r\n") }
                if (close) append("Connection: close\r\n")
                append("\r\n")
            }
        output.writeFully(head.encodeToByteArray() + body)
        output.flush()
    }

    private companion object {
        const val MOST_BODY = 64 * 1024
        const val IDLE_MS = 120_000L
        const val HANDLE_MS = 4_000L
        val REASONS =
            mapOf(
                200 to "OK",
                201 to "Created",
                400 to "Bad Request",
                404 to "Not Found",
                405 to "Method Not Allowed",
                409 to "Conflict",
                421 to "Misdirected Request",
                422 to "Unprocessable Content",
                503 to "Service Unavailable",
            )
    }
}

/** Calls outside systems over kept connections, one request at a time on each. */
internal class HttpClient(
    private val selector: SelectorManager,
) {
    private class Link(
        val socket: Socket,
        val input: ByteReadChannel,
        val output: ByteWriteChannel,
    )

    private val idle = HashMap<Endpoint, ArrayDeque<Link>>()

    suspend fun call(effect: Effect.Call): Outcome {
        val timeoutMs = (effect.timeoutS * 1000).toLong()
        val link =
            kept(effect.target) ?: withTimeoutOrNull(minOf(timeoutMs, CONNECT_MS)) { connect(effect.target) } ?: return Outcome.NotSent
        val outcome =
            try {
                withTimeoutOrNull(timeoutMs) { exchange(link, effect) }
            } catch (e: CancellationException) {
                link.socket.close()
                throw e
            } catch (_: Exception) {
                null
            }
        if (outcome == null) link.socket.close()
        return outcome ?: Outcome.Unknown
    }

    private fun kept(target: Endpoint): Link? {
        val links = idle[target] ?: return null
        while (true) {
            val link = links.removeLastOrNull() ?: return null
            if (!link.input.isClosedForRead) return link
            link.socket.close()
        }
    }

    private suspend fun connect(target: Endpoint): Link? =
        try {
            val socket = aSocket(selector).tcp().connect(InetSocketAddress(target.host, target.port)) { noDelay = true }
            Link(socket, socket.openReadChannel(), socket.openWriteChannel(autoFlush = false))
        } catch (e: CancellationException) {
            throw e
        } catch (_: Exception) {
            null
        }

    private suspend fun exchange(
        link: Link,
        effect: Effect.Call,
    ): Outcome? {
        val body = effect.body?.encodeToByteArray()
        val head =
            buildString {
                append(effect.method)
                    .append(' ')
                    .append(effect.path)
                    .append(" HTTP/1.1\r\nHost: ")
                    .append(effect.target)
                    .append("\r\n")
                if (body != null) append("Content-Type: application/json\r\nContent-Length: ").append(body.size).append("\r\n")
                append("\r\n")
            }.encodeToByteArray()
        link.output.writeFully(if (body == null) head else head + body)
        link.output.flush()
        val response = parseResponse(link.input) ?: return null
        try {
            val text = readBody(response.headers, link.input, MOST_RESPONSE) ?: return null
            if (response.headers["Connection"]?.contains("close", ignoreCase = true) == true) {
                link.socket.close()
            } else {
                keep(effect.target, link)
            }
            return Outcome.Answered(response.status, text)
        } finally {
            response.release()
        }
    }

    private fun keep(
        target: Endpoint,
        link: Link,
    ) {
        val links = idle.getOrPut(target) { ArrayDeque() }
        links.addLast(link)
        if (links.size > MOST_IDLE) links.removeFirst().socket.close()
    }

    private companion object {
        const val CONNECT_MS = 1_000L
        const val MOST_IDLE = 6
        const val MOST_RESPONSE = 8 * 1024 * 1024
    }
}
