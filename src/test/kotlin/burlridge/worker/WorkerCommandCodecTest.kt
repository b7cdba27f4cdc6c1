package burlridge.worker

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Pins the exact JSON text sent to workers. */
internal class WorkerCommandCodecTest {
    private val commands =
        listOf(
            WorkerCommand.Stop("j-000377/1", 1, graceSeconds = 10.0),
            WorkerCommand.Start("j-000412/4", 2),
            WorkerCommand.Remove("j-000398/0", 1),
        )
    private val commandsJson =
        """"orders":[{"verb":"halt","piece":"j-000377/1","try":1,"windDownS":10.0},{"verb":"run","piece":"j-000412/4","try":2},""" +
            """{"verb":"reap","piece":"j-000398/0","try":1}]}"""

    @Test
    fun `the response to a heartbeat contains the token and the commands in order`() {
        assertEquals("""{"baton":41,$commandsJson""", WorkerCommandCodec.response(41, commands))
        assertEquals("""{"baton":41,"orders":[]}""", WorkerCommandCodec.response(41, emptyList()))
    }

    @Test
    fun `a direct request also contains the agent epoch`() {
        assertEquals("""{"baton":41,"stint":3,$commandsJson""", WorkerCommandCodec.request(41, 3, commands))
        assertEquals("""{"baton":41,"stint":3,"orders":[]}""", WorkerCommandCodec.request(41, 3, emptyList()))
    }

    /** The name of an orphaned task comes from the worker and may contain any character. */
    @Test
    fun `task names are escaped`() {
        assertEquals(
            """{"baton":1,"orders":[{"verb":"halt","piece":"a\"}/\\","try":1,"windDownS":0.0}]}""",
            WorkerCommandCodec.response(1, listOf(WorkerCommand.Stop("a\"}/\\", 1, 0.0))),
        )
    }
}
