package burlridge.allocation

/**
 * The allocations that are stored in one row. A row whose allocations are all settled is overwritten by a later batch: [slot] names the
 * row, [number] this use of it. Both have the form `<term>-<n>`.
 */
internal class AllocationBatch(
    val slot: String,
    val number: String,
    val allocations: List<Allocation>,
) {
    val rowKey: String get() = AllocationBatchCodec.rowKey(slot)

    /** The mod revision of the row; 0 while it is not known to be written. */
    var modRevision: Long = 0

    /** When all of its allocations were first seen to be settled; null while one is not. */
    var settledAt: Double? = null

    /** An allocation was lost since the row was last written, and the row does not say so yet. */
    var isStale: Boolean = false

    /** A transaction on the row is pending. */
    var isWriting: Boolean = false
}
