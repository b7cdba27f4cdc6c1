package burlridge.failover

import burlridge.store.Row

/** A page of rows as the state service listed it: all keys after [from] up to the last one, or to the end where it is not [isTruncated]. */
internal data class AuditPage(
    val from: String,
    val rows: List<Row>,
    val isTruncated: Boolean,
    val revision: Long,
)

/**
 * Compares a page read from the state service with the replica. A difference counts only where the two revisions leave no other
 * explanation, so a correct replica that is merely behind or ahead never fails.
 */
internal object ReplicaAudit {
    /** The first difference; null where the page and the replica agree. */
    fun difference(
        table: ReplicaTable,
        page: AuditPage,
    ): AuditDifference? = staleRow(table, page) ?: surplusRow(table, page)

    /** A row that the page shows unchanged since before the replica's revision must stand in the replica as it is. */
    private fun staleRow(
        table: ReplicaTable,
        page: AuditPage,
    ): AuditDifference? {
        for (row in page.rows) {
            if (row.modRevision > table.revision) continue
            val copy = table.rows[row.key]
            val hasChangedSince = table.revision > page.revision && (copy == null || copy.modRevision > page.revision)
            if (!hasChangedSince && copy?.modRevision != row.modRevision) {
                return AuditDifference.StaleRow(row.key, copy?.modRevision, row.modRevision)
            }
        }
        return null
    }

    /** Once the replica is as far as the page, an older row that the page lacks must not be there. */
    private fun surplusRow(
        table: ReplicaTable,
        page: AuditPage,
    ): AuditDifference? {
        if (table.revision < page.revision) return null
        val shown = page.rows.mapTo(HashSet()) { it.key }
        val last = if (page.isTruncated) page.rows.lastOrNull()?.key ?: return null else null
        val surplus =
            table.rows.entries.firstOrNull { (key, row) ->
                key > page.from && (last == null || key <= last) && row.modRevision <= page.revision && key !in shown
            }
        return surplus?.let { AuditDifference.SurplusRow(it.key) }
    }
}
