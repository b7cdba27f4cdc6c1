package burlridge.allocation

/**
 * The allocations that are stored in one row. Once all of them are obsolete, that is, not needed by any leader any more, a later batch may
 * overwrite the row: [slot] identifies the row, [batchId] the batch in it. Both have the form `<term>-<n>`.
 */
internal class AllocationBatch(
    val slot: String,
    val batchId: String,
    val allocations: List<Allocation>,
) {
    val rowKey: String get() = AllocationBatchCodec.rowKey(slot)

    /** The mod revision of the row; 0 while it is not known to be written. */
    var modRevision: Long = 0

    /** When all of its allocations were first found to be obsolete; null while one is not. */
    var obsoleteSince: Double? = null

    /** Whether an allocation was lost after the row was last written, so that the row does not record the loss yet. */
    var isStale: Boolean = false

    /** Whether a transaction on the row is pending. */
    var isWriting: Boolean = false
}
