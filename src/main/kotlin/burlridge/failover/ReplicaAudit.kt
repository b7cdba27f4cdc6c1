package burlridge.failover

import burlridge.store.Row

/** A page of a listing: all rows after [afterKey], up to the last of [rows] if the page [isTruncated], otherwise to the end. */
internal data class AuditPage(
    val afterKey: String,
    val rows: List<Row>,
    val isTruncated: Boolean,
    val revision: Long,
)

/**
 * Compares a page read from the key-value store with the replica. A difference counts only if the two revisions leave no other explanation,
 * so a correct replica that is merely behind or ahead never fails.
 */
internal object ReplicaAudit {
    /** Returns the first difference; null if the page and the replica agree. */
    fun findDifference(
        table: ReplicaTable,
        page: AuditPage,
    ): AuditDifference? = findStaleRow(table, page) ?: findSurplusRow(table, page)

    /**
     * Returns a row of the page that the replica lacks or has with another revision. Ignores rows that were changed after the replica's
     * revision, and rows that the replica may have seen change after the page was read.
     */
    private fun findStaleRow(
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

    /**
     * Returns a row of the replica that the page should list but does not. Checks only a replica that has reached the page's revision, and
     * only rows that are no newer than the page.
     */
    private fun findSurplusRow(
        table: ReplicaTable,
        page: AuditPage,
    ): AuditDifference? {
        if (table.revision < page.revision) return null
        val listedKeys = page.rows.mapTo(HashSet()) { it.key }
        val lastKey = if (page.isTruncated) page.rows.lastOrNull()?.key ?: return null else null
        val surplus =
            table.rows.entries.firstOrNull { (key, row) ->
                key > page.afterKey && (lastKey == null || key <= lastKey) && row.modRevision <= page.revision && key !in listedKeys
            }
        return surplus?.let { AuditDifference.SurplusRow(it.key) }
    }
}
