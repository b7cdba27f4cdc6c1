package burlridge.app

import burlridge.allocation.Ledger
import burlridge.balance.Balance
import burlridge.core.Context
import burlridge.failover.Failover
import burlridge.fleet.Fleet
import burlridge.leadership.Leadership
import burlridge.store.Listing
import burlridge.store.Store
import burlridge.store.Urgency

/**
 * What a new leader reads before it acts, and the other members' submissions that it watches from then on. Where a standby replica
 * is shown to be complete, nothing but the changes since its last refresh is read.
 */
internal class TermRows(
    private val context: Context,
    private val store: Store,
    private val leadership: Leadership,
    private val ledger: Ledger,
    private val fleet: Fleet,
    private val failover: Failover?,
    private val balance: Balance?,
    private val onNews: () -> Unit,
) {
    private var followAt = 0L

    private fun mine(term: Long): Boolean = leadership.leading && leadership.term == term

    /** Reads every row for [term]; [then] comes once all are in, and never where the term ends before. */
    fun load(
        term: Long,
        then: () -> Unit,
    ) {
        if (failover == null) return readAll(term, then)
        failover.takeOverRows { listings ->
            when {
                !mine(term) -> Unit
                listings != null -> loaded(listings, term, fromReplica = true, then)
                else -> readAll(term, then)
            }
        }
    }

    private fun readAll(
        term: Long,
        then: () -> Unit,
    ) = read(prefixes(balance != null), HashMap(), term, then)

    private fun read(
        prefixes: List<String>,
        listings: HashMap<String, Listing>,
        term: Long,
        then: () -> Unit,
    ) {
        val prefix = prefixes.firstOrNull() ?: return loaded(listings, term, fromReplica = false, then)
        store.list(prefix, Urgency.LEADERSHIP) { listing ->
            when {
                !mine(term) -> {
                    Unit
                }

                listing == null -> {
                    context.later(RELOAD_S) { if (mine(term)) readAll(term, then) }
                }

                else -> {
                    listings[prefix] = listing
                    read(prefixes.drop(1), listings, term, then)
                }
            }
        }
    }

    private fun loaded(
        listings: Map<String, Listing>,
        term: Long,
        fromReplica: Boolean,
        then: () -> Unit,
    ) {
        val live = listings.getValue("live/")
        live.rows.forEach { ledger.admit(it.key.substringAfter('/'), it.value, it.stamp) }
        listings.getValue("prog/").rows.forEach { ledger.loadProgress(it) }
        listings.getValue("round/").rows.forEach { ledger.claims.loadRound(it) }
        listings.getValue("rental/").rows.forEach { fleet.load(it) }
        balance?.load(listings)
        ledger.settleLoaded()
        followAt = live.revision
        failover?.rowsRead(listings.values.sumOf { it.rows.size }, fromReplica)
        then()
        follow(term)
    }

    /** Other members' submissions, should their message be lost. */
    private fun follow(term: Long) {
        if (!mine(term)) return
        store.follow("live/", followAt, FOLLOW_S) { status, body ->
            if (mine(term)) {
                when {
                    status == OK && body != null -> {
                        body.path("events").forEach { e ->
                            val key = e.path("set").asText("")
                            if (key.startsWith("live/")) ledger.admit(key.substringAfter('/'), e.path("value"), e.path("stamp").asLong())
                        }
                        followAt = maxOf(followAt, body.path("ledgerRev").asLong())
                        if (body.path("events").size() > 0) onNews()
                    }

                    status == GONE -> {
                        relist(term)
                    }
                }
                context.later(FOLLOW_PAUSE_S) { follow(term) }
            }
        }
    }

    private fun relist(term: Long) {
        store.list("live/", Urgency.CLAIM) { live ->
            if (live != null && mine(term)) {
                live.rows.forEach { ledger.admit(it.key.substringAfter('/'), it.value, it.stamp) }
                followAt = maxOf(followAt, live.revision)
            }
        }
    }

    internal companion object {
        /** The prefixes of all rows that a new leader reads, those of drains and moves where they are switched on. */
        fun prefixes(withBalance: Boolean): List<String> =
            listOf("live/", "prog/", "round/", "rental/") + if (withBalance) Balance.PREFIXES else emptyList()

        private const val OK = 200
        private const val GONE = 410
        private const val RELOAD_S = 0.5
        private const val FOLLOW_S = 10.0
        private const val FOLLOW_PAUSE_S = 0.5
    }
}
