package burlridge.net

import burlridge.core.Effect
import burlridge.core.HttpResponse
import burlridge.core.Input
import burlridge.settings.Endpoint
import io.ktor.http.cio.Request
import io.ktor.http.cio.parseRequest
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import java.io.IOException

/** Serves users, workers and health checks; every request becomes an input and waits for the core's answer. */
internal class HttpServer(
    private val loop: EventLoop,
    private val budget: ConnectionBudget,
    reclaimAfterSeconds: Double,
    private val handle: (Input.Request) -> Unit,
) {
    private class Waiting(
        val since: Long,
        val answer: (HttpResponse) -> Unit,
    )

    private val log = LoggerFactory.getLogger("burlridge")
    private var nextId = 1L
    private val waiting = LinkedHashMap<Long, Waiting>()
    private val clients = ClientConnections<Connection>(budget.clients, budget.crowded, reclaimAfterSeconds)
    private val knownHeads = ArrayDeque<RequestHead>()
    private var reclaimed = 0L
    private var fullLoggedAt = 0L
    val open: Int get() = clients.size

    /** Whether there is a place for one more; at the limit whoever can best be spared makes room. */
    private fun admit(): Boolean {
        if (!clients.isFull) return true
        val idlest = clients.reclaimable(seconds())
        if (idlest != null) {
            clients.closed(idlest)
            idlest.close()
            reclaimed++
        }
        val now = System.nanoTime()
        if (fullLoggedAt == 0L || now - fullLoggedAt > LOG_INTERVAL_NANOS) {
            fullLoggedAt = now
            log.info("connections are short: {} open from outside, {} idle ones closed for newcomers so far", clients.size, reclaimed)
        }
        return idlest != null
    }

    private fun seconds() = System.nanoTime() / NANOS_PER_SECOND

    fun answer(effect: Effect.Respond) {
        waiting.remove(effect.id)?.answer?.invoke(HttpResponse(effect.status, effect.body, effect.retryAfterSeconds, effect.sendDeadline))
    }

    /** The core answers everything in time; should it ever not, the other side still gets a final word. */
    fun sweep() {
        val now = System.nanoTime()
        while (true) {
            val (id, oldest) = waiting.entries.firstOrNull() ?: return
            if (now - oldest.since < HANDLE_NANOS) return
            waiting.remove(id)
            oldest.answer(HttpResponse.unavailable("no answer in time"))
        }
    }

    fun serve(
        at: Endpoint,
        scope: CoroutineScope,
    ) {
        Connection.listen(loop, scope, at, budget.backlog, ::admit) {
            clients.opened(it, seconds())
            Session(scope)
        }
    }

    private inner class Session(
        private val scope: CoroutineScope,
    ) : Connection.Handler {
        override fun takeWhole(
            connection: Connection,
            bytes: ByteArray,
        ): Boolean = takeWithKnownHead(connection, bytes, scope)

        override suspend fun serve(connection: Connection) = connection(connection)

        override fun ended(connection: Connection) = clients.closed(connection)
    }

    private suspend fun connection(connection: Connection) {
        while (true) {
            val request = parseRequest(connection.input) ?: return
            try {
                clients.requested(connection)
                val uri = request.uri.toString()
                val asked = request.headers["Connection"]?.contains("close", ignoreCase = true) == true
                val body = readBody(request.headers, connection.input, MOST_BODY)
                if (body == null) {
                    write(connection, HttpResponse.error(400, "the body is longer than $MOST_BODY bytes"), true)
                    return
                }
                val deferred = CompletableDeferred<HttpResponse>()
                val id = nextId++
                val since = System.nanoTime()
                waiting[id] = Waiting(since, deferred::complete)
                handle(Input.Request(id, request.method.value, uri.substringBefore('?'), uri.substringAfter('?', ""), body))
                val answer = deferred.await()
                val ms = (System.nanoTime() - since) / NANOS_PER_MILLI
                if (ms > SLOW_MILLIS ||
                    answer.status >= SERVER_ERROR
                ) {
                    log.debug("{} {}: {} after {} ms", request.method.value, uri, answer.status, ms)
                }
                clients.answered(connection, seconds())
                // A worker loses nothing by connecting anew for its next report; a user's request might cross the close.
                val close = asked || (clients.isCrowded && uri == WORKER_PATH)
                if (uri in REPEATED) learn(connection, request, uri)
                connection.between()
                write(connection, answer, close)
                if (close) return
            } finally {
                request.release()
            }
        }
    }

    /** From now on a request with the same head is taken as it comes, on whichever connection. */
    private fun learn(
        connection: Connection,
        request: Request,
        uri: String,
    ) {
        val size =
            request.headers["Content-Length"]
                ?.toString()
                ?.trim()
                ?.toIntOrNull() ?: 0
        val head = connection.opening?.let { RequestHead.of(it, request.method.value, uri, size) } ?: return
        if (knownHeads.size == MOST_HEADS) knownHeads.removeFirst()
        knownHeads.addLast(head)
    }

    private fun takeWithKnownHead(
        connection: Connection,
        bytes: ByteArray,
        scope: CoroutineScope,
    ): Boolean {
        for (head in knownHeads) {
            val at = head.bodyAt(bytes)
            if (at < 0 || bytes.size - at > MOST_BODY) continue
            clients.requested(connection)
            val id = nextId++
            waiting[id] = Waiting(System.nanoTime()) { finish(connection, head.uri, it, scope) }
            handle(Input.Request(id, head.method, head.uri, "", String(bytes, at, bytes.size - at)))
            return true
        }
        return false
    }

    private fun finish(
        connection: Connection,
        uri: String,
        answer: HttpResponse,
        scope: CoroutineScope,
    ) {
        clients.answered(connection, seconds())
        val close = clients.isCrowded && uri == WORKER_PATH
        val rest =
            try {
                connection.tryWrite(bytesOf(answer, close))
            } catch (_: IOException) {
                return connection.close()
            }
        if (rest == null) written(connection, close) else scope.launch { writeRest(connection, rest, close) }
    }

    private suspend fun writeRest(
        connection: Connection,
        rest: ByteArray,
        close: Boolean,
    ) {
        try {
            connection.write(rest)
            written(connection, close)
        } catch (_: IOException) {
            connection.close()
        }
    }

    private fun written(
        connection: Connection,
        close: Boolean,
    ) {
        if (close) connection.close() else connection.answered()
    }

    private suspend fun write(
        connection: Connection,
        answer: HttpResponse,
        close: Boolean,
    ) = connection.write(bytesOf(answer, close))

    /** What goes out for [answer]; where it was decided on too long ago, that it is. */
    private fun bytesOf(
        answer: HttpResponse,
        close: Boolean,
    ): ByteArray {
        if (answer.sendDeadline < seconds()) return bytesOf(HttpResponse.unavailable("answered too late"), close)
        val body = answer.body.encodeToByteArray()
        val head =
            buildString {
                append("HTTP/1.1 ")
                    .append(answer.status)
                    .append(' ')
                    .append(REASONS[answer.status] ?: "Status")
                    .append("\r\n")
                append("Content-Type: application/json\r\nContent-Length: ").append(body.size).append("\r\n")
                answer.retryAfterSeconds?.let { append("Retry-After: ").append(it).append("\r\n") }
                if (close) append("Connection: close\r\n")
                append("\r\n")
            }
        return head.encodeToByteArray() + body
    }

    private companion object {
        const val MOST_BODY = 64 * 1024
        const val WORKER_PATH = "/agent/beat"

        /** What is asked again and again with the same head. */
        val REPEATED = setOf(WORKER_PATH, "/ready", "/api/jobs")
        const val MOST_HEADS = 4
        const val NANOS_PER_SECOND = 1e9
        const val LOG_INTERVAL_NANOS = 10_000_000_000L
        const val HANDLE_NANOS = 4_000_000_000L
        const val NANOS_PER_MILLI = 1_000_000
        const val SLOW_MILLIS = 100
        const val SERVER_ERROR = 500
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
