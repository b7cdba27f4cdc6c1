package burlridge.worker

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

/** A report is taken for the last one only where nothing but its number differs. */
internal class LastHeartbeatTest {
    private fun report(
        sequence: String,
        baton: Int = 41,
        pieces: String = """[{"piece":"j-1/0","try":1,"standing":"running"}]""",
    ) = """{"drover":"m-1","stint":1,"tally":$sequence,"baton":$baton,"recallS":null,"pieces":$pieces}"""

    private val last = LastHeartbeat.of(report("99"), 99)

    @Test
    fun `the same under a later number says nothing new`() {
        assertEquals(100L, last?.sequenceIfUnchanged(report("100")))
        assertEquals(7L, last?.sequenceIfUnchanged(report("7")))
    }

    @Test
    fun `whatever else differs is read`() {
        assertNull(last?.sequenceIfUnchanged(report("100", baton = 42)))
        assertNull(last?.sequenceIfUnchanged(report("100", pieces = "[]")))
        assertNull(last?.sequenceIfUnchanged(report("100").replace("running", "runninG")))
        assertNull(last?.sequenceIfUnchanged(report("100").replace("m-1", "m-2")))
        assertNull(last?.sequenceIfUnchanged(report("100") + " "))
        assertNull(last?.sequenceIfUnchanged(report("100").dropLast(1)))
    }

    @Test
    fun `a number that is none, or too long, is read`() {
        assertNull(last?.sequenceIfUnchanged(report("")))
        assertNull(last?.sequenceIfUnchanged(report("-1")))
        assertNull(last?.sequenceIfUnchanged(report("1.5")))
        assertNull(last?.sequenceIfUnchanged(report("1e3")))
        assertNull(last?.sequenceIfUnchanged(report("9".repeat(19))))
    }

    /** Guards the place of the number: another field of that name must not be taken for it. */
    @Test
    fun `only a number that was read as the message's own counts`() {
        assertNull(LastHeartbeat.of("""{"drover":"m-1","other":{"tally":5},"tally":99}""", 99))
        assertNull(LastHeartbeat.of("""{"drover":"m-1","tally" : 99}""", 99))
        assertNotNull(LastHeartbeat.of(report("99"), 99))
    }

    @Test
    fun `a name is found only at its usual place`() {
        assertEquals("m-1", LastHeartbeat.machineIdIn(report("1")))
        assertNull(LastHeartbeat.machineIdIn("""{"stint":1,"drover":"m-1"}"""))
        assertNull(LastHeartbeat.machineIdIn("""{"drover":"m-1"""))
    }
}
