package burlridge.failover

import burlridge.json.Json
import burlridge.store.Listing
import burlridge.store.Row
import burlridge.store.WatchEvent
import burlridge.store.WatchResult
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf

/** A row of the replica. The value is kept as text, which takes a fraction of the memory of a parsed tree. */
internal data class ReplicaRow(
    val modRevision: Long,
    val value: String,
)

/** Result of applying a batch of changes. */
internal sealed interface ApplyResult {
    /** All changes of the batch were applied. */
    data object Complete : ApplyResult

    /** The batch cannot be correct; the replica must be discarded. */
    data class Inconsistent(
        val fault: BatchFault,
    ) : ApplyResult
}

/**
 * The rows under one prefix as of [revision]. Changes are applied in the order of their revisions, in whole batches or not at all. The map
 * is persistent, so that a reader's snapshot costs nothing and shows no later change.
 */
internal class ReplicaTable(
    val prefix: String,
) {
    var rows: PersistentMap<String, ReplicaRow> = persistentHashMapOf()
        private set
    var revision: Long = 0
        private set

    /** Number of characters of all keys and values, plus [ROW_OVERHEAD] for each row. */
    var estimatedBytes: Long = 0
        private set

    /** Sum of the hashes of all rows, updated with every change. */
    private var digest = 0L

    /** Replaces all rows by those of a full read. */
    fun load(listing: Listing) {
        clear()
        val loadedRows = rows.builder()
        for (row in listing.rows) {
            val copy = ReplicaRow(row.modRevision, Json.write(row.value))
            loadedRows[row.key] = copy
            updateTotals(row.key, copy, 1)
        }
        rows = loadedRows.build()
        revision = listing.revision
    }

    /** Drops all rows. */
    fun clear() {
        rows = persistentHashMapOf()
        revision = 0
        estimatedBytes = 0
        digest = 0
    }

    /** Applies the response to a watch from [revision]; a batch that contradicts itself or this table changes nothing. */
    fun apply(changes: WatchResult.Changes): ApplyResult {
        val fault = validate(changes)
        if (fault != null) return ApplyResult.Inconsistent(fault)
        val events = changes.events.orEmpty()
        if (events.isNotEmpty()) {
            val updatedRows = rows.builder()
            events.forEach { event ->
                updatedRows.remove(event.key)?.let { updateTotals(event.key, it, -1) }
                if (event is WatchEvent.Put) {
                    val row = ReplicaRow(event.modRevision, Json.write(event.value))
                    updatedRows[event.key] = row
                    updateTotals(event.key, row, 1)
                }
            }
            rows = updatedRows.build()
        }
        revision = changes.revision
        return ApplyResult.Complete
    }

    /** Returns the first fault of [changes]; null if all of them may be applied. */
    private fun validate(changes: WatchResult.Changes): BatchFault? {
        val batchRevision = changes.revision
        if (batchRevision < revision) return BatchFault.RevisionWentBack(batchRevision, revision)
        val events = changes.events ?: return BatchFault.NoChanges
        var previousRevision = revision
        for (event in events) {
            faultOf(event, previousRevision, batchRevision)?.let { return it }
            previousRevision = event.modRevision
        }
        return null
    }

    /** Returns the fault of [event], which follows one at [previousRevision] in a batch up to [batchRevision]; null if there is none. */
    private fun faultOf(
        event: WatchEvent,
        previousRevision: Long,
        batchRevision: Long,
    ): BatchFault? {
        val modRevision = event.modRevision
        val key = event.key
        return when {
            !key.startsWith(prefix) -> BatchFault.KeyOutsidePrefix(key, prefix)
            event is WatchEvent.Put && event.value.isMissingNode -> BatchFault.MissingValue(key)
            modRevision <= revision -> BatchFault.ChangeTooOld(key, modRevision, revision)
            modRevision < previousRevision -> BatchFault.ChangeOutOfOrder(key, modRevision, previousRevision)
            modRevision > batchRevision -> BatchFault.ChangeTooNew(key, modRevision, batchRevision)
            else -> null
        }
    }

    /** Adds a row to [estimatedBytes] and [digest], or subtracts it if [sign] is -1. */
    private fun updateTotals(
        key: String,
        row: ReplicaRow,
        sign: Int,
    ) {
        estimatedBytes += sign * (key.length + row.value.length + ROW_OVERHEAD)
        digest += sign * hash(key, row)
    }

    private fun hash(
        key: String,
        row: ReplicaRow,
    ): Long {
        val keyAndValue = (key.hashCode().toLong() shl Int.SIZE_BITS) xor row.value.hashCode().toLong()
        return (keyAndValue xor (row.modRevision * REVISION_FACTOR)) * MIX_FACTOR
    }

    /** Whether all rows still match the digest that was updated along with the changes. */
    fun isIntact(): Boolean = rows.entries.sumOf { (key, row) -> hash(key, row) } == digest

    /** Returns all rows in the order of their keys, as a listing of the key-value store does; null if a value cannot be parsed. */
    fun listing(): Listing? {
        val parsedRows =
            rows.entries.map { (key, row) ->
                Row(key, Json.parseOrNull(row.value) ?: return null, row.modRevision)
            }
        return Listing(parsedRows.sortedBy { it.key }, revision)
    }

    private companion object {
        /** Memory that a row takes besides its text, in bytes: entry, object and string headers. */
        const val ROW_OVERHEAD = 120

        /** Odd 64-bit constants that spread the bits of a hash. */
        const val REVISION_FACTOR = -0x61c8864680b583ebL
        const val MIX_FACTOR = -0x4b47d0c5a1a6e2a5L
    }
}
