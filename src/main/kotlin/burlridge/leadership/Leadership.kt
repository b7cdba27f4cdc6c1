package burlridge.leadership

import burlridge.app.Context
import burlridge.app.Json
import burlridge.peer.PeerMessage
import burlridge.store.Condition
import burlridge.store.Op
import burlridge.store.Read
import burlridge.store.Store
import burlridge.store.Txn
import burlridge.store.TxnResult
import burlridge.store.Urgency

/** One leader at a time, by a tethered row and a term raised by compare-and-swap. */
internal class Leadership(
    private val ctx: Context,
    private val store: Store,
    private val events: Events,
) {
    internal interface Events {
        fun onElected()

        fun onDeposed()
    }

    private val settings = ctx.settings
    private val ttlS = settings.workers.reportS * settings.operator.leaseReports

    /**
     * How long after its last good renewal was sent a leader may still answer workers. Together with a worker's lease and a
     * margin it stays below the time a cancellation has, so that what a cut-off leader keeps alive is gone in time.
     */
    val answerBoundS: Double = (settings.workers.cancelS - settings.workers.leaseS) * 0.7

    var term: Long = 0
        private set

    /** The stamp of the term row, the fence of every write of this leader. */
    var fence: Long = 0
        private set
    var leading: Boolean = false
        private set
    var electedAt: Double = 0.0
        private set
    var knownLeader: String? = null
        private set
    private var knownLeaderAt = 0.0
    private var tether = 0L
    private var renewedAt = 0.0
    private var nextRenewAt = 0.0
    private var renewing = false
    private var campaigning = false
    private var nextPollAt = 0.0
    private var highestTerm = 0L
    private val silentPeers = HashSet<String>()

    /** True while no other member can have been elected. */
    val standing: Boolean get() = leading && ctx.now < renewedAt + ttlS * (1 - DRIFT) - MARGIN_S

    /**
     * True while this leader may answer workers, a while beyond [standing]: through an outage that all members share. One that
     * hears neither the state service nor any member is cut off itself, and its workers are better off with whoever follows.
     */
    val answering: Boolean
        get() = leading && ctx.now < renewedAt + answerBoundS * (1 - DRIFT) && (standing || settings.others.isEmpty() || !isolated)
    private val isolated: Boolean get() = ctx.now > peerHeardAt + ttlS
    private var peerHeardAt = 0.0

    /** No other member can be answering workers by an earlier term after this time. */
    val othersAnswerUntil: Double get() = if (silentPeers.size == settings.others.size) silentSince else electedAt + answerBoundS
    private var silentSince = 0.0

    fun tick() {
        if (leading) {
            if (!renewing && ctx.now >= nextRenewAt) renew()
        } else if (!campaigning && ctx.now >= nextPollAt) {
            poll()
        }
    }

    private fun renew() {
        renewing = true
        val sentAt = ctx.now
        val mine = tether
        store.renewLease(mine, ttlS / 3) { status ->
            renewing = false
            if (!leading || tether != mine) return@renewLease
            when (status) {
                200 -> {
                    renewedAt = sentAt
                    nextRenewAt = sentAt + ttlS / 4
                }

                404 -> {
                    stepDown("the lease of the leader row has ended")
                }

                else -> {
                    nextRenewAt = ctx.now + ttlS / 12
                }
            }
        }
    }

    fun stepDown(reason: String) {
        if (!leading) return
        leading = false
        ctx.info("leader change: term $term is over here: $reason")
        knownLeader = null
        nextPollAt = ctx.now
        store.leading(false)
        events.onDeposed()
    }

    private fun poll() {
        nextPollAt = ctx.now + ttlS / 6 * (0.8 + 0.4 * ctx.random.nextDouble())
        store.get(LEADER, Urgency.LEADERSHIP) { read ->
            if (leading || campaigning) return@get
            when (read) {
                is Read.Found -> {
                    val name =
                        read.value.value
                            .path("member")
                            .asText()
                    if (name == settings.member) {
                        // Our former self held it and is dead: nobody else can be elected meanwhile.
                        campaign(read.value.stamp)
                    } else {
                        learn(
                            name,
                            read.value.value
                                .path("term")
                                .asLong(),
                        )
                    }
                }

                Read.Absent -> {
                    campaign(0)
                }

                Read.Failed -> {
                    Unit
                }
            }
        }
    }

    private fun campaign(leaderStamp: Long) {
        campaigning = true
        store.get(TERM, Urgency.LEADERSHIP) { read ->
            val found = (read as? Read.Found)?.value
            if (read is Read.Failed) {
                campaigning = false
                return@get
            }
            val next = (found?.value?.path("n")?.asLong() ?: 0L) + 1
            val sentAt = ctx.now
            store.createLease((ttlS * 1000).toLong()) { lease ->
                if (lease == null) campaigning = false else claim(leaderStamp, found?.stamp ?: 0, next, lease, sentAt)
            }
        }
    }

    private fun claim(
        leaderStamp: Long,
        termStamp: Long,
        next: Long,
        lease: Long,
        sentAt: Double,
    ) {
        val row =
            Json.obj {
                put("member", settings.member)
                put("term", next)
            }
        val txn =
            Txn(
                listOf(Condition(LEADER, leaderStamp), Condition(TERM, termStamp)),
                listOf(Op.Put(LEADER, row, lease), Op.Put(TERM, Json.obj { put("n", next) })),
            )
        store.txn(txn, Urgency.LEADERSHIP) { result ->
            campaigning = false
            if (result is TxnResult.Done) {
                elected(next, result.revision, lease, sentAt)
            } else {
                // Where the outcome is unknown the next poll finds our own name and takes over with a further term.
                store.dropLease(lease)
            }
        }
    }

    private fun elected(
        newTerm: Long,
        revision: Long,
        lease: Long,
        sentAt: Double,
    ) {
        term = newTerm
        highestTerm = maxOf(highestTerm, newTerm)
        fence = revision
        tether = lease
        leading = true
        renewing = false
        renewedAt = sentAt
        nextRenewAt = ctx.now
        electedAt = ctx.now
        silentPeers.clear()
        knownLeader = settings.member
        store.leading(true)
        ctx.info("leader change: ${settings.member} leads term $term")
        events.onElected()
        announce()
    }

    fun learn(
        leader: String,
        atTerm: Long,
    ) {
        if (atTerm < highestTerm) return
        highestTerm = atTerm
        if (leading && atTerm > term) stepDown("$leader leads term $atTerm")
        if (!leading) {
            if (knownLeader != leader) ctx.info("leader change: $leader leads term $atTerm")
            knownLeader = leader
            knownLeaderAt = ctx.now
        }
    }

    fun heard(status: PeerMessage.Status) {
        peerHeardAt = ctx.now
        if (status.leading) learn(status.from, status.term)
        if (leading && !status.answering && status.term >= term && silentPeers.add(status.from)) silentSince = ctx.now
    }

    fun announce() {
        val message = PeerMessage.Status(settings.member, highestTerm, knownLeader.orEmpty(), leading, answering, store.served)
        settings.others.forEach { ctx.send(it.member, message) }
    }

    internal companion object {
        const val LEADER = "leader"
        const val TERM = "term"

        /** Twice the drift that the protocol allows between two steady clocks. */
        const val DRIFT = 0.001
        const val MARGIN_S = 0.05
    }
}
