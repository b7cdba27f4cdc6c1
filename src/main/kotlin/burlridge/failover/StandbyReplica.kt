package burlridge.failover

import burlridge.core.StepContext
import burlridge.message.FailoverStatus
import burlridge.store.ListResult
import burlridge.store.Listing
import burlridge.store.RequestPriority
import burlridge.store.StoreClient

/**
 * A follower's copy of the rows that a new leader needs, updated from the key-value store's change feed. At every revision it equals what a
 * full read at that revision would have returned. It is discarded on a gap, a contradiction, a failed audit or a wrong digest.
 */
internal class StandbyReplica(
    private val context: StepContext,
    private val store: StoreClient,
    prefixes: List<String>,
    /** Upper limit of [estimatedBytes]. */
    private val maxBytes: Long,
    /** Interval between two refreshes of all tables. */
    private val refreshSeconds: Double,
) : ReplicaRefresher.Listener {
    private val tables = prefixes.map { ReplicaTable(it) }
    private val requests = RequestGate()
    private val refresher = ReplicaRefresher(context, store, tables, requests, this)

    /** Index of the table to load next. */
    private var nextTable = 0
    private var nextTickAt = 0.0
    private var state = ReplicaState.OFF
    private var lastFault: ReplicaFault? = null

    /** When all tables were last refreshed. */
    private var refreshedAt = 0.0

    /** Estimated memory of all rows: the characters of their text and a constant for each row. */
    private val estimatedBytes: Long get() = tables.sumOf { it.estimatedBytes }

    /** Revision up to which every table is complete; [FailoverStatus.NO_REPLICA] if the replica is not complete. */
    val revision: Long
        get() = if (state == ReplicaState.FOLLOWING) tables.minOf { it.revision } else FailoverStatus.NO_REPLICA

    /** Loads or refreshes the replica if that is due; discards it if [isWanted] is false, on a member that should keep none. */
    fun tick(isWanted: Boolean) {
        // This member was elected and waits for these rows: as the leader it is no longer a standby, but must not discard them.
        if (state == ReplicaState.TAKING_OVER) return
        if (!isWanted) return stop()
        if (requests.hasRequestInFlight || context.now < nextTickAt) return
        when (state) {
            ReplicaState.TAKING_OVER -> Unit
            ReplicaState.OFF, ReplicaState.TOO_LARGE -> startLoading()
            ReplicaState.LOADING -> loadNextTable()
            ReplicaState.FOLLOWING -> refresh()
        }
    }

    /** Makes the next tick refresh the replica, because the leader is suspected. */
    fun refreshSoon() {
        if (state == ReplicaState.FOLLOWING) nextTickAt = context.now
    }

    /** Returns the replica's state, for operators. */
    fun report(): ReplicaReport =
        ReplicaReport(
            state = state,
            rows = tables.sumOf { it.rows.size },
            bytes = estimatedBytes,
            revision = revision,
            lagSeconds = if (state == ReplicaState.FOLLOWING) context.now - refreshedAt else null,
            lastDiscardReason = lastFault?.text.orEmpty(),
        )

    private fun stop() {
        if (state == ReplicaState.OFF) return
        reset()
        state = ReplicaState.OFF
    }

    private fun reset() {
        requests.reset()
        refresher.reset()
        nextTable = 0
        tables.forEach { it.clear() }
    }

    // --- loading

    private fun startLoading() {
        reset()
        state = ReplicaState.LOADING
        loadNextTable()
    }

    private fun loadNextTable() {
        val table = tables[nextTable]
        val onListed =
            requests.begin<ListResult<Listing>> { result ->
                if (result is ListResult.Listed) {
                    table.load(result.value)
                    context.count("failover.replica.loaded", result.value.rows.size)
                    onTableLoaded()
                } else {
                    nextTickAt = context.now + refreshSeconds
                }
            }
        store.list(table.prefix, RequestPriority.CLEANUP, onListed)
    }

    private fun onTableLoaded() {
        if (discardIfTooLarge()) return
        nextTable++
        if (nextTable < tables.size) return
        state = ReplicaState.FOLLOWING
        refreshedAt = context.now
        nextTickAt = context.now
    }

    private fun discardIfTooLarge(): Boolean {
        if (estimatedBytes <= maxBytes) return false
        context.info("standby replica too large", "kilobytes" to estimatedBytes / BYTES_PER_KB, "max_kilobytes" to maxBytes / BYTES_PER_KB)
        lastFault = ReplicaFault.TooLarge
        reset()
        state = ReplicaState.TOO_LARGE
        nextTickAt = context.now + refreshSeconds * TOO_LARGE_RETRY_REFRESHES
        return true
    }

    // --- following

    private fun refresh() {
        nextTickAt = context.now + refreshSeconds / tables.size
        refresher.refresh()
    }

    override fun onApplied(): Boolean = !discardIfTooLarge()

    override fun onRoundComplete() {
        refreshedAt = context.now
    }

    override fun onFault(fault: ReplicaFault) {
        context.info("standby replica discarded", "reason" to fault.text)
        context.count("failover.replica.discarded")
        lastFault = fault
        reset()
        state = ReplicaState.LOADING
        nextTickAt = context.now + refreshSeconds
    }

    // --- taking over

    /**
     * Passes all tables to [onResult] for a new leader, complete up to a revision at or above its [fencingToken], which prevents other
     * members from changing the rows. Passes null if that cannot be verified, so that all rows must be read.
     */
    fun takeOver(
        fencingToken: Long,
        onResult: (Map<String, Listing>?) -> Unit,
    ) {
        if (state != ReplicaState.FOLLOWING) return onResult(null)
        // Responses to refreshes in flight must change nothing from here on.
        requests.reset()
        state = ReplicaState.TAKING_OVER
        ReplicaCatchUp(store, tables, fencingToken).run { result ->
            if (result is CatchUpResult.Failed) {
                lastFault = result.fault
                context.info("standby replica not used", "reason" to result.fault.text)
            }
            reset()
            state = ReplicaState.OFF
            onResult((result as? CatchUpResult.Complete)?.listings)
        }
    }

    private companion object {
        const val BYTES_PER_KB = 1024

        /** Delay until a replica that was too large is loaded again, in refresh intervals. */
        const val TOO_LARGE_RETRY_REFRESHES = 60
    }
}
