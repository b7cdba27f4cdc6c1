package burlridge.failover

import burlridge.core.StepContext
import burlridge.message.FailoverStatus
import burlridge.store.ListResult
import burlridge.store.Listing
import burlridge.store.RequestPriority
import burlridge.store.StoreClient
import burlridge.store.WatchResult

/** How far a standby replica is; [label] stands in the report. */
internal enum class ReplicaState(
    val label: String,
) {
    /** Not kept here. */
    OFF("off"),

    /** Being read in full. */
    LOADING("loading"),

    /** Complete up to its revision, and refreshed. */
    FOLLOWING("following"),

    /** It took more memory than it may; tried again after a while. */
    TOO_LARGE("too_large"),

    /** This member was elected, and the last changes are being read. */
    TAKING_OVER("taking_over"),
}

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
) {
    private val tables = prefixes.map { ReplicaTable(it) }

    /** The table to load or refresh next. */
    private var nextTable = 0
    private var nextTickAt = 0.0
    private var isRequestOpen = false

    /** Refreshes that failed, one after the other. */
    private var failures = 0
    private var refreshes = 0L

    /** The key after which the next audit reads; empty for the beginning of a table. */
    private var auditFrom = ""

    /** Raised whenever the replica is reset, so that answers to earlier requests change nothing. */
    private var generation = 0
    private var state = ReplicaState.OFF
    private var lastDiscard: ReplicaFault? = null

    /** When all tables were last refreshed. */
    private var refreshedAt = 0.0

    /** What the rows take, in characters of their text and a constant for each. */
    private val size: Long get() = tables.sumOf { it.size }

    /** Complete up to here in every table; [FailoverStatus.NO_REPLICA] where it is not complete. */
    val revision: Long
        get() = if (state == ReplicaState.FOLLOWING) tables.minOf { it.revision } else FailoverStatus.NO_REPLICA

    fun tick(isWanted: Boolean) {
        // A new leader waits for its rows: a member that leads is no standby, but must not discard them.
        if (state == ReplicaState.TAKING_OVER) return
        if (!isWanted) return stop()
        if (isRequestOpen || context.now < nextTickAt) return
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
        generation++
        isRequestOpen = false
        failures = 0
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
        val requestGeneration = generation
        isRequestOpen = true
        store.list(table.prefix, RequestPriority.CLEANUP) { listing ->
            if (generation != requestGeneration) return@list
            isRequestOpen = false
            if (listing is ListResult.Listed) {
                table.load(listing.value)
                context.count("failover.replica.loaded", listing.value.rows.size)
                onTableLoaded()
            } else {
                nextTickAt = context.now + refreshSeconds
            }
        }
    }

    private fun onTableLoaded() {
        if (discardIfTooLarge()) return
        nextTable++
        if (nextTable < tables.size) return
        nextTable = 0
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

    /** Refreshes one table, or audits one; a table at a time, so that the cost is spread. */
    private fun refresh() {
        nextTickAt = context.now + refreshSeconds / tables.size
        refreshes++
        if (refreshes % REFRESHES_PER_AUDIT == 0L) {
            val audits = refreshes / REFRESHES_PER_AUDIT
            return audit(tables[(audits % tables.size).toInt()])
        }
        val table = tables[nextTable]
        nextTable = (nextTable + 1) % tables.size
        follow(table) { if (nextTable == 0) refreshedAt = context.now }
    }

    /** Applies the changes of [table] since its revision. */
    private fun follow(
        table: ReplicaTable,
        onApplied: () -> Unit,
    ) {
        val requestGeneration = generation
        isRequestOpen = true
        store.watch(table.prefix, table.revision, 0.0) { result ->
            if (generation != requestGeneration) return@watch
            isRequestOpen = false
            when (result) {
                is WatchResult.Changes -> {
                    failures = 0
                    val applied = table.apply(result)
                    if (applied is Applied.Inconsistent) {
                        discard(ReplicaFault.InconsistentChanges(table.prefix, applied.fault))
                    } else if (!discardIfTooLarge()) {
                        onApplied()
                    }
                }

                WatchResult.Compacted -> {
                    discard(ReplicaFault.ChangesCompacted(table.prefix, table.revision))
                }

                is WatchResult.Failed -> {
                    // An answer may also be too long to read; a full read has pages.
                    if (++failures >= FAILURES_TO_DISCARD && store.isServing) discard(ReplicaFault.ChangesUnavailable(table.prefix))
                }
            }
        }
    }

    private fun audit(table: ReplicaTable) {
        val requestGeneration = generation
        val from = auditFrom.takeIf { it.startsWith(table.prefix) }.orEmpty()
        isRequestOpen = true
        store.listPage(table.prefix, from, AUDIT_ROWS, RequestPriority.CLEANUP) { page ->
            if (generation != requestGeneration) return@listPage
            isRequestOpen = false
            if (page !is ListResult.Listed) return@listPage
            val (rows, isTruncated, revision) = page.value
            auditFrom = if (isTruncated) rows.last().key else ""
            context.count("failover.replica.audits")
            val shown = AuditPage(from, rows, isTruncated, revision)
            // The replica is brought up to the page's revision first: a change that has not arrived yet is no difference.
            follow(table) {
                ReplicaAudit.difference(table, shown)?.let { discard(ReplicaFault.AuditFailed(table.prefix, it)) }
            }
        }
    }

    private fun discard(fault: ReplicaFault) {
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
        generation++
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
        const val FAILURES_TO_DISCARD = 8
        const val REFRESHES_PER_AUDIT = 32L
        const val AUDIT_ROWS = 50
    }
}
