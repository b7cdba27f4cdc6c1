package burlridge.failover

import burlridge.core.StepContext
import burlridge.store.ListPage
import burlridge.store.ListResult
import burlridge.store.RequestPriority
import burlridge.store.StoreClient
import burlridge.store.WatchResult

/** Keeps the tables of a complete replica up to date from the key-value store's change feed, and audits a page of rows regularly. */
internal class ReplicaRefresher(
    private val context: StepContext,
    private val store: StoreClient,
    private val tables: List<ReplicaTable>,
    private val requests: RequestGate,
    private val listener: Listener,
) {
    /** Receives the results of refreshes. */
    internal interface Listener {
        /** Called when the replica must be discarded. */
        fun onFault(fault: ReplicaFault)

        /** Called when changes were applied; returns false if the replica is no longer kept. */
        fun onApplied(): Boolean

        /** Called when every table was refreshed since the last call. */
        fun onRoundComplete()
    }

    private var nextTable = 0

    /** Number of reads of changes that failed since the last one that succeeded. */
    private var failedReads = 0
    private var refreshes = 0L

    /** Key after which the next audit starts to read. */
    private var nextAuditAfterKey = ""

    /** Starts with the first table again; to be called when the replica is reset. */
    fun reset() {
        nextTable = 0
        failedReads = 0
    }

    /** Refreshes or audits one table; one table at a time, so that the cost is spread. */
    fun refresh() {
        refreshes++
        if (refreshes % REFRESHES_PER_AUDIT == 0L) {
            val audits = refreshes / REFRESHES_PER_AUDIT
            return audit(tables[(audits % tables.size).toInt()])
        }
        val table = tables[nextTable]
        nextTable = (nextTable + 1) % tables.size
        pullChanges(table) { if (nextTable == 0) listener.onRoundComplete() }
    }

    /** Reads and applies the changes of [table] since its revision; calls [onApplied] if the replica is still kept after that. */
    private fun pullChanges(
        table: ReplicaTable,
        onApplied: () -> Unit,
    ) {
        val onWatched = requests.begin<WatchResult> { result -> onChanges(table, result, onApplied) }
        store.watch(table.prefix, table.revision, 0.0, onResult = onWatched)
    }

    private fun onChanges(
        table: ReplicaTable,
        result: WatchResult,
        onApplied: () -> Unit,
    ) {
        when (result) {
            is WatchResult.Changes -> {
                failedReads = 0
                val applied = table.apply(result)
                if (applied is ApplyResult.Inconsistent) {
                    listener.onFault(ReplicaFault.InconsistentChanges(table.prefix, applied.fault))
                } else if (listener.onApplied()) {
                    onApplied()
                }
            }

            WatchResult.Compacted -> {
                listener.onFault(ReplicaFault.ChangesCompacted(table.prefix, table.revision))
            }

            is WatchResult.Failed -> {
                failedReads++
                // The response may also be too long to read; the full read after a discard is paged.
                if (failedReads >= FAILURES_TO_DISCARD && store.isServing) listener.onFault(ReplicaFault.ChangesUnavailable(table.prefix))
            }
        }
    }

    private fun audit(table: ReplicaTable) {
        val afterKey = nextAuditAfterKey.takeIf { it.startsWith(table.prefix) }.orEmpty()
        val onPage =
            requests.begin<ListResult<ListPage>> { result -> if (result is ListResult.Listed) compare(table, afterKey, result.value) }
        store.listPage(table.prefix, afterKey, AUDIT_PAGE_ROWS, RequestPriority.CLEANUP, onPage)
    }

    private fun compare(
        table: ReplicaTable,
        afterKey: String,
        page: ListPage,
    ) {
        nextAuditAfterKey = if (page.isTruncated) page.rows.last().key else ""
        context.count("failover.replica.audits")
        val auditPage = AuditPage(afterKey, page.rows, page.isTruncated, page.revision)
        // Bring the replica up to the page's revision first: a change that has not arrived yet is no difference.
        pullChanges(table) {
            ReplicaAudit.findDifference(table, auditPage)?.let { listener.onFault(ReplicaFault.AuditFailed(table.prefix, it)) }
        }
    }

    private companion object {
        const val FAILURES_TO_DISCARD = 8
        const val REFRESHES_PER_AUDIT = 32L
        const val AUDIT_PAGE_ROWS = 50
    }
}
