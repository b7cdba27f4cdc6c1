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

/** What happens to a member's state when it becomes leader and when it ceases to be. */
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
    /** Called when the rows have been read and the leader may act. */
    private val onLoaded: () -> Unit,
) {
    /** A new leader reads every row before it acts. */
    fun onElected(cause: ElectionCause) {
        clear()
        failover?.onElected(cause)
        loader.load(leadership.term) { onStateLoaded(leadership.term) }
    }

    /** This member leads no more: forgets everything that only a leader knows. */
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
        // A machine known only from allocations must be waited for like any other.
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
