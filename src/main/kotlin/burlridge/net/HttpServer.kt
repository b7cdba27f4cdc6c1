package burlridge.net

import burlridge.core.Effect
import burlridge.core.HttpResponse
import burlridge.core.HttpStatus
import burlridge.core.Input
import burlridge.settings.Endpoint
import io.ktor.http.cio.Request
import io.ktor.http.cio.parseRequest
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import java.io.IOException

/** HTTP server for users, workers, operators and health checks: every request becomes an [Input.Request] that the core responds to. */
internal class HttpServer(
    private val loop: EventLoop,
    private val budget: ConnectionBudget,
    reclaimAfterSeconds: Double,
    receiveBudget: ReceiveBudget = ReceiveBudget.ofHeap(),
    private val handle: (Input.Request) -> Unit,
) {
    private class PendingRequest(
        val receivedAtNanos: Long,
        val respond: (HttpResponse) -> Unit,
    )

    private val log = LoggerFactory.getLogger("burlridge")
    private var nextId = 1L
    private val pending = LinkedHashMap<Long, PendingRequest>()
    private val clients = ClientConnections<Connection>(budget.maxClients, budget.clientSoftLimit, reclaimAfterSeconds)
    private val knownHeads = KnownRequestHeads()
    private val receiveLimit = ReceiveLimit(receiveBudget, MAX_REQUEST_BYTES)
    private val unfinished = UnfinishedMessages(REQUEST_TIMEOUT_NANOS)
    private var reclaimedConnections = 0L
    private var limitLoggedAtNanos = 0L
    private var refusedRequests = 0L
    private var refusalLoggedAtNanos = 0L

    /** Number of open connections from clients. */
    val openConnections: Int get() = clients.size

    /** Returns whether one more connection may be accepted; at the limit, closes the one idle longest if that may be reclaimed. */
    private fun admit(): Boolean {
        if (!clients.isFull) return true
        val longestIdle = clients.reclaimable(nowSeconds())
        if (longestIdle != null) {
            clients.onClosed(longestIdle)
            longestIdle.close()
            reclaimedConnections++
        }
        val now = System.nanoTime()
        if (limitLoggedAtNanos == 0L || now - limitLoggedAtNanos > LIMIT_LOG_INTERVAL_NANOS) {
            limitLoggedAtNanos = now
            log.info("connection limit reached open={} idleClosed={}", clients.size, reclaimedConnections)
        }
        return longestIdle != null
    }

    private fun nowSeconds() = System.nanoTime() / NANOS_PER_SECOND

    /** Sends the response of [effect]; ignores it if the request has timed out or was answered already. */
    fun respond(effect: Effect.Respond) {
        val response = HttpResponse(effect.status, effect.body, effect.retryAfterSeconds, effect.sendDeadline)
        pending.remove(effect.id)?.respond?.invoke(response)
    }

    /** Refuses the requests that have been incomplete for longer than a client waits for an answer. */
    fun refuseUnfinished() = unfinished.removeExpired(System.nanoTime()).forEach { it.refuse(ReceiveRefusal.TOO_SLOW) }

    /** Answers the requests that the core has not answered within [PENDING_TIMEOUT_NANOS] with a 503; there should never be any. */
    fun expirePending() {
        val now = System.nanoTime()
        while (true) {
            val (id, oldest) = pending.entries.firstOrNull() ?: return
            if (now - oldest.receivedAtNanos < PENDING_TIMEOUT_NANOS) return
            pending.remove(id)
            oldest.respond(HttpResponse.unavailable("no answer in time"))
        }
    }

    /** Listens on [endpoint] for as long as the loop runs. */
    fun serve(
        endpoint: Endpoint,
        scope: CoroutineScope,
    ) {
        ConnectionListener.listen(loop, scope, endpoint, budget.backlog, receiveLimit, ::admit) {
            clients.onOpened(it, nowSeconds())
            Session(scope)
        }
    }

    private inner class Session(
        private val scope: CoroutineScope,
    ) : Connection.Handler {
        override fun tryHandle(
            connection: Connection,
            bytes: ByteArray,
        ): Boolean = handleWithoutParser(connection, bytes, scope)

        override suspend fun serve(connection: Connection) = serveWithParser(connection)

        override fun onPartRead(connection: Connection) = unfinished.onPartRead(connection, System.nanoTime())

        override fun onRefused(
            connection: Connection,
            refusal: ReceiveRefusal,
        ) = refuse(connection, refusal)

        override fun onClosed(connection: Connection) {
            unfinished.onEnded(connection)
            clients.onClosed(connection)
        }
    }

    /** Sends the final answer to a request that is not received to its end, as far as the socket takes it, and closes the connection. */
    private fun refuse(
        connection: Connection,
        refusal: ReceiveRefusal,
    ) {
        refusedRequests++
        if (refusalLoggedAtNanos == 0L || System.nanoTime() - refusalLoggedAtNanos > LIMIT_LOG_INTERVAL_NANOS) {
            refusalLoggedAtNanos = System.nanoTime()
            log.info("unfinished request refused reason={} total={} heldBytes={}", refusal, refusedRequests, receiveLimit.budget.usedBytes)
        }
        val response =
            when (refusal) {
                ReceiveRefusal.TOO_LONG -> HttpResponse.error(HttpStatus.BAD_REQUEST, "the request is longer than $MAX_REQUEST_BYTES bytes")
                ReceiveRefusal.BUDGET_EXHAUSTED -> HttpResponse.unavailable("too many requests are incomplete")
                ReceiveRefusal.TOO_SLOW -> HttpResponse.error(HttpStatus.REQUEST_TIMEOUT, "the request was not complete in time")
            }
        try {
            connection.tryWrite(HttpResponseEncoder.encode(response, nowSeconds(), close = true))
        } catch (_: IOException) {
            // The client has gone.
        }
        connection.close()
    }

    private suspend fun serveWithParser(connection: Connection) {
        while (true) {
            val request = parseRequest(connection.input) ?: return
            try {
                clients.onRequest(connection)
                val uri = request.uri.toString()
                val closeRequested = request.headers["Connection"]?.contains("close", ignoreCase = true) == true
                val bytes = readBody(request.headers, connection.input, MAX_BODY_BYTES)
                if (bytes == null) {
                    write(connection, HttpResponse.error(HttpStatus.BAD_REQUEST, "the body is longer than $MAX_BODY_BYTES bytes"), true)
                    return
                }
                val body = decodeUtf8OrNull(bytes)
                if (body == null) {
                    write(connection, HttpResponse.error(HttpStatus.BAD_REQUEST, "the body is not UTF-8"), true)
                    return
                }
                unfinished.onEnded(connection)
                connection.onRequestRead()
                val pendingResponse = CompletableDeferred<HttpResponse>()
                val id = nextId++
                val receivedAtNanos = System.nanoTime()
                pending[id] = PendingRequest(receivedAtNanos, pendingResponse::complete)
                handle(Input.Request(id, request.method.value, uri.substringBefore('?'), uri.substringAfter('?', ""), body))
                val response = pendingResponse.await()
                logIfNotable(request, uri, response.status, receivedAtNanos)
                clients.onResponse(connection, nowSeconds())
                // A worker can reconnect for its next heartbeat at no loss; a user might send a request just as the connection is closed.
                val close = closeRequested || (clients.isAboveSoftLimit && uri == WORKER_PATH)
                if (uri in FREQUENT_PATHS) knownHeads.add(connection.requestBytes, request, uri)
                connection.messageCompleted()
                write(connection, response, close)
                if (close) return
                connection.onResponse()
            } finally {
                request.release()
            }
        }
    }

    private fun logIfNotable(
        request: Request,
        uri: String,
        status: Int,
        receivedAtNanos: Long,
    ) {
        val elapsedMillis = (System.nanoTime() - receivedAtNanos) / NANOS_PER_MILLI
        if (elapsedMillis <= SLOW_REQUEST_MILLIS && status < FIRST_SERVER_ERROR_STATUS) return
        log.debug("request slow or failed method={} uri={} status={} millis={}", request.method.value, uri, status, elapsedMillis)
    }

    /** Handles [bytes] without parsing if they are one complete request with a known head; otherwise returns false. */
    private fun handleWithoutParser(
        connection: Connection,
        bytes: ByteArray,
        scope: CoroutineScope,
    ): Boolean {
        val (head, bodyOffset) = knownHeads.match(bytes, MAX_BODY_BYTES) ?: return false
        // The parser's path answers it.
        val body = decodeUtf8OrNull(bytes, bodyOffset) ?: return false
        clients.onRequest(connection)
        val id = nextId++
        pending[id] = PendingRequest(System.nanoTime()) { sendResponse(connection, head.uri, it, scope) }
        handle(Input.Request(id, head.method, head.uri, "", body))
        return true
    }

    private fun sendResponse(
        connection: Connection,
        uri: String,
        response: HttpResponse,
        scope: CoroutineScope,
    ) {
        clients.onResponse(connection, nowSeconds())
        val close = clients.isAboveSoftLimit && uri == WORKER_PATH
        val unwritten =
            try {
                connection.tryWrite(HttpResponseEncoder.encode(response, nowSeconds(), close))
            } catch (_: IOException) {
                return connection.close()
            }
        if (unwritten == null) onWritten(connection, close) else scope.launch { writeUnwritten(connection, unwritten, close) }
    }

    private suspend fun writeUnwritten(
        connection: Connection,
        unwritten: ByteArray,
        close: Boolean,
    ) {
        try {
            connection.write(unwritten)
            onWritten(connection, close)
        } catch (_: IOException) {
            connection.close()
        }
    }

    private fun onWritten(
        connection: Connection,
        close: Boolean,
    ) {
        if (close) connection.close() else connection.onResponse()
    }

    private suspend fun write(
        connection: Connection,
        response: HttpResponse,
        close: Boolean,
    ) = connection.write(HttpResponseEncoder.encode(response, nowSeconds(), close))

    private companion object {
        const val MAX_BODY_BYTES = 64 * 1024

        /** Length of a request as received: room for a head and for the framing of a body in small chunks. */
        const val MAX_REQUEST_BYTES = 4 * MAX_BODY_BYTES

        /** Users wait this long for an answer, workers less. */
        const val REQUEST_TIMEOUT_NANOS = 5_000_000_000L
        const val WORKER_PATH = "/agent/beat"

        /** Paths that are requested frequently with identical heads. */
        val FREQUENT_PATHS = setOf(WORKER_PATH, "/ready", "/api/jobs")
        const val NANOS_PER_SECOND = 1e9
        const val LIMIT_LOG_INTERVAL_NANOS = 10_000_000_000L
        const val PENDING_TIMEOUT_NANOS = 4_000_000_000L
        const val NANOS_PER_MILLI = 1_000_000
        const val SLOW_REQUEST_MILLIS = 100
        const val FIRST_SERVER_ERROR_STATUS = 500
    }
}
