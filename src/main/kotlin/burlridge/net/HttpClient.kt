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

    suspend fun call(effect: Effect.HttpCall): CallOutcome {
        if (effect.target in first) return callNow(effect)
        // Hundreds of machines that hang must not take all sockets; a call that waited in vain was never sent.
        if (!permits.tryAcquire()) {
            withTimeoutOrNull((effect.timeoutSeconds * 1000).toLong()) { permits.acquire() }
                ?: return CallOutcome.NotSent
        }
        return try {
            callNow(effect)
        } finally {
            permits.release()
        }
    }

    private suspend fun callNow(effect: Effect.HttpCall): CallOutcome {
        val timeoutMillis = (effect.timeoutSeconds * 1000).toLong()
        val link =
            kept(effect.target) ?: withTimeoutOrNull(minOf(timeoutMillis, CONNECT_MILLIS)) { connect(effect.target) }
                ?: return CallOutcome.NotSent
        val outcome =
            try {
                withTimeoutOrNull(timeoutMillis) { exchange(link, effect) }
            } catch (e: CancellationException) {
                link.connection.close()
                throw e
            } catch (_: Exception) {
                null
            }
        if (outcome == null) link.connection.close()
        return outcome ?: CallOutcome.Unknown
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
        if (tooLate(effect)) {
            // The call waited for a place or a connection, or the process stood still: whoever decided on it may not do so any more.
            keep(link)
            return CallOutcome.NotSent
        }
        link.connection.write(if (body == null) head else head + body)
        val response = parseResponse(link.connection.input) ?: return null
        try {
            val text = readBody(response.headers, link.connection.input, MOST_RESPONSE) ?: return null
            if (response.headers["Connection"]?.contains("close", ignoreCase = true) == true) {
                link.connection.close()
            } else {
                keep(link)
            }
            return CallOutcome.Responded(response.status, text)
        } finally {
            response.release()
        }
    }

    private fun tooLate(effect: Effect.HttpCall) = effect.sendDeadline < System.nanoTime() / NANOS_PER_SECOND

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
        const val CONNECT_MILLIS = 1_000L
        const val NANOS_PER_SECOND = 1e9
        const val MOST_RESPONSE = 8 * 1024 * 1024
    }
}
