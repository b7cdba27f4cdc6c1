package burlridge.allocation

import burlridge.core.StepContext
import burlridge.job.Resources
import burlridge.leadership.Leadership
import burlridge.store.Row
import burlridge.store.StoreClient

/** The leader's open allocations, the resources that they use, and the batch rows that store them. */
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

    /** The resources that the open allocations of each team use. */
    val usageByTeam: Map<String, Resources> get() = index.usageByTeam

    /** The resources that the open allocations on each machine use. */
    val usageByMachine: Map<String, Resources> get() = index.usageByMachine

    /** The allocations of all stored batches, and of those that are being written, that have not ended. */
    val notEnded: List<Allocation> get() = batches.all.flatMap { batch -> batch.allocations.filter { !it.hasEnded } }

    /** Number of batches whose write has no known outcome yet. */
    val pendingBatches: Int get() = writer.pendingBatches

    /** Maximum number of allocations in one row. */
    val maxAllocationsPerBatch: Int get() = writer.maxAllocationsPerBatch

    /** Maximum number of jobs in one row. */
    val maxJobsPerBatch: Int get() = writer.maxJobsPerBatch

    init {
        clear()
    }

    /** The resources that the open allocations on [machine] use. */
    fun usageOn(machine: String): Resources = index.usageOn(machine)

    /** Removes everything when a term begins or ends. */
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

    /** Aborts the current attempt of the gang [job], which has lost a task. */
    fun abortAttempt(job: Job) = index.abortAttempt(job)

    /** Removes the entries of [machine], which no longer exists and has no open allocations. */
    fun removeMachine(machine: String) = index.removeMachine(machine)

    /** Loads a batch row that a new leader has read. */
    fun loadBatch(row: Row) = reconciler.load(row)

    /** Determines which of the loaded allocations are open; called once all rows are loaded. */
    fun reconcileLoaded() = reconciler.reconcile()

    /** Removes or rewrites the batch rows that are due; called about once a second. */
    fun cleanUp() = cleaner.run()
}
