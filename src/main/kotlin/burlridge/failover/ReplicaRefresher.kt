package burlridge.failover

import burlridge.core.StepContext
import burlridge.store.ListPage
import burlridge.store.ListResult
import burlridge.store.RequestPriority
import burlridge.store.StoreClient
import burlridge.store.WatchResult

/** Keeps the tables of a complete replica up to date by the state service's change feed, and audits a page of rows now and then. */
internal class ReplicaRefresher(
    private val context: StepContext,
    private val store: StoreClient,
    private val tables: List<ReplicaTable>,
    private val requests: RequestGate,
    private val listener: Listener,
) {
    /** Told what became of the refreshes. */
    internal interface Listener {
        /** The replica must be discarded. */
        fun onFault(fault: ReplicaFault)

        /** Changes were applied; false where the replica is not kept any more. */
        fun onApplied(): Boolean

        /** Every table was refreshed since the last call. */
        fun onRoundComplete()
    }

    private var nextTable = 0

    /** Refreshes that failed, one after the other. */
    private var failures = 0
    private var refreshes = 0L

    /** The key after which the next audit reads. */
    private var auditFrom = ""

    /** Begins with the first table again; to be called when the replica is reset. */
    fun reset() {
        nextTable = 0
        failures = 0
    }

    /** Refreshes one table, or audits one; a table at a time, so that the cost is spread. */
    fun refresh() {
        refreshes++
        if (refreshes % REFRESHES_PER_AUDIT == 0L) {
            val audits = refreshes / REFRESHES_PER_AUDIT
            return audit(tables[(audits % tables.size).toInt()])
        }
        val table = tables[nextTable]
        nextTable = (nextTable + 1) % tables.size
        follow(table) { if (nextTable == 0) listener.onRoundComplete() }
    }

    /** Applies the changes of [table] since its revision; [onApplied] where the replica is still kept then. */
    private fun follow(
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
                failures = 0
                val applied = table.apply(result)
                if (applied is Applied.Inconsistent) {
                    listener.onFault(ReplicaFault.InconsistentChanges(table.prefix, applied.fault))
                } else if (listener.onApplied()) {
                    onApplied()
                }
            }

            WatchResult.Compacted -> {
                listener.onFault(ReplicaFault.ChangesCompacted(table.prefix, table.revision))
            }

            is WatchResult.Failed -> {
                failures++
                // An answer may also be too long to read; a full read has pages.
                if (failures >= FAILURES_TO_DISCARD && store.isServing) listener.onFault(ReplicaFault.ChangesUnavailable(table.prefix))
            }
        }
    }

    private fun audit(table: ReplicaTable) {
        val from = auditFrom.takeIf { it.startsWith(table.prefix) }.orEmpty()
        val onPage = requests.begin<ListResult<ListPage>> { result -> if (result is ListResult.Listed) compare(table, from, result.value) }
        store.listPage(table.prefix, from, AUDIT_ROWS, RequestPriority.CLEANUP, onPage)
    }

    private fun compare(
        table: ReplicaTable,
        from: String,
        page: ListPage,
    ) {
        auditFrom = if (page.isTruncated) page.rows.last().key else ""
        context.count("failover.replica.audits")
        val shown = AuditPage(from, page.rows, page.isTruncated, page.revision)
        // The replica is brought up to the page's revision first: a change that has not arrived yet is no difference.
        follow(table) {
            ReplicaAudit.difference(table, shown)?.let { listener.onFault(ReplicaFault.AuditFailed(table.prefix, it)) }
        }
    }

    private companion object {
        const val FAILURES_TO_DISCARD = 8
        const val REFRESHES_PER_AUDIT = 32L
        const val AUDIT_ROWS = 50
    }
}
