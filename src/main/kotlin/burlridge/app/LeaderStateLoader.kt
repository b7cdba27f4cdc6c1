package burlridge.app

import burlridge.allocation.ActiveJobRow
import burlridge.allocation.AllocationBatchCodec
import burlridge.allocation.JobRegistry
import burlridge.allocation.ProgressCodec
import burlridge.balance.Balance
import burlridge.core.StepContext
import burlridge.failover.Failover
import burlridge.fleet.Fleet
import burlridge.leadership.Leadership
import burlridge.store.ListResult
import burlridge.store.Listing
import burlridge.store.RequestPriority
import burlridge.store.StoreClient

/**
 * Reads the rows that a new leader needs before it acts, and from then on watches for the jobs that other members accept. If the standby
 * replica is proven complete, only the changes since its last refresh are read.
 */
internal class LeaderStateLoader(
    private val context: StepContext,
    private val store: StoreClient,
    private val leadership: Leadership,
    private val registry: JobRegistry,
    private val fleet: Fleet,
    private val failover: Failover?,
    private val balance: Balance?,
    onJobsChanged: () -> Unit,
) {
    private val submissions = SubmissionWatch(context, store, registry, onJobsChanged)

    /** Reads all rows for [term], which this member leads; [onLoaded] is not called if the term ends before that is complete. */
    fun load(
        term: Long,
        onLoaded: () -> Unit,
    ) {
        val pass = LoadPass(leadership.whileLeading(term), onLoaded)
        if (failover == null) return readAll(pass)
        failover.takeOverRows { listings ->
            when {
                !pass.isStillLeading() -> Unit
                listings != null -> apply(listings, fromReplica = true, pass)
                else -> readAll(pass)
            }
        }
    }

    private class LoadPass(
        val isStillLeading: () -> Boolean,
        val onLoaded: () -> Unit,
    )

    private fun readAll(pass: LoadPass) = readNext(prefixes(balance != null), HashMap(), pass)

    private fun readNext(
        prefixes: List<String>,
        listings: HashMap<String, Listing>,
        pass: LoadPass,
    ) {
        val prefix = prefixes.firstOrNull() ?: return apply(listings, fromReplica = false, pass)
        store.list(prefix, RequestPriority.LEADERSHIP) { listing ->
            when {
                !pass.isStillLeading() -> {
                    Unit
                }

                listing !is ListResult.Listed -> {
                    context.schedule(RETRY_DELAY_SECONDS) { if (pass.isStillLeading()) readAll(pass) }
                }

                else -> {
                    listings[prefix] = listing.value
                    readNext(prefixes.drop(1), listings, pass)
                }
            }
        }
    }

    private fun apply(
        listings: Map<String, Listing>,
        fromReplica: Boolean,
        pass: LoadPass,
    ) {
        val activeJobs = listings.getValue(ActiveJobRow.KEY_PREFIX)
        activeJobs.rows.forEach { registry.admit(it) }
        listings.getValue(ProgressCodec.KEY_PREFIX).rows.forEach { registry.loadProgress(it) }
        listings.getValue(AllocationBatchCodec.KEY_PREFIX).rows.forEach { registry.allocations.loadBatch(it) }
        listings.getValue(RENTALS).rows.forEach { fleet.loadRental(it) }
        balance?.load(listings)
        registry.reconcileLoaded()
        failover?.onRowsLoaded(listings.values.sumOf { it.rows.size }, fromReplica)
        pass.onLoaded()
        submissions.start(activeJobs.revision, pass.isStillLeading)
    }

    internal companion object {
        private const val RENTALS = "rental/"
        private const val RETRY_DELAY_SECONDS = 0.5

        /** Returns the key prefixes of all rows that a new leader reads; [withBalance] adds those of drains and moves. */
        fun prefixes(withBalance: Boolean): List<String> =
            listOf(ActiveJobRow.KEY_PREFIX, ProgressCodec.KEY_PREFIX, AllocationBatchCodec.KEY_PREFIX, RENTALS) +
                if (withBalance) Balance.PREFIXES else emptyList()
    }
}
