package burlridge.leadership

import burlridge.core.Effect
import burlridge.core.StepContext
import burlridge.json.Json
import burlridge.message.PeerMessage
import burlridge.store.Change
import burlridge.store.Condition
import burlridge.store.ReadResult
import burlridge.store.RequestPriority
import burlridge.store.Row
import burlridge.store.StoreClient
import burlridge.store.Transaction
import burlridge.store.TransactionResult
import com.fasterxml.jackson.databind.JsonNode

/** One leader at a time, by a tethered row and a term raised by compare-and-swap. */
internal class Leadership(
    private val context: StepContext,
    private val store: StoreClient,
    private val listener: LeadershipListener,
) {
    private val settings = context.settings
    private val defaultTtlSeconds = settings.workers.reportSeconds * settings.operator.leaseReports

    /** The lease of this member's terms: longer after it was deposed alive, merely slow, so that two slow members do not take turns. */
    private var ttlSeconds = defaultTtlSeconds
    private var lastTickAt = 0.0

    /** Whether this member stood still in this term for so long that its renewal may have been late. */
    private var stalledInTerm = false

    /**
     * How long after its last good renewal was sent a leader may still answer workers. Together with a worker's lease and a
     * margin it stays below the time a cancellation has, so that what a cut-off leader keeps alive is gone in time.
     */
    val answerBoundSeconds: Double = (settings.workers.cancelSeconds - settings.workers.leaseSeconds) * 0.7

    var term: Long = 0
        private set

    /** The stamp of the term row, the fence of every write of this leader. */
    var fence: Long = 0
        private set
    var isLeader: Boolean = false
        private set
    var electedAt: Double = 0.0
        private set
    var knownLeader: String? = null
        private set
    private var knownLeaderAt = 0.0
    private var leaseId = 0L
    private var renewedAt = 0.0
    private var nextRenewAt = 0.0
    private var renewing = false
    private var campaigning = false
    private var nextPollAt = 0.0

    /** Since when this member has found no leader's row; null while there is one. */
    private var absentSince: Double? = null

    /** The stamp of the leader's row that is being watched; 0 for none. */
    private var watched = 0L
    private var highestTerm = 0L
    private val silentPeers = HashSet<String>()

    /** Who has led lately and may not know yet that it is over. */
    private var formerLeaders: Set<String> = emptySet()

    /** Who led before this term, as its row says. */
    private var previousLeaders: Map<String, Long> = emptyMap()

    private val transfer = LeadershipTransfer(context, store, this)

    /**
     * A transfer of this term may have been carried out. Nothing is decided meanwhile, and the lease is not renewed: what bounds the
     * answers to workers must lie before anything that the next leader confirms.
     */
    private val transferring: Boolean get() = transfer.isUnderWay

    /** Until then no other member can have been elected, unless a transfer is under way. */
    val leaseUntil: Double get() = renewedAt + ttlSeconds * (1 - DRIFT) - MARGIN_SECONDS

    /** After this a command decided now must not leave any more, since others may have been elected; checked where it leaves. */
    val commandDeadline: Double get() = if (checksDepartures) leaseUntil else Effect.NO_DEADLINE

    /** The same for answers to workers and for the stops of cancelled jobs. */
    val responseDeadline: Double get() = if (checksDepartures) answersUntil else Effect.NO_DEADLINE
    private val checksDepartures = context.settings.operator.failover != null

    /** The highest term heard of. */
    val knownTerm: Long get() = highestTerm

    /** Until then this leader may answer workers. */
    val answersUntil: Double get() = renewedAt + answerBoundSeconds * (1 - DRIFT)

    /** Stalls of this member noticed while it led, in this process. */
    var stalls: Long = 0
        private set
    val leaseSeconds: Double get() = ttlSeconds

    /** True while no other member can have been elected. */
    val holdsLease: Boolean get() = isLeader && !transferring && context.now < leaseUntil

    /**
     * True while this leader may answer workers, a while beyond [holdsLease]: through an outage that all members share. One that
     * hears neither the state service nor any member is cut off itself, and its workers are better off with whoever follows.
     */
    val mayAnswerWorkers: Boolean
        get() = isLeader && context.now < answersUntil && (holdsLease || settings.others.isEmpty() || !isolated)
    private val isolated: Boolean get() = context.now > peerHeardAt + ttlSeconds
    private var peerHeardAt = 0.0

    /** No other member can be answering workers by an earlier term after this time. */
    val othersAnswerUntil: Double
        get() = if (silentPeers.containsAll(formerLeaders)) maxOf(silentSince, electedAt) else electedAt + answerBoundSeconds
    private var silentSince = 0.0

    /** What fences every write of this leader. */
    fun fenceCondition(): Condition = Condition(TERM, fence)

    /** Whether this member still leads [term]. */
    fun whileLeading(term: Long): () -> Boolean = { isLeader && this.term == term }

    fun tick() {
        val stalled = isLeader && context.now > lastTickAt + ttlSeconds / STALL_FRACTION
        if (stalled) stalls++
        stalledInTerm = stalledInTerm || stalled
        lastTickAt = context.now
        if (isLeader) {
            if (!renewing && !transferring && context.now >= nextRenewAt) renew()
        } else if (!campaigning && context.now >= nextPollAt) {
            poll()
        }
    }

    private fun renew() {
        renewing = true
        val sentAt = context.now
        val mine = leaseId
        store.renewLease(mine, ttlSeconds / 3) { status ->
            renewing = false
            if (!isLeader || leaseId != mine) return@renewLease
            when (status) {
                200 -> {
                    renewedAt = sentAt
                    nextRenewAt = sentAt + ttlSeconds / 4
                }

                404 -> {
                    stepDown("the lease of the leader row has ended")
                }

                else -> {
                    nextRenewAt = context.now + ttlSeconds / 12
                }
            }
        }
    }

    fun stepDown(reason: String) {
        if (!isLeader) return
        isLeader = false
        transfer.cancel()
        if (stalledInTerm) ttlSeconds = minOf(ttlSeconds * 2, defaultTtlSeconds * MAX_TTL_FACTOR)
        context.info("leader change: term $term is over here: $reason")
        knownLeader = null
        nextPollAt = context.now
        store.setLeader(false)
        listener.onDeposed(term, reason)
    }

    /** Steps down because a write found the term row changed: another member has been elected since. */
    fun stepDownOnPassedTerm() = stepDown(TERM_PASSED)

    private fun poll() {
        nextPollAt = context.now + ttlSeconds / 6 * (0.8 + 0.4 * context.random.nextDouble())
        store.get(LEADER, RequestPriority.LEADERSHIP) { read ->
            if (isLeader || campaigning) return@get
            when (read) {
                is ReadResult.Found -> {
                    absentSince = null
                    val name =
                        read.value.value
                            .path("member")
                            .asText()
                    if (name == settings.member) {
                        // Where it was not handed over our former self held it and is dead: nobody else can be elected meanwhile.
                        val namedTerm =
                            read.value.value
                                .path("term")
                                .asLong()
                        if (!listener.onTermHandedOver(namedTerm)) campaign(read.value.modRevision, "its former self led")
                    } else {
                        observeLeader(
                            name,
                            read.value.value
                                .path("term")
                                .asLong(),
                        )
                        watch(read.value.modRevision)
                    }
                }

                ReadResult.Absent -> {
                    val since = absentSince ?: context.now.also { absentSince = it }
                    val first = listener.defersElection() && context.now < since + ttlSeconds / DEFER_FRACTION
                    if (first) nextPollAt = since + ttlSeconds / DEFER_FRACTION else campaign(0, "the leader's lease had ended")
                }

                ReadResult.Failed -> {
                    Unit
                }
            }
        }
    }

    /**
     * Looks as soon as the leader's row changes, instead of at the next turn: a leader that is gone is followed sooner, and during an
     * upgrade by a member of this version, which will not be replaced any more. Each looks a moment later than the next, so that
     * one campaigns and the others find its row.
     */
    private fun watch(modRevision: Long) {
        if (watched == modRevision) return
        watched = modRevision
        store.watch(LEADER, modRevision, ttlSeconds * WATCH_TTLS) { status, body ->
            if (watched != modRevision) return@watch
            watched = 0
            val changed = status == OK && body != null && body.path("events").size() > 0
            if (changed && !isLeader) nextPollAt = minOf(nextPollAt, context.now + ttlSeconds / WATCH_SPREAD * context.random.nextDouble())
        }
    }

    /** Looks at the leader's row at the next tick, and not only at the next turn. */
    fun pollSoon() {
        if (!isLeader) nextPollAt = minOf(nextPollAt, context.now)
    }

    private fun campaign(
        leaderStamp: Long,
        cause: String,
    ) {
        campaigning = true
        store.get(TERM, RequestPriority.LEADERSHIP) { read ->
            val found = (read as? ReadResult.Found)?.value
            if (read is ReadResult.Failed) {
                campaigning = false
                return@get
            }
            val next = (found?.value?.path("n")?.asLong() ?: 0L) + 1
            val sentAt = context.now
            store.grantLease((ttlSeconds * 1000).toLong()) { lease ->
                val led = found?.value?.let(::ledLately) ?: if (found == null) emptyMap() else null
                if (lease ==
                    null
                ) {
                    campaigning = false
                } else {
                    claim(Candidacy(leaderStamp, found?.modRevision ?: 0, next, lease, sentAt, led, cause))
                }
            }
        }
    }

    /** What a member stands for election with. */
    private class Candidacy(
        val leaderStamp: Long,
        val termStamp: Long,
        val term: Long,
        val lease: Long,
        val leaseSentAt: Double,
        /** Null where the rows do not say who led. */
        val led: Map<String, Long>?,
        val cause: String,
    )

    private fun claim(candidacy: Candidacy) {
        val next = candidacy.term
        val transaction =
            Transaction(
                listOf(Condition(LEADER, candidacy.leaderStamp), Condition(TERM, candidacy.termStamp)),
                listOf(
                    Change.Put(LEADER, leaderRow(settings.member, next), candidacy.lease),
                    Change.Put(TERM, termRow(next, settings.member, candidacy.led.orEmpty())),
                ),
            )
        store.commit(transaction, RequestPriority.LEADERSHIP) { result ->
            campaigning = false
            if (result is TransactionResult.Committed) {
                // Our own former self is dead; where the row tells no history, anyone may have led.
                formerLeaders = (candidacy.led?.keys ?: settings.others.mapTo(HashSet()) { it.member }) - settings.member
                previousLeaders = candidacy.led.orEmpty()
                elected(next, result.revision, candidacy.lease, candidacy.leaseSentAt, candidacy.cause)
            } else {
                // Where the outcome is unknown the next poll finds our own name and takes over with a further term.
                store.revokeLease(candidacy.lease)
            }
        }
    }

    private fun leaderRow(
        member: String,
        term: Long,
    ): JsonNode =
        Json.obj {
            put("member", member)
            put("term", term)
        }

    // --- planned handover

    /**
     * Names [successor] as the leader of the next term, whose row hangs on the successor's own [lease]. From the moment the transaction
     * leaves until its outcome is known this member decides nothing.
     */
    fun transfer(
        successor: String,
        lease: Long,
        onResult: (TransferOutcome) -> Unit,
    ) {
        val keptMillis = (answerBoundSeconds * HISTORY_BOUNDS * MILLIS_PER_SECOND).toLong()
        val led = (previousLeaders + (settings.member to context.wallMillis)).filterValues { context.wallMillis - it < keptMillis }
        val transaction =
            Transaction(
                listOf(Condition(LEADER, fence), Condition(TERM, fence)),
                listOf(
                    Change.Put(LEADER, leaderRow(successor, term + 1), lease),
                    Change.Put(TERM, termRow(term + 1, successor, led)),
                ),
            )
        transfer.begin(transaction, ttlSeconds) { outcome ->
            when (outcome) {
                TransferOutcome.Done -> handedOver(successor, term + 1)
                is TransferOutcome.Deposed -> stepDown(outcome.reason)
                is TransferOutcome.Refused -> nextRenewAt = context.now
            }
            onResult(outcome)
        }
    }

    private fun handedOver(
        successor: String,
        newTerm: Long,
    ) {
        stepDown("handed over to $successor")
        observeLeader(successor, newTerm)
        broadcastStatus()
    }

    /**
     * Takes over [newTerm], which its leader has handed to this member: the row hangs on [lease], last renewed by a call sent at
     * [leaseSentAt]. False where that lease may have ended, so that somebody else may lead.
     */
    fun adopt(
        newTerm: Long,
        termRow: Row,
        lease: Long,
        leaseSentAt: Double,
    ): Boolean {
        if (isLeader || newTerm <= term || context.now >= leaseSentAt + ttlSeconds * (1 - DRIFT) - MARGIN_SECONDS) return false
        val led = ledBefore(termRow.value)
        formerLeaders = led.keys - settings.member
        previousLeaders = led
        elected(newTerm, termRow.modRevision, lease, leaseSentAt, "handed over by ${knownLeader ?: "its leader"}")
        return true
    }

    private fun ledBefore(row: JsonNode): Map<String, Long> =
        row.path("led").properties().associate { (member, endedMillis) -> member to endedMillis.asLong() }

    /**
     * Who led before, and when its term ended: of those within the bound some may still answer workers. Null where the row does not
     * say.
     */
    private fun ledLately(row: JsonNode): Map<String, Long>? {
        if (!row.path("led").isObject) return null
        val last = row.path("by").takeIf { it.isTextual }?.asText() ?: return null
        val led = ledBefore(row) + (last to context.wallMillis)
        val keptMillis = (answerBoundSeconds * HISTORY_BOUNDS * MILLIS_PER_SECOND).toLong()
        return led.filterValues { context.wallMillis - it < keptMillis }
    }

    private fun termRow(
        next: Long,
        member: String,
        led: Map<String, Long>,
    ): JsonNode =
        Json.obj {
            put("n", next)
            put("by", member)
            putObject("led").also { all -> led.forEach { (member, endedMillis) -> all.put(member, endedMillis) } }
        }

    private fun elected(
        newTerm: Long,
        revision: Long,
        lease: Long,
        sentAt: Double,
        cause: String,
    ) {
        term = newTerm
        highestTerm = maxOf(highestTerm, newTerm)
        fence = revision
        leaseId = lease
        isLeader = true
        stalledInTerm = false
        lastTickAt = context.now
        renewing = false
        renewedAt = sentAt
        nextRenewAt = context.now
        electedAt = context.now
        silentPeers.clear()
        silentSince = 0.0
        knownLeader = settings.member
        store.setLeader(true)
        context.info("leader change: ${settings.member} leads term $term: $cause")
        listener.onElected(cause)
        broadcastStatus()
    }

    fun observeLeader(
        leader: String,
        atTerm: Long,
    ) {
        if (atTerm < highestTerm) return
        highestTerm = atTerm
        if (isLeader && atTerm > term) stepDown("$leader leads term $atTerm")
        if (!isLeader) {
            if (knownLeader != leader) {
                context.info("leader change: $leader leads term $atTerm")
                listener.onLearned(leader, atTerm)
            }
            knownLeader = leader
            knownLeaderAt = context.now
        }
    }

    fun onPeerStatus(status: PeerMessage.Status) {
        peerHeardAt = context.now
        // A member that follows a later leader tells of it as well: that leader itself may be out of reach.
        if (status.isLeader) {
            observeLeader(status.from, status.term)
        } else if (status.leader.isNotEmpty()) {
            onLaterTermReported(status)
        }
        val confirms = isLeader && status.from in formerLeaders && !status.mayAnswerWorkers && status.term >= term
        if (confirms && silentPeers.add(status.from)) silentSince = context.now
    }

    private fun onLaterTermReported(status: PeerMessage.Status) {
        if (isLeader && status.term > term && status.leader != settings.member) observeLeader(status.leader, status.term)
    }

    fun broadcastStatus(zonesWithoutHeartbeats: List<String> = emptyList()) {
        val message =
            PeerMessage.Status(
                settings.member,
                highestTerm,
                knownLeader.orEmpty(),
                isLeader,
                mayAnswerWorkers,
                store.isServing,
                zonesWithoutHeartbeats,
                listener.statusOfFailover(),
            )
        settings.others.forEach { context.send(it.member, message) }
    }

    internal companion object {
        const val LEADER = "leader"
        const val TERM = "term"

        /** The cause of a deposition by the fence; operators see it. */
        const val TERM_PASSED = "its term has been passed"

        /** Between two statuses of a member. */
        const val STATUS_INTERVAL_SECONDS = 0.5

        /** Twice the drift that the protocol allows between two steady clocks. */
        const val DRIFT = 0.001
        const val MARGIN_SECONDS = 0.05
        private const val OK = 200

        /** A renewal is due every quarter of the lease and waits a third of it for its answer. */
        private const val STALL_FRACTION = 4

        /** A lease is never longer than so many usual ones, since that is how long a dead leader is missed. */
        private const val MAX_TTL_FACTOR = 4

        /** How long one watch of the leader's row stays open, and within which part of its lease all look after a change. */
        private const val WATCH_TTLS = 3

        /** A member that is less prepared than another waits this part of the lease before it stands for election. */
        private const val DEFER_FRACTION = 8
        private const val WATCH_SPREAD = 24

        /** The times of day of two members differ by far less than the bound for which a leader that was is remembered. */
        const val HISTORY_BOUNDS = 2
        const val MILLIS_PER_SECOND = 1000
    }
}
