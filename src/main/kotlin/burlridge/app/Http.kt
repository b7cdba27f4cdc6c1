package burlridge.app

import io.ktor.http.cio.HttpHeadersMap
import io.ktor.http.cio.Request
import io.ktor.http.cio.decodeChunked
import io.ktor.http.cio.parseRequest
import io.ktor.http.cio.parseResponse
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.plus
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.readByteArray
import org.slf4j.LoggerFactory
import java.io.IOException

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
    private val loop: EventLoop,
    private val budget: ConnectionBudget,
    patienceS: Double,
    private val handle: (Input.Request) -> Unit,
) {
    private class Waiting(
        val since: Long,
        val answer: (Answer) -> Unit,
    )

    private val log = LoggerFactory.getLogger("burlridge")
    private var nextId = 1L
    private val waiting = LinkedHashMap<Long, Waiting>()
    private val guests = Guests<Connection>(budget.guests, budget.crowded, patienceS)
    private val heads = ArrayDeque<KnownHead>()
    private var shutOut = 0L
    private var fullToldAt = 0L
    val open: Int get() = guests.size

    /** Whether there is a place for one more; at the limit whoever can best be spared makes room. */
    private fun admit(): Boolean {
        if (!guests.isFull) return true
        val leaver = guests.spare(seconds())
        if (leaver != null) {
            guests.leave(leaver)
            leaver.close()
            shutOut++
        }
        val now = System.nanoTime()
        if (fullToldAt == 0L || now - fullToldAt > TELL_NS) {
            fullToldAt = now
            log.info("connections are short: {} open from outside, {} idle ones closed for newcomers so far", guests.size, shutOut)
        }
        return leaver != null
    }

    private fun seconds() = System.nanoTime() / NS_A_S

    fun answer(effect: Effect.Answer) {
        waiting.remove(effect.id)?.answer?.invoke(Answer(effect.status, effect.body, effect.retryAfterS))
    }

    /** The core answers everything in time; should it ever not, the other side still gets a final word. */
    fun sweep() {
        val now = System.nanoTime()
        while (true) {
            val (id, oldest) = waiting.entries.firstOrNull() ?: return
            if (now - oldest.since < HANDLE_NS) return
            waiting.remove(id)
            oldest.answer(Answer.unavailable("no answer in time"))
        }
    }

    fun serve(
        at: Endpoint,
        scope: CoroutineScope,
    ) {
        Connection.listen(loop, scope, at, budget.backlog, ::admit) {
            guests.enter(it, seconds())
            Session(scope)
        }
    }

    private inner class Session(
        private val scope: CoroutineScope,
    ) : Connection.Handler {
        override fun takeWhole(
            connection: Connection,
            bytes: ByteArray,
        ): Boolean = takesAsItComes(connection, bytes, scope)

        override suspend fun serve(connection: Connection) = connection(connection)

        override fun ended(connection: Connection) = guests.leave(connection)
    }

    private suspend fun connection(connection: Connection) {
        while (true) {
            val request = parseRequest(connection.input) ?: return
            try {
                guests.asks(connection)
                val uri = request.uri.toString()
                val asked = request.headers["Connection"]?.contains("close", ignoreCase = true) == true
                val body = readBody(request.headers, connection.input, MOST_BODY)
                if (body == null) {
                    write(connection, Answer.error(400, "the body is longer than $MOST_BODY bytes"), true)
                    return
                }
                val deferred = CompletableDeferred<Answer>()
                val id = nextId++
                val since = System.nanoTime()
                waiting[id] = Waiting(since, deferred::complete)
                handle(Input.Request(id, request.method.value, uri.substringBefore('?'), uri.substringAfter('?', ""), body))
                val answer = deferred.await()
                val ms = (System.nanoTime() - since) / NS_A_MS
                if (ms > SLOW_MS ||
                    answer.status >= SERVER_ERROR
                ) {
                    log.debug("{} {}: {} after {} ms", request.method.value, uri, answer.status, ms)
                }
                guests.answered(connection, seconds())
                // A worker loses nothing by connecting anew for its next report; a user's request might cross the close.
                val close = asked || (guests.isCrowded && uri == WORKER_PATH)
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
        val head = connection.opening?.let { KnownHead.of(it, request.method.value, uri, size) } ?: return
        if (heads.size == MOST_HEADS) heads.removeFirst()
        heads.addLast(head)
    }

    private fun takesAsItComes(
        connection: Connection,
        bytes: ByteArray,
        scope: CoroutineScope,
    ): Boolean {
        for (head in heads) {
            val at = head.bodyAt(bytes)
            if (at < 0 || bytes.size - at > MOST_BODY) continue
            guests.asks(connection)
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
        answer: Answer,
        scope: CoroutineScope,
    ) {
        guests.answered(connection, seconds())
        val close = guests.isCrowded && uri == WORKER_PATH
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
        answer: Answer,
        close: Boolean,
    ) = connection.write(bytesOf(answer, close))

    private fun bytesOf(
        answer: Answer,
        close: Boolean,
    ): ByteArray {
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
        return head.encodeToByteArray() + body
    }

    private companion object {
        const val MOST_BODY = 64 * 1024
        const val WORKER_PATH = "/agent/beat"

        /** What is asked again and again with the same head. */
        val REPEATED = setOf(WORKER_PATH, "/ready", "/api/jobs")
        const val MOST_HEADS = 4
        const val NS_A_S = 1e9
        const val TELL_NS = 10_000_000_000L
        const val HANDLE_NS = 4_000_000_000L
        const val NS_A_MS = 1_000_000
        const val SLOW_MS = 100
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

/** Calls outside systems over kept connections, one request at a time on each. */
internal class HttpClient(
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    mostAtOnce: Int,
    private val mostKept: Int,
    /** Who is never kept waiting by calls to the others, which are many. */
    private val first: Set<Endpoint>,
    /** Whose answers come before all bulk work. */
    private val urgent: Endpoint? = null,
) {
    private val urgentScope = scope + loop.urgent
    private val permits = Semaphore(mostAtOnce)

    /** Least lately used first, over all targets. */
    private val idle = LinkedHashSet<Link>()
    private val idleAt = HashMap<Endpoint, ArrayDeque<Link>>()

    private class Link(
        val target: Endpoint,
        val connection: Connection,
    )

    suspend fun call(effect: Effect.Call): Outcome {
        if (effect.target in first) return callNow(effect)
        // Hundreds of machines that hang must not take all sockets; a call that waited in vain was never sent.
        if (!permits.tryAcquire()) withTimeoutOrNull((effect.timeoutS * 1000).toLong()) { permits.acquire() } ?: return Outcome.NotSent
        return try {
            callNow(effect)
        } finally {
            permits.release()
        }
    }

    private suspend fun callNow(effect: Effect.Call): Outcome {
        val timeoutMs = (effect.timeoutS * 1000).toLong()
        val link =
            kept(effect.target) ?: withTimeoutOrNull(minOf(timeoutMs, CONNECT_MS)) { connect(effect.target) } ?: return Outcome.NotSent
        val outcome =
            try {
                withTimeoutOrNull(timeoutMs) { exchange(link, effect) }
            } catch (e: CancellationException) {
                link.connection.close()
                throw e
            } catch (_: Exception) {
                null
            }
        if (outcome == null) link.connection.close()
        return outcome ?: Outcome.Unknown
    }

    private fun kept(target: Endpoint): Link? {
        val links = idleAt[target] ?: return null
        while (true) {
            val link = links.removeLastOrNull()
            if (links.isEmpty()) idleAt.remove(target)
            if (link == null) return null
            idle.remove(link)
            if (!link.connection.closed) return link
            link.connection.close()
        }
    }

    private suspend fun connect(target: Endpoint): Link? =
        try {
            Link(target, Connection.connect(loop, if (target == urgent) urgentScope else scope, target))
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
        link.connection.write(if (body == null) head else head + body)
        val response = parseResponse(link.connection.input) ?: return null
        try {
            val text = readBody(response.headers, link.connection.input, MOST_RESPONSE) ?: return null
            if (response.headers["Connection"]?.contains("close", ignoreCase = true) == true) {
                link.connection.close()
            } else {
                keep(link)
            }
            return Outcome.Answered(response.status, text)
        } finally {
            response.release()
        }
    }

    private fun keep(link: Link) {
        idle.add(link)
        idleAt.getOrPut(link.target) { ArrayDeque() }.addLast(link)
        if (idle.size > mostKept) drop(idle.first())
    }

    private fun drop(link: Link) {
        idle.remove(link)
        idleAt[link.target]?.let {
            it.remove(link)
            if (it.isEmpty()) idleAt.remove(link.target)
        }
        link.connection.close()
    }

    private companion object {
        const val CONNECT_MS = 1_000L
        const val MOST_RESPONSE = 8 * 1024 * 1024
    }
}
