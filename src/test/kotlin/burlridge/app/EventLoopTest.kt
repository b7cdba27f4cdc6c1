package burlridge.app

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

internal class EventLoopTest {
    /** Guards the leader's lease: its renewal and the answer to it waited behind hundreds of reports, and a slow leader passed for dead. */
    @Test
    fun `urgent work and timers do not wait for all that is due`() {
        val loop = EventLoop()
        val scope = CoroutineScope(loop)
        val order = ArrayList<String>()
        scope.launch {
            delay(1)
            order += "timer"
        }
        repeat(500) { i ->
            scope.launch {
                order += "bulk"
                if (i == 3) scope.launch(loop.urgent) { order += "urgent" }
                // So that the timer's millisecond is over before all is done, whatever the machine.
                if (i == 5) System.nanoTime().let { from -> while (System.nanoTime() - from < 2_000_000) Unit }
            }
        }
        scope.launch { loop.stop() }
        loop.run()
        assertEquals(4, order.indexOf("urgent"))
        assertTrue(order.indexOf("timer") in 6..100, "the timer came after ${order.indexOf("timer")} others")
        assertEquals(502, order.size)
    }
}
