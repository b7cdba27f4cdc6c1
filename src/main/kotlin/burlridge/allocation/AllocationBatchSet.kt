package burlridge.allocation

/** The batches whose rows exist or are being written, in the order in which they were made or loaded. */
internal class AllocationBatchSet {
    private val bySlot = LinkedHashMap<String, AllocationBatch>()

    /** Settled batches, oldest first: a later batch overwrites the row of one, which saves removing it. */
    val reusable: ArrayDeque<AllocationBatch> = ArrayDeque()

    val all: Collection<AllocationBatch> get() = bySlot.values

    /** Adds [batch], or replaces the one in its slot. */
    fun put(batch: AllocationBatch) {
        bySlot[batch.slot] = batch
    }

    /** Forgets [batch]. */
    fun remove(batch: AllocationBatch) {
        bySlot.remove(batch.slot)
    }

    /** Forgets all batches: a new term begins, or this one has ended. */
    fun clear() {
        bySlot.clear()
        reusable.clear()
    }
}
