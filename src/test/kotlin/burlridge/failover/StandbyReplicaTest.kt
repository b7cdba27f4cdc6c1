package burlridge.failover

import burlridge.core.HttpStatus
import burlridge.json.Json
import burlridge.store.Listing
import burlridge.store.Row
import burlridge.store.StoreCodec
import burlridge.store.WatchResult
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

internal class StandbyReplicaTest {
    private val table = ReplicaTable("live/")

    private fun row(
        key: String,
        modRevision: Long,
        value: String = "{\"n\":$modRevision}",
    ) = Row(key, Json.parse(value), modRevision)

    private fun apply(text: String): Applied = table.apply(StoreCodec.decodeWatch(HttpStatus.OK, Json.parse(text)) as WatchResult.Changes)

    @Test
    fun `changes are applied in order, and a snapshot shows none that come later`() {
        table.load(Listing(listOf(row("live/1", 3), row("live/2", 5)), 5))
        val before = table.rows
        val changes =
            listOf(
                """{"set":"live/3","value":{"n":6},"stamp":6}""",
                """{"remove":"live/1","stamp":7}""",
                """{"set":"live/2","value":{"n":8},"stamp":8}""",
            ).joinToString(",")
        assertEquals(Applied.Complete, apply("""{"ledgerRev":9,"events":[$changes]}"""))
        assertEquals(setOf("live/2", "live/3"), table.rows.keys)
        assertEquals(setOf("live/1", "live/2"), before.keys)
        assertEquals(9, table.revision)
        assertTrue(table.isIntact())
        assertEquals(listOf("live/2" to 8L, "live/3" to 6L), table.listing()?.rows?.map { it.key to it.modRevision })
    }

    /** Each of these cannot be what the state service says it is; taken in part it would make a leader start something twice. */
    @Test
    fun `a batch that contradicts itself or the replica changes nothing`() {
        table.load(Listing(listOf(row("live/1", 3)), 5))
        val bad =
            listOf(
                """{"ledgerRev":4,"events":[]}""",
                """{"events":[]}""",
                """{"ledgerRev":9}""",
                """{"ledgerRev":9,"events":7}""",
                """{"ledgerRev":9,"events":[{"set":"live/2","value":{},"stamp":5}]}""",
                """{"ledgerRev":9,"events":[{"set":"live/2","value":{},"stamp":10}]}""",
                """{"ledgerRev":9,"events":[{"set":"live/2","value":{},"stamp":8},{"remove":"live/1","stamp":7}]}""",
                """{"ledgerRev":9,"events":[{"set":"over/2","value":{},"stamp":8}]}""",
                """{"ledgerRev":9,"events":[{"set":"live/2","stamp":8}]}""",
                """{"ledgerRev":9,"events":[{"stamp":8}]}""",
                """{"ledgerRev":9,"events":["live/2"]}""",
            )
        for (batch in bad) assertTrue(apply(batch) is Applied.Inconsistent, batch)
        assertEquals(5, table.revision)
        assertEquals(setOf("live/1"), table.rows.keys)
        assertTrue(table.isIntact())
    }

    @Test
    fun `an audit fails only where the revisions leave no other explanation`() {
        table.load(Listing(listOf(row("live/1", 3), row("live/2", 5)), 5))

        fun audit(
            rows: List<Row>,
            revision: Long,
            from: String = "",
            truncated: Boolean = false,
        ) = ReplicaAudit.difference(table, AuditPage(from, rows, truncated, revision))
        assertNull(audit(listOf(row("live/1", 3), row("live/2", 5)), 5))
        assertNull(audit(listOf(row("live/1", 3), row("live/2", 7)), 8), "the replica is behind")
        assertNull(audit(listOf(row("live/2", 5)), 8), "the replica is behind and may have to remove a row")
        assertNull(audit(listOf(row("live/1", 3)), 5, truncated = true), "the page ends before")
        assertNull(audit(listOf(row("live/2", 5)), 5, from = "live/1"), "the page begins after")
        assertNull(audit(listOf(row("live/0", 1), row("live/1", 3)), 4), "the replica is ahead")
        assertNotEquals(null, audit(listOf(row("live/1", 4), row("live/2", 5)), 5), "a stamp differs")
        assertNotEquals(null, audit(listOf(row("live/0", 2), row("live/1", 3), row("live/2", 5)), 8), "a row is missing here")
        assertNotEquals(null, audit(listOf(row("live/1", 3)), 5), "a row is gone there")
    }

    /** A random life of a store: whatever the steps, the replica equals a full read at its revision, and audits pass. */
    @Test
    fun `the replica is what a full read would give`() {
        val random = Random(3)
        val truth = java.util.TreeMap<String, Row>()
        var revision = 0L
        var pending = ArrayList<String>()
        repeat(2000) { i ->
            val key = "live/${random.nextInt(60)}"
            revision++
            if (random.nextInt(3) == 0 && truth.remove(key) != null) {
                pending += """{"remove":"$key","stamp":$revision}"""
            } else {
                truth[key] = row(key, revision)
                pending += """{"set":"$key","value":{"n":$revision},"stamp":$revision}"""
            }
            if (random.nextInt(4) == 0) {
                assertEquals(Applied.Complete, apply("""{"ledgerRev":$revision,"events":[${pending.joinToString(",")}]}"""))
                pending = ArrayList()
                assertEquals(truth.values.toList(), table.listing()?.rows, "after $i changes")
                assertNull(ReplicaAudit.difference(table, AuditPage("", truth.values.toList(), false, revision)))
                assertTrue(table.isIntact())
            }
        }
    }
}
