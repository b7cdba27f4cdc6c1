package burlridge.failover

import burlridge.core.StepContext
import burlridge.message.FailoverStatus
import burlridge.store.ListResult
import burlridge.store.Listing
import burlridge.store.RequestPriority
import burlridge.store.StoreClient

/**
 * A follower's copy of the rows that a new leader needs, fed by the state service's change feed: at every revision it equals what a
 * full read at that revision would have returned. A gap, a contradiction, a failed audit or a wrong digest discards it.
 */
internal class StandbyReplica(
    private val context: StepContext,
    private val store: StoreClient,
    prefixes: List<String>,
    /** Limit of [size]. */
    private val maxSize: Long,
    /** Between two refreshes of all tables. */
    private val refreshSeconds: Double,
) : ReplicaRefresher.Listener {
    private val tables = prefixes.map { ReplicaTable(it) }
    private val requests = RequestGate()
    private val refresher = ReplicaRefresher(context, store, tables, requests, this)

    /** The table to load next. */
    private var nextTable = 0
    private var nextTickAt = 0.0
    private var state = ReplicaState.OFF
    private var lastDiscard: ReplicaFault? = null

    /** When all tables were last refreshed. */
    private var refreshedAt = 0.0

    /** What the rows take, in characters of their text and a constant for each. */
    private val size: Long get() = tables.sumOf { it.size }

    /** Complete up to here in every table; [FailoverStatus.NO_REPLICA] where it is not complete. */
    val revision: Long
        get() = if (state == ReplicaState.FOLLOWING) tables.minOf { it.revision } else FailoverStatus.NO_REPLICA

    /** Loads or refreshes the replica where that is due; [isWanted] is false on a member that is to keep none. */
    fun tick(isWanted: Boolean) {
        // A new leader waits for its rows: a member that leads is no standby, but must not discard them.
        if (state == ReplicaState.TAKING_OVER) return
        if (!isWanted) return stop()
        if (requests.isOpen || context.now < nextTickAt) return
        when (state) {
            ReplicaState.TAKING_OVER -> Unit
            ReplicaState.OFF, ReplicaState.TOO_LARGE -> begin()
            ReplicaState.LOADING -> load()
            ReplicaState.FOLLOWING -> refresh()
        }
    }

    /** Refreshes at the next tick, because the leader is suspected. */
    fun refreshSoon() {
        if (state == ReplicaState.FOLLOWING) nextTickAt = context.now
    }

    /** The replica's state, for operators. */
    fun report(): ReplicaReport =
        ReplicaReport(
            state = state,
            rows = tables.sumOf { it.rows.size },
            bytes = size,
            revision = revision,
            lagSeconds = if (state == ReplicaState.FOLLOWING) context.now - refreshedAt else null,
            lastDiscard = lastDiscard?.text.orEmpty(),
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

    private fun begin() {
        reset()
        state = ReplicaState.LOADING
        load()
    }

    private fun load() {
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
        if (size <= maxSize) return false
        context.info("standby replica too large", "kilobytes" to size / BYTES_PER_KB, "max_kilobytes" to maxSize / BYTES_PER_KB)
        lastDiscard = ReplicaFault.TooLarge
        reset()
        state = ReplicaState.TOO_LARGE
        nextTickAt = context.now + refreshSeconds * TOO_LARGE_PAUSE_REFRESHES
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
        lastDiscard = fault
        reset()
        state = ReplicaState.LOADING
        nextTickAt = context.now + refreshSeconds
    }

    // --- taking over

    /**
     * For a new leader, whose fencing token [fence] lets nobody else change what it reads: all tables up to a revision at or above it.
     * Null where that cannot be verified, and all must be read.
     */
    fun takeOver(
        fence: Long,
        onResult: (Map<String, Listing>?) -> Unit,
    ) {
        if (state != ReplicaState.FOLLOWING) return onResult(null)
        // Answers to open refreshes must change nothing from here on.
        requests.reset()
        state = ReplicaState.TAKING_OVER
        ReplicaCatchUp(store, tables, fence).run { result ->
            if (result is CatchUpResult.Failed) {
                lastDiscard = result.fault
                context.info("standby replica not used", "reason" to result.fault.text)
            }
            reset()
            state = ReplicaState.OFF
            onResult((result as? CatchUpResult.Complete)?.listings)
        }
    }

    private companion object {
        const val BYTES_PER_KB = 1024

        /** How long a replica that was too large is not tried again, in refreshes. */
        const val TOO_LARGE_PAUSE_REFRESHES = 60
    }
}
