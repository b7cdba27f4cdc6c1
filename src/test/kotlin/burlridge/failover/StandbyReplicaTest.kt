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

    private fun apply(text: String): ApplyResult =
        table.apply(StoreCodec.decodeWatch(HttpStatus.OK, Json.parse(text)) as WatchResult.Changes)

    @Test
    fun `changes are applied in order, and a snapshot shows no later change`() {
        table.load(Listing(listOf(row("live/1", 3), row("live/2", 5)), 5))
        val snapshot = table.rows
        val changes =
            listOf(
                """{"set":"live/3","value":{"n":6},"stamp":6}""",
                """{"remove":"live/1","stamp":7}""",
                """{"set":"live/2","value":{"n":8},"stamp":8}""",
            ).joinToString(",")
        assertEquals(ApplyResult.Complete, apply("""{"ledgerRev":9,"events":[$changes]}"""))
        assertEquals(setOf("live/2", "live/3"), table.rows.keys)
        assertEquals(setOf("live/1", "live/2"), snapshot.keys)
        assertEquals(9, table.revision)
        assertTrue(table.isIntact())
        assertEquals(listOf("live/2" to 8L, "live/3" to 6L), table.listing()?.rows?.map { it.key to it.modRevision })
    }

    /** None of these batches can be correct; applied in part, they would make a leader start a task twice. */
    @Test
    fun `a batch that contradicts itself or the replica changes nothing`() {
        table.load(Listing(listOf(row("live/1", 3)), 5))
        val invalidBatches =
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
        for (batch in invalidBatches) assertTrue(apply(batch) is ApplyResult.Inconsistent, batch)
        assertEquals(5, table.revision)
        assertEquals(setOf("live/1"), table.rows.keys)
        assertTrue(table.isIntact())
    }

    @Test
    fun `an audit fails only if the revisions leave no other explanation`() {
        table.load(Listing(listOf(row("live/1", 3), row("live/2", 5)), 5))

        fun audit(
            rows: List<Row>,
            revision: Long,
            afterKey: String = "",
            truncated: Boolean = false,
        ) = ReplicaAudit.findDifference(table, AuditPage(afterKey, rows, truncated, revision))
        assertNull(audit(listOf(row("live/1", 3), row("live/2", 5)), 5))
        assertNull(audit(listOf(row("live/1", 3), row("live/2", 7)), 8), "the replica is behind")
        assertNull(audit(listOf(row("live/2", 5)), 8), "the replica is behind and may have to remove a row")
        assertNull(audit(listOf(row("live/1", 3)), 5, truncated = true), "the page ends before")
        assertNull(audit(listOf(row("live/2", 5)), 5, afterKey = "live/1"), "the page begins after")
        assertNull(audit(listOf(row("live/0", 1), row("live/1", 3)), 4), "the replica is ahead")
        assertNotEquals(null, audit(listOf(row("live/1", 4), row("live/2", 5)), 5), "a revision differs")
        assertNotEquals(null, audit(listOf(row("live/0", 2), row("live/1", 3), row("live/2", 5)), 8), "a row is missing in the replica")
        assertNotEquals(null, audit(listOf(row("live/1", 3)), 5), "a row is missing in the store")
    }

    /** Applies random changes: after each batch the replica equals a full read at its revision, and audits pass. */
    @Test
    fun `the replica equals a full read of the store`() {
        val random = Random(3)
        val storeRows = java.util.TreeMap<String, Row>()
        var revision = 0L
        var pendingEvents = ArrayList<String>()
        repeat(2000) { i ->
            val key = "live/${random.nextInt(60)}"
            revision++
            if (random.nextInt(3) == 0 && storeRows.remove(key) != null) {
                pendingEvents += """{"remove":"$key","stamp":$revision}"""
            } else {
                storeRows[key] = row(key, revision)
                pendingEvents += """{"set":"$key","value":{"n":$revision},"stamp":$revision}"""
            }
            if (random.nextInt(4) == 0) {
                assertEquals(ApplyResult.Complete, apply("""{"ledgerRev":$revision,"events":[${pendingEvents.joinToString(",")}]}"""))
                pendingEvents = ArrayList()
                assertEquals(storeRows.values.toList(), table.listing()?.rows, "after $i changes")
                assertNull(ReplicaAudit.findDifference(table, AuditPage("", storeRows.values.toList(), false, revision)))
                assertTrue(table.isIntact())
            }
        }
    }
}
