package burlridge.worker

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

/** A heartbeat counts as unchanged only if nothing but its sequence number differs from the previous one. */
internal class LastHeartbeatTest {
    private fun heartbeat(
        sequence: String,
        token: Int = 41,
        tasks: String = """[{"piece":"j-1/0","try":1,"standing":"running"}]""",
    ) = """{"drover":"m-1","stint":1,"tally":$sequence,"baton":$token,"recallS":null,"pieces":$tasks}"""

    private val previous = LastHeartbeat.of(heartbeat("99"), 99)

    @Test
    fun `a heartbeat with only another sequence number is unchanged`() {
        assertEquals(100L, previous?.sequenceIfUnchanged(heartbeat("100")))
        assertEquals(7L, previous?.sequenceIfUnchanged(heartbeat("7")))
    }

    @Test
    fun `a heartbeat with any other difference must be decoded`() {
        assertNull(previous?.sequenceIfUnchanged(heartbeat("100", token = 42)))
        assertNull(previous?.sequenceIfUnchanged(heartbeat("100", tasks = "[]")))
        assertNull(previous?.sequenceIfUnchanged(heartbeat("100").replace("running", "runninG")))
        assertNull(previous?.sequenceIfUnchanged(heartbeat("100").replace("m-1", "m-2")))
        assertNull(previous?.sequenceIfUnchanged(heartbeat("100") + " "))
        assertNull(previous?.sequenceIfUnchanged(heartbeat("100").dropLast(1)))
    }

    @Test
    fun `a heartbeat with an invalid or too long sequence number must be decoded`() {
        assertNull(previous?.sequenceIfUnchanged(heartbeat("")))
        assertNull(previous?.sequenceIfUnchanged(heartbeat("-1")))
        assertNull(previous?.sequenceIfUnchanged(heartbeat("1.5")))
        assertNull(previous?.sequenceIfUnchanged(heartbeat("1e3")))
        assertNull(previous?.sequenceIfUnchanged(heartbeat("9".repeat(19))))
    }

    /** Guards against using a nested field of the same name as the sequence number of the heartbeat. */
    @Test
    fun `a heartbeat is remembered only if its own sequence number is found`() {
        assertNull(LastHeartbeat.of("""{"drover":"m-1","other":{"tally":5},"tally":99}""", 99))
        assertNull(LastHeartbeat.of("""{"drover":"m-1","tally" : 99}""", 99))
        assertNotNull(LastHeartbeat.of(heartbeat("99"), 99))
    }

    @Test
    fun `the machine id is found only at the start of a heartbeat`() {
        assertEquals("m-1", LastHeartbeat.machineIdIn(heartbeat("1")))
        assertNull(LastHeartbeat.machineIdIn("""{"stint":1,"drover":"m-1"}"""))
        assertNull(LastHeartbeat.machineIdIn("""{"drover":"m-1"""))
    }
}
