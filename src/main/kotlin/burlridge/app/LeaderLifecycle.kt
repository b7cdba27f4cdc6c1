package burlridge.app

import burlridge.allocation.JobRegistry
import burlridge.api.JobApi
import burlridge.balance.Balance
import burlridge.core.StepContext
import burlridge.failover.Failover
import burlridge.fleet.Fleet
import burlridge.leadership.ElectionCause
import burlridge.leadership.Leadership
import burlridge.leadership.StepDownReason
import burlridge.worker.WorkerManager

/** Loads a member's state when it becomes leader, and clears it when it steps down. */
internal class LeaderLifecycle(
    private val context: StepContext,
    private val leadership: Leadership,
    private val registry: JobRegistry,
    private val workers: WorkerManager,
    private val fleet: Fleet,
    private val balance: Balance?,
    private val failover: Failover?,
    private val jobApi: JobApi,
    private val loader: LeaderStateLoader,
    /** Called when the rows have been loaded and the leader may act. */
    private val onLoaded: () -> Unit,
) {
    /** Starts to load all rows; the new leader does not act before that is complete. */
    fun onElected(cause: ElectionCause) {
        clear()
        failover?.onElected(cause)
        loader.load(leadership.term) { onStateLoaded(leadership.term) }
    }

    /** Discards all state that only a leader holds: this member has stepped down. */
    fun onDeposed(
        term: Long,
        reason: StepDownReason,
    ) {
        clear()
        failover?.onDeposed(term, reason)
    }

    private fun clear() {
        jobApi.isLoaded = false
        registry.clear()
        workers.clear()
        fleet.clear()
        balance?.clear()
    }

    private fun onStateLoaded(term: Long) {
        workers.isLoaded = true
        jobApi.isLoaded = true
        val machinesWithAllocations =
            registry.allocations.byMachine.keys
                .toList()
        // Registered even if known only from allocations, so that it gets the same time to send a heartbeat as any other machine.
        machinesWithAllocations.forEach { workers.getOrRegisterMachine(it) }
        context.info(
            "leader state loaded",
            "term" to term,
            "jobs" to registry.jobs.size,
            "machinesWithAllocations" to machinesWithAllocations.size,
        )
        onLoaded()
    }
}
