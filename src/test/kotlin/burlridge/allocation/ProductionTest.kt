package burlridge.allocation

import burlridge.balance.Drain
import burlridge.balance.MoveBatch
import burlridge.job.JobSpecCodec
import burlridge.json.Json
import burlridge.leadership.LeaderRow
import burlridge.leadership.TermRow
import burlridge.message.PeerMessage
import burlridge.store.Row
import org.junit.jupiter.api.Assertions.assertArrayEquals
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.HexFormat

/**
 * Compatibility with the version in production, whose rows and messages are kept in `src/test/resources/production` (see the README.md
 * there): they are read, and those of job arrays are written back identically.
 */
internal class ProductionTest {
    private fun lines(name: String): List<String> =
        checkNotNull(javaClass.getResource("/production/$name")).readText().lines().filter { it.isNotEmpty() }

    private fun rowsOf(
        file: String,
        prefix: String,
    ): List<Row> =
        lines(file)
            .map { Json.parse(it) }
            .map { Row(it.path("key").asText(), it.path("value"), it.path("stamp").asLong()) }
            .filter { it.key.startsWith(prefix) }
            .also { assertTrue(it.isNotEmpty()) }

    private fun rows(prefix: String): List<Row> = rowsOf("rows.jsonl", prefix)

    @Test
    fun `an active row of a job array from production is read, and written back byte for byte`() {
        for (row in rows("live/")) {
            val spec = JobSpecCodec.decode(row.value.path("job"))
            assertEquals(row.value.path("fp").asText(), spec.fingerprint)
            assertEquals(Json.write(row.value.path("job")), Json.write(JobSpecCodec.encode(spec)))
            assertEquals(row.value.path("fp").asText(), JobRowCodec.activeFingerprint(row))
            assertEquals(Json.write(row.value), Json.write(JobRowCodec.encodeActive(JobRowCodec.decodeActive(row))))
        }
    }

    @Test
    fun `a finished job row from production is read, and written back byte for byte`() {
        for (row in rows("over/")) {
            val finished = checkNotNull(JobRowCodec.decodeFinished(row))
            assertEquals(Json.write(row.value), Json.write(JobRowCodec.encodeFinished(finished)))
        }
    }

    @Test
    fun `a batch row from production is read, and written back byte for byte`() {
        for (row in rows("round/")) {
            val batch = AllocationBatchCodec.decode(row)
            assertTrue(batch.allocations.size > 100)
            val written = AllocationBatchCodec.encode(batch, row.value.path("tok").asLong(), row.value.path("until").asLong())
            assertEquals(Json.write(row.value), Json.write(written))
        }
    }

    @Test
    fun `a progress row from production is read, and written back identically if the value limit allows it`() {
        val row = rows("prog/").single()
        val large = ProgressCodec(8 * 1024)
        val done = checkNotNull(large.decode(row))
        assertEquals(ProgressCodec.TASKS_PER_ROW, done.cardinality())
        val range = large.rangeOf(job(40_000), 5)
        assertEquals(row.key, range.key)
        assertEquals(Json.write(row.value), Json.write(large.encode(done, range)))
    }

    /** Covers progress rows under the announced limits: the old form is too large, and production must not misread the new form. */
    @Test
    fun `with a smaller value limit, progress rows have a form that production ignores`() {
        val small = ProgressCodec(2 * 1024)
        val done = java.util.BitSet().apply { set(0, 40_000) }
        val read = java.util.BitSet()
        var task = 0
        while (task < 40_000) {
            val range = small.rangeOf(job(40_000), task)
            val value = small.encode(done, range)
            assertTrue(Json.write(value).length <= 2 * 1024, "${Json.write(value).length} bytes")
            assertNull(range.key.substringAfterLast('/').toIntOrNull(), "production reads a number as its own chunk")
            read.or(checkNotNull(small.decode(Row(range.key, value, 1))))
            task = range.end
        }
        assertEquals(done, read)
        assertEquals("prog/j-000090/0", small.rangeOf(job(500), 3).key)
    }

    private fun job(tasks: Int): Job {
        val body = rows("live/").first().value.path("job")
        return Job(JobSpecCodec.decode(body).copy(id = "j-000090", taskCount = tasks), 1, 0)
    }

