package burlridge.failover

import burlridge.core.StepContext
import burlridge.message.FailoverStatus
import burlridge.store.Listing
import burlridge.store.RequestPriority
import burlridge.store.StoreClient

/** How far a standby replica is. */
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
 * A follower's copy of the rows that a new leader needs, fed by the state service's own change feed: at every revision it is what a
 * full read at that revision would have given. A gap, a contradiction, a failed audit or a wrong digest throws it away.
 */
internal class StandbyReplica(
    private val context: StepContext,
    private val store: StoreClient,
    prefixes: List<String>,
    private val mostSize: Long,
    private val refreshSeconds: Double,
) {
    private val tables = prefixes.map { ReplicaTable(it) }
    private var next = 0
    private var refreshAt = 0.0
    private var busy = false
    private var failures = 0
    private var refreshes = 0L

    /** Raised whenever the replica is given up, so that answers to questions from before change nothing. */
    private var generation = 0
    var state: ReplicaState = ReplicaState.OFF
        private set

    /** Why the replica was last thrown away. */
    var lastDiscard: String = ""
        private set
    val size: Long get() = tables.sumOf { it.size }
    val rows: Int get() = tables.sumOf { it.rows.size }

    /** Complete up to here in every table. */
    val revision: Long
        get() = if (state == ReplicaState.FOLLOWING) tables.minOf { it.revision } else FailoverStatus.NO_REPLICA

    /** When all tables were last refreshed. */
    var refreshedAt: Double = 0.0
        private set

    fun tick(isWanted: Boolean) {
        // A new leader waits for its rows: a member that leads is no standby, but must not throw them away.
        if (state == ReplicaState.TAKING_OVER) return
        if (!isWanted) return stop()
        if (busy || context.now < refreshAt) return
        when (state) {
            ReplicaState.TAKING_OVER -> Unit
            ReplicaState.OFF, ReplicaState.TOO_LARGE -> begin()
            ReplicaState.LOADING -> load()
            ReplicaState.FOLLOWING -> refresh()
        }
    }

    /** Refreshes at once, because the leader is suspected. */
    fun refreshSoon() {
        if (state == ReplicaState.FOLLOWING) refreshAt = context.now
    }

    fun stop() {
        if (state == ReplicaState.OFF) return
        reset()
        state = ReplicaState.OFF
    }

    fun report(): ReplicaReport =
        ReplicaReport(
            state = state,
            rows = rows,
            bytes = size,
            revision = revision,
            lagSeconds = if (state == ReplicaState.FOLLOWING) context.now - refreshedAt else null,
            lastDiscard = lastDiscard,
        )

    private fun reset() {
        generation++
        busy = false
        failures = 0
        next = 0
        tables.forEach { it.clear() }
    }

    private fun begin() {
        reset()
        state = ReplicaState.LOADING
        load()
    }

    private fun load() {
        val table = tables[next]
        val mine = generation
        busy = true
        store.list(table.prefix, RequestPriority.CLEANUP) { listing ->
            if (generation != mine) return@list
            busy = false
            if (listing == null) {
                refreshAt = context.now + refreshSeconds
            } else {
                table.load(listing)
                context.count("failover.replica.loaded", listing.rows.size)
                loaded()
            }
        }
    }

    private fun loaded() {
        if (tooLarge()) return
        next++
        if (next < tables.size) return
        next = 0
        state = ReplicaState.FOLLOWING
        refreshedAt = context.now
        refreshAt = context.now
    }

    private fun tooLarge(): Boolean {
        if (size <= mostSize) return false
        context.info("standby replica too large", "kilobytes" to size / BYTES_PER_KB, "max_kilobytes" to mostSize / BYTES_PER_KB)
        lastDiscard = "too large"
        reset()
        state = ReplicaState.TOO_LARGE
        refreshAt = context.now + refreshSeconds * PAUSE_REFRESHES
        return true
    }

    /** One table a turn, so that the cost is spread. */
    private fun refresh() {
        refreshAt = context.now + refreshSeconds / tables.size
        refreshes++
        if (refreshes % REFRESHES_PER_AUDIT == 0L) return audit(tables[(refreshes / REFRESHES_PER_AUDIT % tables.size).toInt()])
        val table = tables[next]
        next = (next + 1) % tables.size
        follow(table) { if (next == 0) refreshedAt = context.now }
    }

    private fun follow(
        table: ReplicaTable,
        onResult: () -> Unit,
    ) {
        val mine = generation
        busy = true
        store.watch(table.prefix, table.revision, 0.0) { status, body ->
            if (generation != mine) return@watch
            busy = false
            when {
                status == OK && body != null -> {
                    failures = 0
                    val applied = table.apply(body)
                    if (applied is Applied.Inconsistent) {
                        discard("${table.prefix}: ${applied.reason}")
                    } else if (!tooLarge()) {
                        onResult()
                    }
                }

                status == GONE -> {
                    discard("${table.prefix}: the changes since ${table.revision} are not kept any more")
                }

                // Answers may also be too long to take; then the rows are read anew.
                ++failures >= FAILURES_TO_DISCARD && store.isServing -> {
                    discard("${table.prefix}: its changes cannot be read")
                }
            }
        }
    }

    private var auditFrom = ""

    private fun audit(table: ReplicaTable) {
        val mine = generation
        val from = auditFrom.takeIf { it.startsWith(table.prefix) }.orEmpty()
        busy = true
        store.listPage(table.prefix, from, AUDIT_ROWS, RequestPriority.CLEANUP) { page ->
            if (generation != mine) return@listPage
            busy = false
            if (page == null) return@listPage
            auditFrom = if (page.truncated) page.rows.last().key else ""
            context.count("failover.replica.audits")
            val shown = AuditPage(from, page.rows, page.truncated, page.revision)
            // What the page shows and the replica has not heard of yet is only judged once it has.
            follow(table) { ReplicaAudit.difference(table, shown)?.let { discard("audit of ${table.prefix}: $it") } }
        }
    }

    private fun discard(reason: String) {
        context.info("standby replica discarded", "reason" to reason)
        context.count("failover.replica.discarded")
        lastDiscard = reason
        reset()
        state = ReplicaState.LOADING
        refreshAt = context.now + refreshSeconds
    }

    /**
     * For a new leader, whose fence at [fence] lets nobody else change what it reads: all tables up to a revision at or above it. Null
     * where that cannot be shown, and all must be read.
     */
    fun takeOver(
        fence: Long,
        onResult: (Map<String, Listing>?) -> Unit,
    ) {
        if (state != ReplicaState.FOLLOWING) return onResult(null)
        generation++
        state = ReplicaState.TAKING_OVER
        val mine = generation
        catchUp(0, fence, mine) { complete ->
            val listings = if (complete) listings() else null
            if (listings == null) context.info("standby replica not used", "reason" to lastDiscard)
            reset()
            state = ReplicaState.OFF
            onResult(listings)
        }
    }

    private fun catchUp(
        index: Int,
        fence: Long,
        mine: Int,
        onResult: (Boolean) -> Unit,
    ) {
        if (index == tables.size) return onResult(true)
        val table = tables[index]
        store.watch(table.prefix, table.revision, 0.0, RequestPriority.LEADERSHIP) { status, body ->
            if (generation != mine) return@watch
            val problem =
                when {
                    status != OK || body == null -> "the changes of ${table.prefix} cannot be read ($status)"
                    else -> (table.apply(body) as? Applied.Inconsistent)?.reason ?: unproven(table, fence)
                }
            if (problem == null) {
                catchUp(index + 1, fence, mine, onResult)
            } else {
                lastDiscard = problem
                onResult(false)
            }
        }
    }

    private fun unproven(
        table: ReplicaTable,
        fence: Long,
    ): String? =
        when {
            table.revision < fence -> "${table.prefix} is known up to ${table.revision}, below the fence $fence"
            !table.isIntact() -> "${table.prefix} does not match its digest"
            else -> null
        }

    private fun listings(): Map<String, Listing>? {
        val all = HashMap<String, Listing>()
        for (table in tables) {
            all[table.prefix] = table.listing() ?: return null.also { lastDiscard = "a row of ${table.prefix} cannot be read" }
        }
        return all
    }

    private companion object {
        const val OK = 200
        const val GONE = 410
        const val BYTES_PER_KB = 1024
        const val PAUSE_REFRESHES = 60
        const val FAILURES_TO_DISCARD = 8
        const val REFRESHES_PER_AUDIT = 32L
        const val AUDIT_ROWS = 50
    }
}
