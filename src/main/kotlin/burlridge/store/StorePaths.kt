package burlridge.store

/** The paths of the key-value store's HTTP interface. */
internal object StorePaths {
    const val TRANSACTION: String = "/multi"
    const val LEASES: String = "/leases"

    /** Path of the row [key]. */
    fun row(key: String): String = "/store/$key"

    /** Path that lists at most [limit] rows under [prefix] whose keys follow [after]; an empty [after] lists from the first row. */
    fun listing(
        prefix: String,
        after: String,
        limit: Int,
    ): String {
        val from = if (after.isEmpty()) "" else "&from=$after"
        return "/store?starts=$prefix$from&limit=$limit"
    }

    /** Path that watches for changes under [prefix] after [revision]; if there are none, the answer comes after [blockMillis]. */
    fun watch(
        prefix: String,
        revision: Long,
        blockMillis: Long,
    ): String = "/follow?starts=$prefix&from=$revision&blockMs=$blockMillis"

    /** Path of a lease. */
    fun lease(leaseId: Long): String = "$LEASES/$leaseId"

    /** Path that renews a lease. */
    fun leaseRenewal(leaseId: Long): String = "$LEASES/$leaseId/renew"
}
