package burlridge.store

/** The paths of the key-value store's HTTP interface. */
internal object StorePaths {
    const val TRANSACTION: String = "/multi"
    const val LEASES: String = "/leases"

    /** The row [key]. */
    fun row(key: String): String = "/store/$key"

    /** At most [limit] rows under [prefix], those after the key [after]; empty for the first. */
    fun listing(
        prefix: String,
        after: String,
        limit: Int,
    ): String {
        val from = if (after.isEmpty()) "" else "&from=$after"
        return "/store?starts=$prefix$from&limit=$limit"
    }

    /** The changes under [prefix] after [revision]; without any, the answer comes after [blockMillis]. */
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
