package burlridge.allocation

/** The batches whose rows exist or are being written, in the order in which they were created or loaded. */
internal class AllocationBatchSet {
    private val bySlot = LinkedHashMap<String, AllocationBatch>()

    /** Obsolete batches, oldest first. A later batch overwrites the row of one, which saves removing it. */
    val reusable: ArrayDeque<AllocationBatch> = ArrayDeque()

    val all: Collection<AllocationBatch> get() = bySlot.values

    /** Adds [batch], or replaces the one in its slot. */
    fun put(batch: AllocationBatch) {
        bySlot[batch.slot] = batch
    }

    /** Removes [batch] from the set; its row is not changed. */
    fun remove(batch: AllocationBatch) {
        bySlot.remove(batch.slot)
    }

    /** Removes all batches from the set when a term begins or ends; their rows are not changed. */
    fun clear() {
        bySlot.clear()
        reusable.clear()
    }
}
