package burlridge.fleet

import burlridge.allocation.JobRegistry
import burlridge.core.StepContext
import burlridge.leadership.Leadership
import burlridge.store.Change
import burlridge.store.ReadResult
import burlridge.store.RequestPriority
import burlridge.store.StoreClient
import burlridge.store.Transaction
import burlridge.store.TransactionResult
import burlridge.worker.Machine

/** Reads the cloud's machine types, and keeps a copy in the key-value store for members that start during an outage of the cloud. */
internal class CatalogCache(
    private val context: StepContext,
    private val store: StoreClient,
    private val leadership: Leadership,
    private val registry: JobRegistry,
    private val cloud: CloudApi,
) {
    /** Null until it has been read from the cloud or the store. */
    var catalog: Catalog? = null
        private set
    private var readAt = Machine.NEVER
    private var isReading = false
    private var isStored = false

    /** Called when leadership ends, so that this member stores the catalog again in its next term. */
    fun clear() {
        isStored = false
    }

    /** Reads the catalog if that is due; every member needs it to validate submissions. */
    fun tick() {
        val intervalSeconds = if (catalog == null) RETRY_SECONDS else REFRESH_SECONDS
        if (isReading || context.now < readAt + intervalSeconds) return
        isReading = true
        readAt = context.now
        cloud.readCatalog { row ->
            isReading = false
            if (row != null) {
                catalog = row.catalog
                store(row)
            } else if (catalog == null) {
                readStored()
            }
        }
    }

    private fun readStored() {
        store.get(CatalogRow.KEY, RequestPriority.USER) { read ->
            if (read is ReadResult.Found && catalog == null) catalog = CatalogRow.decode(read.value.value)?.catalog
        }
    }

    private fun store(row: CatalogRow) {
        if (!leadership.isLeader || isStored) return
        isStored = true
        val transaction = Transaction(listOf(registry.fenceCondition()), listOf(Change.Put(CatalogRow.KEY, row.value)))
        store.commit(transaction, RequestPriority.CLEANUP) { if (it !is TransactionResult.Committed) isStored = false }
    }

    private companion object {
        const val RETRY_SECONDS = 1.0
        const val REFRESH_SECONDS = 60.0
    }
}
