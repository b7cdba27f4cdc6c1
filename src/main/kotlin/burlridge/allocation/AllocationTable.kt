package burlridge.allocation

import burlridge.core.StepContext
import burlridge.job.Resources
import burlridge.leadership.Leadership
import burlridge.store.Row
import burlridge.store.StoreClient

/** The allocations of a leader: those that are open, the resources that they take, and the batch rows that they are stored in. */
internal class AllocationTable(
    context: StepContext,
    store: StoreClient,
    leadership: Leadership,
    jobs: Map<String, Job>,
) {
    private val index = AllocationIndex(context, jobs)
    private val batches = AllocationBatchSet()
    private val writer = AllocationBatchWriter(context, store, leadership, jobs, index, batches)
    private val reconciler = AllocationReconciler(context, jobs, index, batches)
    private val cleaner = AllocationBatchCleaner(context, store, leadership, jobs, batches)

    /** Open allocations by machine and task name. */
    val byMachine: Map<String, Map<String, Allocation>> get() = index.byMachine

    /** What the open allocations of each team take. */
    val usageByTeam: Map<String, Resources> get() = index.usageByTeam

    /** Batches whose write has no known outcome yet. */
    val pendingBatches: Int get() = writer.pendingBatches

    /** How many allocations fit into one row. */
    val maxStartsPerBatch: Int get() = writer.maxStartsPerBatch

    /** How many jobs one row may name. */
    val maxJobsPerBatch: Int get() = writer.maxJobsPerBatch

    init {
        clear()
    }

    /** What the open allocations on [machine] take. */
    fun usageOn(machine: String): Resources = index.usageOn(machine)

    /** Forgets everything: a new term begins, or this one has ended. */
    fun clear() {
        index.clear()
        batches.clear()
        writer.clear()
    }

    /** Stores [allocations] in one row; see [AllocationBatchWriter.write]. */
    fun allocate(
        allocations: List<Allocation>,
        onCommitted: (List<Allocation>) -> Unit,
    ) = writer.write(allocations, onCommitted)

    /** Ends [allocation] and frees its resources; see [AllocationIndex.release]. */
    fun release(
        allocation: Allocation,
        isLost: Boolean,
    ) = index.release(allocation, isLost)

    /** Ends the present attempt of the gang [job], one of whose tasks is gone. */
    fun abortAttempt(job: Job) = index.abortAttempt(job)

    /** Drops the entry of [machine], which is gone and has no open allocations. */
    fun forgetMachine(machine: String) {
        index.byMachine.remove(machine)
    }

    /** Adds a batch row that a new leader finds. */
    fun loadBatch(row: Row) = reconciler.load(row)

    /** Settles, once all rows are loaded, which of their allocations are open. */
    fun reconcileLoaded() = reconciler.reconcile()

    /** Removes or rewrites batch rows where that is due; called about once a second. */
    fun cleanUp() = cleaner.run()
}
