package burlridge.failover

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

internal class RequestGateTest {
    private val gate = RequestGate()
    private val results = ArrayList<Int>()

    @Test
    fun `a result closes the gate before it is passed on`() {
        val complete = gate.begin<Int> { if (!gate.isOpen) results += it }
        assertTrue(gate.isOpen)
        complete(1)
        assertEquals(listOf(1), results)
        assertFalse(gate.isOpen)
    }

    /** Guards what was read anew since: the result of a request from before must neither be applied nor let a second one through. */
    @Test
    fun `a result from before a reset is dropped`() {
        val stale = gate.begin<Int> { results += it }
        gate.reset()
        assertFalse(gate.isOpen)
        val current = gate.begin<Int> { results += it }
        stale(1)
        assertTrue(gate.isOpen)
        current(2)
        assertEquals(listOf(2), results)
    }
}
