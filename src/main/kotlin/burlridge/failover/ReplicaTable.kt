package burlridge.failover

import burlridge.json.Json
import burlridge.store.Listing
import burlridge.store.Row
import com.fasterxml.jackson.databind.JsonNode
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf

/** A row of the replica; its value is kept as text, which takes a fraction of the memory of a parsed tree. */
internal data class ReplicaRow(
    val modRevision: Long,
    val value: String,
)

/** What became of a batch of changes. */
internal sealed interface Applied {
    data object Complete : Applied

    /** The batch cannot be what the state service says it is; the replica is of no use any more. */
    data class Inconsistent(
        val reason: String,
    ) : Applied
}

/**
 * The rows under one prefix as they stood at [revision]. Changes are applied in the order of their revisions, whole batches or
 * nothing; the map is persistent, so that a reader's snapshot costs nothing and no later change shows in it.
 */
internal class ReplicaTable(
    val prefix: String,
) {
    var rows: PersistentMap<String, ReplicaRow> = persistentHashMapOf()
        private set
    var revision: Long = 0
        private set

    /** What keys and values take, in characters. */
    var size: Long = 0
        private set

    /** The sum of all rows' hashes, kept along with every change. */
    private var digest = 0L

    fun load(listing: Listing) {
        clear()
        val built = rows.builder()
        for (row in listing.rows) {
            val copy = ReplicaRow(row.modRevision, Json.write(row.value))
            built[row.key] = copy
            account(row.key, copy, 1)
        }
        rows = built.build()
        revision = listing.revision
    }

    fun clear() {
        rows = persistentHashMapOf()
        revision = 0
        size = 0
        digest = 0
    }

    /** Applies the answer to a watch from [revision]; a batch that contradicts itself or what is here changes nothing. */
    fun apply(answer: JsonNode): Applied {
        val upTo = answer.path("ledgerRev").asLong(-1)
        if (upTo < revision) return Applied.Inconsistent("revision $upTo after $revision")
        val changes = answer.path("events")
        check(changes, upTo)?.let { return Applied.Inconsistent(it) }
        if (!changes.isEmpty) {
            val changed = rows.builder()
            changes.forEach { change ->
                val key = keyOf(change)
                changed.remove(key)?.let { account(key, it, -1) }
                if (change.has("set")) {
                    val row = ReplicaRow(change.path("stamp").asLong(), Json.write(change.path("value")))
                    changed[key] = row
                    account(key, row, 1)
                }
            }
            rows = changed.build()
        }
        revision = upTo
        return Applied.Complete
    }

    private fun check(
        changes: JsonNode,
        upTo: Long,
    ): String? {
        if (!changes.isArray) return "no list of changes"
        var last = revision
        for (change in changes) {
            val modRevision = change.path("stamp").asLong(-1)
            val key = keyOf(change)
            when {
                !key.startsWith(prefix) -> return "a change of \"${key.take(MOST_SHOWN)}\" under $prefix"
                change.has("set") && !change.has("value") -> return "$key has no value"
                modRevision <= revision -> return "$key changed at $modRevision, before $revision"
                modRevision < last -> return "$key changed at $modRevision, listed after $last"
                modRevision > upTo -> return "$key changed at $modRevision, after $upTo"
            }
            last = modRevision
        }
        return null
    }

    private fun keyOf(change: JsonNode): String = change.path("set").asText(change.path("remove").asText(""))

    private fun account(
        key: String,
        row: ReplicaRow,
        sign: Int,
    ) {
        size += sign * (key.length + row.value.length + ROW_OVERHEAD)
        digest += sign * hash(key, row)
    }

    private fun hash(
        key: String,
        row: ReplicaRow,
    ): Long {
        val mixed = (key.hashCode().toLong() shl HALF) xor row.value.hashCode().toLong() xor (row.modRevision * STAMP_FACTOR)
        return mixed * MIX_FACTOR
    }

    /** Whether all rows are still what was written here. */
    fun isIntact(): Boolean = rows.entries.sumOf { (key, row) -> hash(key, row) } == digest

    /** All rows in the order of their keys, as a listing of the state service gives them; null where a value cannot be read. */
    fun listing(): Listing? {
        val read =
            rows.entries.map { (key, row) ->
                Row(key, Json.parseOrNull(row.value) ?: return null, row.modRevision)
            }
        return Listing(read.sortedBy { it.key }, revision)
    }

    private companion object {
        /** What a row takes beside its text: entry, object and string headers. */
        const val ROW_OVERHEAD = 120
        const val HALF = 32
        const val MOST_SHOWN = 40
        const val STAMP_FACTOR = -0x61c8864680b583ebL
        const val MIX_FACTOR = -0x4b47d0c5a1a6e2a5L
    }
}