    @Test
    fun `every message from production is read, and written back byte for byte`() {
        for (line in lines("messages.txt")) {
            val (hex, expectedText) = line.split("  ", limit = 2)
            val bytes = HexFormat.of().parseHex(hex)
            val message = PeerMessage.decode(bytes)
            // A field that a later version adds is missing from messages of production, and printed as null.
            assertEquals(expectedText, ABSENT_FIELDS.fold(message.toString()) { text, absent -> text.replace(absent, "") })
            ABSENT_FIELDS.forEach { assertEquals(message is PeerMessage.Status, it in message.toString()) }
            assertArrayEquals(bytes, PeerMessage.encode(message))
        }
    }

    /**
     * Covers connections between members: the version in production closes a connection on which a message of an unknown kind arrives, so
     * it must be sent none; this version keeps the connection open.
     */
    @Test
    fun `a message of an unknown kind decodes to null, and an unknown field is ignored`() {
        val known = HexFormat.of().parseHex(lines("messages.txt").last().substringBefore(' '))
        val unknownKind = known.clone().also { it[2] = 'z'.code.toByte() }
        assertNull(PeerMessage.decodeOrNull(unknownKind))
        // Field 9 of the message itself, a number.
        val withUnknownField = known.clone().also { it[4] = (it[4] + 2).toByte() } + byteArrayOf(0x48, 0x01)
        assertEquals(PeerMessage.decode(known), PeerMessage.decodeOrNull(withUnknownField))
    }

    @Test
    fun `rows of drains and moves are read, and written back byte for byte`() {
        for (row in failoverRows("drain/")) assertEquals(Json.write(row.value), Json.write(checkNotNull(Drain.decode(row)).encode()))
        for (row in failoverRows("move/")) assertEquals(Json.write(row.value), Json.write(checkNotNull(MoveBatch.decode(row)).encode()))
    }

    @Test
    fun `a term row with a history names the former leaders`() {
        for (row in failoverRows("term")) {
            assertTrue(row.value.path("led").size() >= 2)
            assertTrue(row.value.path("by").isTextual)
            row.value.path("led").forEach { assertTrue(it.isIntegralNumber) }
        }
    }

    @Test
    fun `a term row is read, and written back byte for byte`() {
        val all = rows("term") + failoverRows("term")
        assertTrue(all.size >= 3)
        for (row in all) {
            val term = TermRow.decode(row.value)
            assertTrue(term.term > 0)
            assertNotNull(term.leader)
            assertNotNull(term.formerLeaders)
            assertEquals(Json.write(row.value), Json.write(term.encode()))
        }
    }

    @Test
    fun `a leader row from production is read, and written back byte for byte`() {
        for (row in rows("leader")) {
            val leader = LeaderRow.decode(row.value)
            assertEquals(LeaderRow("drover-0", 1), leader)
            assertEquals(Json.write(row.value), Json.write(leader.encode()))
        }
    }

    /** Covers the bound on how long former leaders may answer workers: if a row does not name them, any member may have led. */
    @Test
    fun `a term row without former leaders differs from one whose list of former leaders is empty`() {
        val withoutList = TermRow.decode(Json.parse("""{"n":4,"by":"drover-0"}"""))
        val withEmptyList = TermRow.decode(Json.parse("""{"n":4,"by":"drover-0","led":{}}"""))
        assertNull(withoutList.formerLeaders)
        assertEquals(emptyMap<String, Long>(), withEmptyList.formerLeaders)
        assertEquals("""{"n":4,"by":"drover-0"}""", Json.write(withoutList.encode()))
        assertEquals("""{"n":4,"by":"drover-0","led":{}}""", Json.write(withEmptyList.encode()))
    }

    @Test
    fun `failover messages are read, and written back byte for byte`() {
        for (line in lines("messages-failover.txt")) {
            val bytes = HexFormat.of().parseHex(line.substringBefore("  "))
            val message = PeerMessage.decode(bytes)
            assertTrue(message is PeerMessage.Handover || (message as? PeerMessage.Status)?.failover != null, line)
            assertArrayEquals(bytes, PeerMessage.encode(message))
        }
    }

    private fun failoverRows(prefix: String): List<Row> = rowsOf("rows-failover-balance.jsonl", prefix)

    private companion object {
        val ABSENT_FIELDS = listOf(", failover=null", ", build=null")
    }

    @Test
    fun `finished job rows and term rows from production have the fields that this version reads`() {
        rows("over/").forEach { row -> assertTrue(JobState.entries.any { it.wireName == row.value.path("st").asText() }) }
        rows("term").forEach { row -> assertTrue(row.value.path("n").isIntegralNumber && row.value.path("led").isObject) }
    }
}
