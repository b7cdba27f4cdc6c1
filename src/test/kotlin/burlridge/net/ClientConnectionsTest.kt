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
    /** Guards a controller's sockets at half as many machines again as it has connections for. */
    @Test
    fun `the parts of the budget leave room below the limit`() {
        for (most in listOf(100, 1729, 1919, 2000)) {
            val budget = ConnectionBudget(most)
            assertTrue(budget.clients + budget.backlog + budget.commands + budget.kept < most * 0.98, "of $most: $budget")
            assertTrue(budget.crowded < budget.clients)
        }
    }

    @Test
    fun `at the limit the one longest quiet goes, and nobody who waits for an answer or has just come`() {
        val clients = ClientConnections<String>(maxOpen = 4, crowdedAbove = 2, reclaimAfterSeconds = 9.0)
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
        // The worker is due any moment, the probe waits for its answer.
        assertNull(clients.reclaimable(15.5))
        assertEquals("worker", clients.reclaimable(16.5))
        clients.onRequest("worker")
        assertEquals("new", clients.reclaimable(17.5))
    }

    /** Three times as many workers as places, all over loopback: each is answered in every turn, and the places suffice. */
    @Test
    fun `a crowd of workers is answered in full on few connections`() {
        val loop = EventLoop()
        val scope = CoroutineScope(loop + SupervisorJob())
        val budget = ConnectionBudget(64)
        val at = Endpoint("127.0.0.1", ServerSocket(0).use { it.localPort })
        var most = 0
        lateinit var server: HttpServer
        server =
            HttpServer(loop, budget, 9.0) {
                most = maxOf(most, server.open)
                server.respond(Effect.Respond(it.id, if (it.path == "/agent/beat") 200 else 404, "{}", null))
            }
        server.serve(at, scope)
        val workers = List(CROWD) { HttpClient(loop, scope, 1, 1, emptySet()) }
        var answered = 0
        scope.launch {
            repeat(TURNS) { turn ->
                // No more at once than may knock; each keeps its connection for the next turn, if it may.
                workers.withIndex().chunked(budget.backlog).forEach { group ->
                    group
                        .map { (i, worker) ->
                            async { worker.call(Effect.HttpCall(turn * CROWD + i.toLong(), at, "POST", "/agent/beat", "{}", 5.0)) }
                        }.awaitAll()
                        .forEach { if (it is CallOutcome.Responded && it.status == 200) answered++ }
                }
            }
            loop.stop()
        }
        loop.run()
        assertEquals(TURNS * CROWD, answered)
        assertTrue(server.open <= budget.clients, "${server.open} stay open")
        assertTrue(most <= budget.clients, "$most at once")
    }

    private companion object {
        const val CROWD = 192
        const val TURNS = 3
    }
}
