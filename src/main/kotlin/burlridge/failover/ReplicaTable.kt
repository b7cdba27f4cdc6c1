package burlridge.failover

import burlridge.json.Json
import burlridge.store.Listing
import burlridge.store.Row
import burlridge.store.WatchEvent
import burlridge.store.WatchResult
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf

/** A row of the replica; its value is kept as text, which takes a fraction of the memory of a parsed tree. */
internal data class ReplicaRow(
    val modRevision: Long,
    val value: String,
)

/** Whether a batch of changes was applied. */
internal sealed interface Applied {
    /** All changes of the batch were applied. */
    data object Complete : Applied

    /** The batch cannot be what the state service says it is; the replica must be discarded. */
    data class Inconsistent(
        val fault: BatchFault,
    ) : Applied
}

/**
 * The rows under one prefix as they stood at [revision]. Changes are applied in the order of their revisions, whole batches or
 * nothing; the map is persistent, so that a reader's snapshot costs nothing and shows no later change.
 */
internal class ReplicaTable(
    val prefix: String,
) {
    var rows: PersistentMap<String, ReplicaRow> = persistentHashMapOf()
        private set
    var revision: Long = 0
        private set

    /** What keys and values take, in characters, and [ROW_OVERHEAD] for each row. */
    var size: Long = 0
        private set

    /** The sum of all rows' hashes, updated with every change. */
    private var digest = 0L

    /** Replaces all rows by those of a full read. */
    fun load(listing: Listing) {
        clear()
        val loaded = rows.builder()
        for (row in listing.rows) {
            val copy = ReplicaRow(row.modRevision, Json.write(row.value))
            loaded[row.key] = copy
            updateTotals(row.key, copy, 1)
        }
        rows = loaded.build()
        revision = listing.revision
    }

    /** Drops all rows. */
    fun clear() {
        rows = persistentHashMapOf()
        revision = 0
        size = 0
        digest = 0
    }

    /** Applies the answer to a watch from [revision]; a batch that contradicts itself or this table changes nothing. */
    fun apply(changes: WatchResult.Changes): Applied {
        val fault = check(changes)
        if (fault != null) return Applied.Inconsistent(fault)
        val events = changes.events.orEmpty()
        if (events.isNotEmpty()) {
            val changed = rows.builder()
            events.forEach { event ->
                changed.remove(event.key)?.let { updateTotals(event.key, it, -1) }
                if (event is WatchEvent.Put) {
                    val row = ReplicaRow(event.modRevision, Json.write(event.value))
                    changed[event.key] = row
                    updateTotals(event.key, row, 1)
                }
            }
            rows = changed.build()
        }
        revision = changes.revision
        return Applied.Complete
    }

    /** Null where all changes may be applied. */
    private fun check(changes: WatchResult.Changes): BatchFault? {
        val batchRevision = changes.revision
        if (batchRevision < revision) return BatchFault.RevisionWentBack(batchRevision, revision)
        val events = changes.events ?: return BatchFault.NoChanges
        var previous = revision
        for (event in events) {
            faultOf(event, previous, batchRevision)?.let { return it }
            previous = event.modRevision
        }
        return null
    }

    /** What is wrong with [event], which comes after one at [previous] in a batch up to [batchRevision]; null if nothing is. */
    private fun faultOf(
        event: WatchEvent,
        previous: Long,
        batchRevision: Long,
    ): BatchFault? {
        val modRevision = event.modRevision
        val key = event.key
        return when {
            !key.startsWith(prefix) -> BatchFault.KeyOutsidePrefix(key, prefix)
            event is WatchEvent.Put && event.value.isMissingNode -> BatchFault.MissingValue(key)
            modRevision <= revision -> BatchFault.ChangeTooOld(key, modRevision, revision)
            modRevision < previous -> BatchFault.ChangeOutOfOrder(key, modRevision, previous)
            modRevision > batchRevision -> BatchFault.ChangeTooNew(key, modRevision, batchRevision)
            else -> null
        }
    }

    /** Adds a row to [size] and [digest], or with a [sign] of -1 takes it away. */
    private fun updateTotals(
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
        val keyAndValue = (key.hashCode().toLong() shl Int.SIZE_BITS) xor row.value.hashCode().toLong()
        return (keyAndValue xor (row.modRevision * REVISION_FACTOR)) * MIX_FACTOR
    }

    /** Whether all rows still match the digest that was kept along with the changes. */
    fun isIntact(): Boolean = rows.entries.sumOf { (key, row) -> hash(key, row) } == digest

    /** All rows in the order of their keys, as a listing of the state service returns them; null where a value cannot be read. */
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

        /** Odd 64-bit constants that spread the bits of a hash. */
        const val REVISION_FACTOR = -0x61c8864680b583ebL
        const val MIX_FACTOR = -0x4b47d0c5a1a6e2a5L
    }
}
