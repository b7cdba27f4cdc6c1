package burlridge.failover

import burlridge.store.Row

/** A page of rows as the state service showed it: all keys after [from] up to the last one, or to the end where it is not [truncated]. */
internal data class AuditPage(
    val from: String,
    val rows: List<Row>,
    val truncated: Boolean,
    val revision: Long,
)

/**
 * Compares a page read from the state service with the replica. A difference counts only where the two revisions leave no other
 * explanation, so an honest replica that is merely behind or ahead never fails.
 */
internal object ReplicaAudit {
    /** What is wrong, or null. */
    fun difference(
        table: ReplicaTable,
        page: AuditPage,
    ): String? = changed(table, page) ?: extra(table, page)

    /** A row that the page shows unchanged since before the replica's revision must stand in the replica as it is. */
    private fun changed(
        table: ReplicaTable,
        page: AuditPage,
    ): String? {
        for (row in page.rows) {
            if (row.modRevision > table.revision) continue
            val copy = table.rows[row.key]
            val changedSince = table.revision > page.revision && (copy == null || copy.modRevision > page.revision)
            if (!changedSince &&
                copy?.modRevision != row.modRevision
            ) {
                return "${row.key} has stamp ${copy?.modRevision ?: "none"}, not ${row.modRevision}"
            }
        }
        return null
    }

    /** Once the replica is as far as the page, a row from before that the page lacks must not be there. */
    private fun extra(
        table: ReplicaTable,
        page: AuditPage,
    ): String? {
        if (table.revision < page.revision) return null
        val shown = page.rows.mapTo(HashSet()) { it.key }
        val last = if (page.truncated) page.rows.lastOrNull()?.key ?: return null else null
        val surplus =
            table.rows.entries.firstOrNull { (key, row) ->
                key > page.from && (last == null || key <= last) && row.modRevision <= page.revision && key !in shown
            }
        return surplus?.let { "${it.key} is gone from the state service" }
    }
}
