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

/** Rows and messages kept from the version in production (see README.md beside them): read, and for arrays written alike. */
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
    fun `a job of production is read, and an array is written byte for byte as it writes it`() {
        for (row in rows("live/")) {
            val spec = JobSpecCodec.decode(row.value.path("job"))
            assertEquals(row.value.path("fp").asText(), spec.fingerprint)
            assertEquals(Json.write(row.value.path("job")), Json.write(JobSpecCodec.encode(spec)))
            assertEquals(row.value.path("fp").asText(), JobRowCodec.activeFingerprint(row))
            assertEquals(Json.write(row.value), Json.write(JobRowCodec.encodeActive(JobRowCodec.decodeActive(row))))
        }
    }

    @Test
    fun `the end of a job of production is read, and written byte for byte as it writes it`() {
        for (row in rows("over/")) {
            val finished = checkNotNull(JobRowCodec.decodeFinished(row))
            assertEquals(Json.write(row.value), Json.write(JobRowCodec.encodeFinished(finished)))
        }
    }

    @Test
    fun `a batch row of production is read, and written byte for byte as it writes it`() {
        for (row in rows("round/")) {
            val batch = AllocationBatchCodec.decode(row)
            assertTrue(batch.allocations.size > 100)
            val written = AllocationBatchCodec.encode(batch, row.value.path("tok").asLong(), row.value.path("until").asLong())
            assertEquals(Json.write(row.value), Json.write(written))
        }
    }

    @Test
    fun `progress of production is read, and written alike where a value holds it`() {
        val row = rows("prog/").single()
        val large = ProgressCodec(8 * 1024)
        val done = assertNotNull(large.decode(row)).let { large.decode(row) } ?: return
        assertEquals(ProgressCodec.TASKS_PER_ROW, done.cardinality())
        val range = large.rangeOf(job(40_000), 5)
        assertEquals(row.key, range.key)
        assertEquals(Json.write(row.value), Json.write(large.encode(done, range)))
    }

    /** Guards progress under the limits to come: rows of the old form are too large, and the old version must not misread the new. */
    @Test
    fun `where values are smaller progress is kept in a form that production passes over`() {
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
        return Job(JobSpecCodec.decode(body).copy(id = "j-000090", tasks = tasks), 1, 0)
    }

    @Test
    fun `every message of production is read, and written byte for byte alike`() {
        for (line in lines("messages.txt")) {
            val (hex, says) = line.split("  ", limit = 2)
            val bytes = HexFormat.of().parseHex(hex)
            val message = PeerMessage.decode(bytes)
            // What this version adds is absent from what production writes, and printed as such.
            assertEquals(says, message.toString().replace(ABSENT_FAILOVER, ""))
            assertEquals(message is PeerMessage.Status, ABSENT_FAILOVER in message.toString())
            assertArrayEquals(bytes, PeerMessage.encode(message))
        }
    }

    /** Guards the links: production ends one on a kind that it does not know, so none is sent; and none ends ours. */
    @Test
    fun `a message of a kind or with a field that is not known yet ends nothing`() {
        val known = HexFormat.of().parseHex(lines("messages.txt").last().substringBefore(' '))
        val kindOfLater = known.clone().also { it[2] = 'z'.code.toByte() }
        assertNull(PeerMessage.decodeOrNull(kindOfLater))
        // Field 9 of the message itself, a number.
        val longer = known.clone().also { it[4] = (it[4] + 2).toByte() } + byteArrayOf(0x48, 0x01)
        assertEquals(PeerMessage.decode(known), PeerMessage.decodeOrNull(longer))
    }

    @Test
    fun `rows of drains and moves are read, and written byte for byte alike`() {
        for (row in laterRows("drain/")) assertEquals(Json.write(row.value), Json.write(checkNotNull(Drain.decode(row)).encode()))
        for (row in laterRows("move/")) assertEquals(Json.write(row.value), Json.write(checkNotNull(MoveBatch.decode(row)).encode()))
    }

    @Test
    fun `a term with a history names those who led before it`() {
        for (row in laterRows("term")) {
            assertTrue(row.value.path("led").size() >= 2)
            assertTrue(row.value.path("by").isTextual)
            row.value.path("led").forEach { assertTrue(it.isIntegralNumber) }
        }
    }

    @Test
    fun `a term is read, and written byte for byte alike`() {
        val all = rows("term") + laterRows("term")
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
    fun `a leader row of production is read, and written byte for byte alike`() {
        for (row in rows("leader")) {
            val leader = LeaderRow.decode(row.value)
            assertEquals(LeaderRow("drover-0", 1), leader)
            assertEquals(Json.write(row.value), Json.write(leader.encode()))
        }
    }

    /** Guards the bound on answers: where a row does not say who led, any member may have. */
    @Test
    fun `a term row that does not say who led differs from one whose list is empty`() {
        val silent = TermRow.decode(Json.parse("""{"n":4,"by":"drover-0"}"""))
        val first = TermRow.decode(Json.parse("""{"n":4,"by":"drover-0","led":{}}"""))
        assertNull(silent.formerLeaders)
        assertEquals(emptyMap<String, Long>(), first.formerLeaders)
        assertEquals("""{"n":4,"by":"drover-0"}""", Json.write(silent.encode()))
        assertEquals("""{"n":4,"by":"drover-0","led":{}}""", Json.write(first.encode()))
    }

    @Test
    fun `messages of failover are read, and written byte for byte alike`() {
        for (line in lines("messages-failover.txt")) {
            val bytes = HexFormat.of().parseHex(line.substringBefore("  "))
            val message = PeerMessage.decode(bytes)
            assertTrue(message is PeerMessage.Handover || (message as? PeerMessage.Status)?.failover != null, line)
            assertArrayEquals(bytes, PeerMessage.encode(message))
        }
    }

    private fun laterRows(prefix: String): List<Row> = rowsOf("rows-failover-balance.jsonl", prefix)

    private companion object {
        const val ABSENT_FAILOVER = ", failover=null"
    }

    @Test
    fun `ends and terms of production are what this version looks for`() {
        rows("over/").forEach { row -> assertTrue(JobState.entries.any { it.wire == row.value.path("st").asText() }) }
        rows("term").forEach { row -> assertTrue(row.value.path("n").isIntegralNumber && row.value.path("led").isObject) }
    }
}
