package burlridge.app

import burlridge.allocation.ActiveJobRow
import burlridge.allocation.JobRegistry
import burlridge.balance.Balance
import burlridge.core.StepContext
import burlridge.failover.Failover
import burlridge.fleet.Fleet
import burlridge.leadership.Leadership
import burlridge.store.ListResult
import burlridge.store.Listing
import burlridge.store.RequestPriority
import burlridge.store.Row
import burlridge.store.StoreClient
import burlridge.store.WatchEvent
import burlridge.store.WatchResult

/**
 * What a new leader reads before it acts, and the other members' submissions that it watches from then on. Where a standby replica
 * is shown to be complete, nothing but the changes since its last refresh is read.
 */
internal class LeaderStateLoader(
    private val context: StepContext,
    private val store: StoreClient,
    private val leadership: Leadership,
    private val registry: JobRegistry,
    private val fleet: Fleet,
    private val failover: Failover?,
    private val balance: Balance?,
    private val onNews: () -> Unit,
) {
    private var followAt = 0L

    private fun mine(term: Long): Boolean = leadership.isLeader && leadership.term == term

    /** Reads every row for [term]; [onResult] comes once all are in, and never where the term ends before. */
    fun load(
        term: Long,
        onResult: () -> Unit,
    ) {
        if (failover == null) return readAll(term, onResult)
        failover.takeOverRows { listings ->
            when {
                !mine(term) -> Unit
                listings != null -> loaded(listings, term, fromReplica = true, onResult)
                else -> readAll(term, onResult)
            }
        }
    }

    private fun readAll(
        term: Long,
        onResult: () -> Unit,
    ) = read(prefixes(balance != null), HashMap(), term, onResult)

    private fun read(
        prefixes: List<String>,
        listings: HashMap<String, Listing>,
        term: Long,
        onResult: () -> Unit,
    ) {
        val prefix = prefixes.firstOrNull() ?: return loaded(listings, term, fromReplica = false, onResult)
        store.list(prefix, RequestPriority.LEADERSHIP) { listing ->
            when {
                !mine(term) -> {
                    Unit
                }

                listing !is ListResult.Listed -> {
                    context.schedule(RELOAD_SECONDS) { if (mine(term)) readAll(term, onResult) }
                }

                else -> {
                    listings[prefix] = listing.value
                    read(prefixes.drop(1), listings, term, onResult)
                }
            }
        }
    }

    private fun loaded(
        listings: Map<String, Listing>,
        term: Long,
        fromReplica: Boolean,
        onResult: () -> Unit,
    ) {
        val live = listings.getValue(ActiveJobRow.KEY_PREFIX)
        live.rows.forEach { registry.admit(it) }
        listings.getValue("prog/").rows.forEach { registry.loadProgress(it) }
        listings.getValue("round/").rows.forEach { registry.allocations.loadBatch(it) }
        listings.getValue("rental/").rows.forEach { fleet.load(it) }
        balance?.load(listings)
        registry.reconcileLoaded()
        followAt = live.revision
        failover?.onRowsLoaded(listings.values.sumOf { it.rows.size }, fromReplica)
        onResult()
        follow(term)
    }

    /** Other members' submissions, should their message be lost. */
    private fun follow(term: Long) {
        if (!mine(term)) return
        store.watch(ActiveJobRow.KEY_PREFIX, followAt, FOLLOW_SECONDS) { result ->
            if (mine(term)) {
                when (result) {
                    is WatchResult.Changes -> admitChanges(result)
                    WatchResult.Compacted -> relist(term)
                    is WatchResult.Failed -> Unit
                }
                context.schedule(FOLLOW_PAUSE_SECONDS) { follow(term) }
            }
        }
    }

    private fun admitChanges(changes: WatchResult.Changes) {
        changes.events?.forEach { event ->
            if (event is WatchEvent.Put && event.key.startsWith(ActiveJobRow.KEY_PREFIX)) {
                registry.admit(Row(event.key, event.value, event.modRevision))
            }
        }
        followAt = maxOf(followAt, changes.revision)
        if (changes.isNews) onNews()
    }

    private fun relist(term: Long) {
        store.list(ActiveJobRow.KEY_PREFIX, RequestPriority.CLAIM) { live ->
            if (live is ListResult.Listed && mine(term)) {
                live.value.rows.forEach { registry.admit(it) }
                followAt = maxOf(followAt, live.value.revision)
            }
        }
    }

    internal companion object {
        /** The prefixes of all rows that a new leader reads, those of drains and moves where they are switched on. */
        fun prefixes(withBalance: Boolean): List<String> =
            listOf(ActiveJobRow.KEY_PREFIX, "prog/", "round/", "rental/") + if (withBalance) Balance.PREFIXES else emptyList()

        private const val RELOAD_SECONDS = 0.5
        private const val FOLLOW_SECONDS = 10.0
        private const val FOLLOW_PAUSE_SECONDS = 0.5
    }
}
