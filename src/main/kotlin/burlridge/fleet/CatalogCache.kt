package burlridge.fleet

import burlridge.allocation.JobRegistry
import burlridge.core.CallOutcome
import burlridge.core.StepContext
import burlridge.json.Json
import burlridge.leadership.Leadership
import burlridge.store.Change
import burlridge.store.ReadResult
import burlridge.store.RequestPriority
import burlridge.store.StoreClient
import burlridge.store.Transaction
import burlridge.store.TransactionResult
import com.fasterxml.jackson.databind.JsonNode

/** Asks the cloud for its machine types, and keeps a copy in the state service for a start during an outage of the cloud. */
internal class CatalogCache(
    private val context: StepContext,
    private val store: StoreClient,
    private val leadership: Leadership,
    private val registry: JobRegistry,
) {
    var catalog: Catalog? = null
        private set
    private var askedAt = -1e9
    private var busy = false
    private var kept = false

    fun clear() {
        kept = false
    }

    /** Every member needs the machine types to judge a submission. */
    fun tick() {
        if (busy || context.now < askedAt + if (catalog == null) 1.0 else CATALOG_SECONDS) return
        busy = true
        askedAt = context.now
        context.call(context.settings.cloud, "GET", "/catalog", null, CLOUD_TIMEOUT_SECONDS) { outcome ->
            busy = false
            val body = (outcome as? CallOutcome.Responded)?.takeIf { it.status == 200 }?.let { Json.parseOrNull(it.body) }
            val parsed = Catalog.parse(body)
            when {
                parsed != null && body != null -> {
                    catalog = parsed
                    keepCatalog(body)
                }

                catalog == null -> {
                    store.get("catalog", RequestPriority.USER) { read ->
                        if (read is ReadResult.Found &&
                            catalog == null
                        ) {
                            catalog = Catalog.parse(read.value.value)
                        }
                    }
                }
            }
        }
    }

    /** Kept so that a start during a cloud outage still knows the machine types. */
    private fun keepCatalog(body: JsonNode) {
        if (!leadership.isLeader || kept) return
        kept = true
        store.commit(Transaction(listOf(registry.fenceCondition()), listOf(Change.Put("catalog", body))), RequestPriority.CLEANUP) {
            if (it !is TransactionResult.Committed) {
                kept =
                    false
            }
        }
    }

    private companion object {
        const val CATALOG_SECONDS = 60.0
        const val CLOUD_TIMEOUT_SECONDS = 3.0
    }
}
