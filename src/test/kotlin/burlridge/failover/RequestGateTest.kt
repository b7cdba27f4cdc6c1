package burlridge.failover

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

internal class RequestGateTest {
    private val gate = RequestGate()
    private val results = ArrayList<Int>()

    @Test
    fun `a request is no longer in flight when its result is passed on`() {
        val complete = gate.begin<Int> { if (!gate.hasRequestInFlight) results += it }
        assertTrue(gate.hasRequestInFlight)
        complete(1)
        assertEquals(listOf(1), results)
        assertFalse(gate.hasRequestInFlight)
    }

    /**
     * Guards what was read again since the reset: the result of an earlier request must neither be applied nor allow a second request to
     * be in flight.
     */
    @Test
    fun `a result from before a reset is dropped`() {
        val stale = gate.begin<Int> { results += it }
        gate.reset()
        assertFalse(gate.hasRequestInFlight)
        val current = gate.begin<Int> { results += it }
        stale(1)
        assertTrue(gate.hasRequestInFlight)
        current(2)
        assertEquals(listOf(2), results)
    }
}
