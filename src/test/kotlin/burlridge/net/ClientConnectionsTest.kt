package burlridge.net

import burlridge.core.CallOutcome
import burlridge.core.Effect
import burlridge.settings.Endpoint
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.launch
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.ServerSocket

internal class ClientConnectionsTest {
    /** Guards against a controller that runs out of sockets when there are 1.5 times as many machines as it may have connections. */
    @Test
    fun `the shares of the connection budget add up to less than the limit`() {
        for (limit in listOf(100, 1729, 1919, 2000)) {
            val budget = ConnectionBudget(limit)
            assertTrue(budget.maxClients + budget.backlog + budget.maxCalls + budget.maxIdle < limit * 0.98, "of $limit: $budget")
            assertTrue(budget.clientSoftLimit < budget.maxClients)
        }
    }

    @Test
    fun `only the longest idle connection can be reclaimed, and none that is busy or was used recently`() {
        val clients = ClientConnections<String>(maxOpen = 4, softLimit = 2, reclaimAfterSeconds = 9.0)
        listOf("dead", "worker", "probe").forEach {
            clients.onOpened(it, 0.0)
            clients.onRequest(it)
        }
        clients.onResponse("dead", 1.0)
        clients.onResponse("worker", 7.0)
        clients.onOpened("new", 8.0)
        assertTrue(clients.isFull)
        assertNull(clients.reclaimable(9.5))
        assertEquals("dead", clients.reclaimable(10.5))
        clients.onClosed("dead")
        // The worker's next heartbeat may arrive at any moment, and the probe awaits its response.
        assertNull(clients.reclaimable(15.5))
        assertEquals("worker", clients.reclaimable(16.5))
        clients.onRequest("worker")
        assertEquals("new", clients.reclaimable(17.5))
    }

    /** Three times as many workers as the limit on connections, over loopback: each is answered in every round, within the limit. */
    @Test
    fun `all heartbeats are answered when there are more workers than connections`() {
        val loop = EventLoop()
        val scope = CoroutineScope(loop + SupervisorJob())
        val budget = ConnectionBudget(64)
        val endpoint = Endpoint("127.0.0.1", ServerSocket(0).use { it.localPort })
        var maxOpen = 0
        lateinit var server: HttpServer
        server =
            HttpServer(loop, budget, 9.0) {
                maxOpen = maxOf(maxOpen, server.openConnections)
                server.respond(Effect.Respond(it.id, if (it.path == "/agent/beat") 200 else 404, "{}", null))
            }
        server.serve(endpoint, scope)
        val workers = List(WORKERS) { HttpClient(loop, scope, 1, 1, emptySet()) }
        var responses = 0
        scope.launch {
            repeat(ROUNDS) { round ->
                // No more at once than the backlog holds; each keeps its connection for the next round unless the server closes it.
                workers.withIndex().chunked(budget.backlog).forEach { group ->
                    group
                        .map { (i, worker) ->
                            async { worker.call(Effect.HttpCall(round * WORKERS + i.toLong(), endpoint, "POST", "/agent/beat", "{}", 5.0)) }
                        }.awaitAll()
                        .forEach { if (it is CallOutcome.Responded && it.status == 200) responses++ }
                }
            }
            loop.stop()
        }
        loop.run()
        assertEquals(ROUNDS * WORKERS, responses)
        assertTrue(server.openConnections <= budget.maxClients, "${server.openConnections} stay open")
        assertTrue(maxOpen <= budget.maxClients, "$maxOpen at once")
    }

    private companion object {
        const val WORKERS = 192
        const val ROUNDS = 3
    }
}
