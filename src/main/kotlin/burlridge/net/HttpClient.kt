package burlridge.net

import burlridge.core.CallOutcome
import burlridge.core.Effect
import burlridge.settings.Endpoint
import io.ktor.http.cio.parseResponse
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.plus
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.withTimeoutOrNull

/** HTTP client with a pool of persistent connections, each used for one request at a time. */
internal class HttpClient(
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    maxConcurrent: Int,
    private val maxIdle: Int,
    /** Targets whose calls do not count towards the limit on concurrent calls. */
    private val unlimitedTargets: Set<Endpoint>,
    /** Target whose responses are processed before all other work of the event loop; null for none. */
    private val urgentTarget: Endpoint? = null,
) {
    /** For the few [unlimitedTargets], whose answers may be long. */
    private val serviceLimit = ReceiveLimit(ReceiveBudget.ofHeap(SERVICE_HEAP_SHARE), MAX_RESPONSE_BYTES + MAX_HEAD_BYTES)

    /** Workers are many, and whoever reports as one is called at the address that it gives. */
    private val workerLimit = ReceiveLimit(ReceiveBudget.ofHeap(), MAX_WORKER_RESPONSE_BYTES + MAX_HEAD_BYTES)

    private val urgentScope = scope + loop.urgentDispatcher
    private val permits = Semaphore(maxConcurrent)

    /** Idle connections to all targets, the least recently used first. */
    private val idle = LinkedHashSet<PooledConnection>()
    private val idleByTarget = HashMap<Endpoint, ArrayDeque<PooledConnection>>()

    private class PooledConnection(
        val target: Endpoint,
        val connection: Connection,
    )

    /** Makes the call of [effect] and returns its outcome; throws nothing but cancellation. */
    suspend fun call(effect: Effect.HttpCall): CallOutcome {
        if (effect.target in unlimitedTargets) return sendAndReceive(effect)
        // Calls to hundreds of hung machines must not use up all sockets. A call that got no permit in time was never sent.
        if (!permits.tryAcquire()) {
            withTimeoutOrNull((effect.timeoutSeconds * MILLIS_PER_SECOND).toLong()) { permits.acquire() }
                ?: return CallOutcome.NotSent
        }
        return try {
            sendAndReceive(effect)
        } finally {
            permits.release()
        }
    }

    private suspend fun sendAndReceive(effect: Effect.HttpCall): CallOutcome {
        val timeoutMillis = (effect.timeoutSeconds * MILLIS_PER_SECOND).toLong()
        val pooled =
            takeIdle(effect.target) ?: withTimeoutOrNull(minOf(timeoutMillis, CONNECT_TIMEOUT_MILLIS)) { connect(effect.target) }
                ?: return CallOutcome.NotSent
        val outcome =
            try {
                withTimeoutOrNull(timeoutMillis) { exchange(pooled, effect) }
            } catch (e: CancellationException) {
                pooled.connection.close()
                throw e
            } catch (_: Exception) {
                // Ktor's parser throws exceptions of several types on malformed input; as with a reset, the outcome is unknown.
                null
            }
        if (outcome == null) pooled.connection.close()
        return outcome ?: CallOutcome.Unknown
    }

    private fun takeIdle(target: Endpoint): PooledConnection? {
        val connections = idleByTarget[target] ?: return null
        while (true) {
            val pooled = connections.removeLastOrNull()
            if (connections.isEmpty()) idleByTarget.remove(target)
            if (pooled == null) return null
            idle.remove(pooled)
            if (!pooled.connection.isClosed) return pooled
            pooled.connection.close()
        }
    }

    private suspend fun connect(target: Endpoint): PooledConnection? =
        try {
            val limit = if (target in unlimitedTargets) serviceLimit else workerLimit
            PooledConnection(target, Connection.connect(loop, if (target == urgentTarget) urgentScope else scope, target, limit))
        } catch (e: CancellationException) {
            throw e
        } catch (_: Exception) {
            // Worker addresses are external input, and the exception for an address that cannot be resolved is not an IOException.
            null
        }

    private suspend fun exchange(
        pooled: PooledConnection,
        effect: Effect.HttpCall,
    ): CallOutcome? {
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
        if (isPastDeadline(effect)) {
            // The call waited for a permit or a connection, or the process was paused: the decision behind it may no longer be valid.
            returnToPool(pooled)
            return CallOutcome.NotSent
        }
        pooled.connection.write(if (body == null) head else head + body)
        val response = parseResponse(pooled.connection.input) ?: return null
        try {
            val bytes = readBody(response.headers, pooled.connection.input, MAX_RESPONSE_BYTES) ?: return null
            val text = decodeUtf8OrNull(bytes) ?: return null
            pooled.connection.messageCompleted()
            if (response.headers["Connection"]?.contains("close", ignoreCase = true) == true) {
                pooled.connection.close()
            } else {
                returnToPool(pooled)
            }
            return CallOutcome.Responded(response.status, text)
        } finally {
            response.release()
        }
    }

    private fun isPastDeadline(effect: Effect.HttpCall) = effect.sendDeadline < System.nanoTime() / NANOS_PER_SECOND

    private fun returnToPool(pooled: PooledConnection) {
        idle.add(pooled)
        idleByTarget.getOrPut(pooled.target) { ArrayDeque() }.addLast(pooled)
        if (idle.size > maxIdle) evict(idle.first())
    }

    private fun evict(pooled: PooledConnection) {
        idle.remove(pooled)
        idleByTarget[pooled.target]?.let {
            it.remove(pooled)
            if (it.isEmpty()) idleByTarget.remove(pooled.target)
        }
        pooled.connection.close()
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000
        const val CONNECT_TIMEOUT_MILLIS = 1_000L
        const val NANOS_PER_SECOND = 1e9
        const val MAX_RESPONSE_BYTES = 8 * 1024 * 1024
        const val SERVICE_HEAP_SHARE = 0.25

        /** A worker answers with its report, which lists all its tasks. */
        const val MAX_WORKER_RESPONSE_BYTES = 1024 * 1024
        const val MAX_HEAD_BYTES = 64 * 1024
    }
}
