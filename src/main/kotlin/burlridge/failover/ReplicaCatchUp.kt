package burlridge.failover

import burlridge.core.HttpStatus
import burlridge.store.Listing
import burlridge.store.RequestPriority
import burlridge.store.StoreClient
import burlridge.store.WatchResult

/** Result of bringing a standby replica up to the fencing token of a new leader. */
internal sealed interface CatchUpResult {
    /** All rows by their prefix. */
    data class Complete(
        val listings: Map<String, Listing>,
    ) : CatchUpResult

    /** The rows must be read from the key-value store. */
    data class Failed(
        val fault: ReplicaFault,
    ) : CatchUpResult
}

/** Reads the last changes of each table for a new leader, and verifies that its rows are complete up to its [fencingToken]. */
internal class ReplicaCatchUp(
    private val store: StoreClient,
    private val tables: List<ReplicaTable>,
    private val fencingToken: Long,
) {
    /** Processes the tables one after the other and stops at the first fault. */
    fun run(onResult: (CatchUpResult) -> Unit) = catchUp(0, onResult)

    private fun catchUp(
        index: Int,
        onResult: (CatchUpResult) -> Unit,
    ) {
        if (index == tables.size) return onResult(listings())
        val table = tables[index]
        store.watch(table.prefix, table.revision, 0.0, RequestPriority.LEADERSHIP) { result ->
            val fault =
                when (result) {
                    is WatchResult.Changes -> (table.apply(result) as? ApplyResult.Inconsistent)?.fault ?: verify(table)
                    WatchResult.Compacted -> ReplicaFault.CatchUpFailed(table.prefix, HttpStatus.GONE)
                    is WatchResult.Failed -> ReplicaFault.CatchUpFailed(table.prefix, result.status)
                }
            if (fault == null) catchUp(index + 1, onResult) else onResult(CatchUpResult.Failed(fault))
        }
    }

    private fun verify(table: ReplicaTable): ReplicaFault? =
        when {
            table.revision < fencingToken -> ReplicaFault.BehindFencingToken(table.prefix, table.revision, fencingToken)
            !table.isIntact() -> ReplicaFault.DigestMismatch(table.prefix)
            else -> null
        }

    private fun listings(): CatchUpResult {
        val listings = HashMap<String, Listing>()
        for (table in tables) {
            listings[table.prefix] = table.listing() ?: return CatchUpResult.Failed(ReplicaFault.UnreadableRow(table.prefix))
        }
        return CatchUpResult.Complete(listings)
    }
}
