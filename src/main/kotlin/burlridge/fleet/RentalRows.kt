package burlridge.fleet

import burlridge.leadership.FencedStore
import burlridge.leadership.Leadership
import burlridge.store.Change
import burlridge.store.Condition
import burlridge.store.RequestPriority
import burlridge.store.StoreClient
import burlridge.store.TransactionResult

/** Writes and deletes the rows of rentals, under the leader's fencing condition. */
internal class RentalRows(
    store: StoreClient,
    private val leadership: Leadership,
) {
    private val fenced = FencedStore(store, leadership)

    /** Writes the row of [rental]; [onResult] receives whether it exists now, and is not called if leadership has ended. */
    fun write(
        rental: Rental,
        onResult: (isWritten: Boolean) -> Unit,
    ) {
        fenced.commit(
            listOf(Condition(rental.rowKey, 0)),
            listOf(Change.Put(rental.rowKey, RentalRowCodec.encode(rental, leadership.term))),
            RequestPriority.CLAIM,
        ) { result ->
            when {
                result is TransactionResult.Committed -> {
                    rental.modRevision = result.revision
                    onResult(true)
                }

                result is TransactionResult.Conflict && fenced.isFenced(result) -> {
                    fenced.stepDown()
                }

                // An earlier copy of this transaction was applied.
                result is TransactionResult.Conflict -> {
                    rental.modRevision = UNKNOWN_REVISION
                    onResult(true)
                }

                else -> {
                    onResult(false)
                }
            }
        }
    }

    /** Deletes the row of [rental]. */
    fun delete(
        rental: Rental,
        onDeleted: () -> Unit,
    ) {
        rental.modRevision = 0
        fenced.commit(emptyList(), listOf(Change.Delete(rental.rowKey)), RequestPriority.CLEANUP) { onDeleted() }
    }

    private companion object {
        /** Stands for the unknown revision of a row that exists; rows are deleted whatever their revision. */
        const val UNKNOWN_REVISION = 1L
    }
}
