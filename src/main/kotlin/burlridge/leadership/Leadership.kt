package burlridge.leadership

import burlridge.core.Effect
import burlridge.core.StepContext
import burlridge.message.PeerMessage
import burlridge.store.Condition
import burlridge.store.StoreClient

/**
 * Tracks which member leads, as far as this member knows, and what this member may do as leader. At most one member leads a term: the
 * leader row is attached to a lease, and terms are counted by compare-and-swap of the term row, whose revision fences every write of the
 * leader.
 */
internal class Leadership(
    private val context: StepContext,
    private val store: StoreClient,
    private val listener: LeadershipListener,
) {
    private val settings = context.settings
    private val enforcesSendDeadlines = settings.operator.failover != null
    private val lease = LeaderLease(context, store) { stepDown(StepDownReason.LeaseExpired) }
    private val formerLeaders = FormerLeaders(context, lease.answerWindowSeconds)
    private val campaign = ElectionCampaign(context, store, this, listener, lease, formerLeaders, ::onWon)
    private val statuses = StatusExchange(context, store, this, listener)
    private val transfer = LeadershipTransfer(context, store)

    /** The term that this member leads or last led; 0 before its first. */
    var term: Long = 0
        private set

    /** Fencing token of every write of this leader: the revision of the term row. */
    var fencingToken: Long = 0
        private set
    var isLeader: Boolean = false
        private set

    /** Monotonic time at which this member's current or last term began, in seconds. */
    var electedAt: Double = 0.0
        private set

    /** The leader as far as this member knows, which may be this member; null if unknown. */
    var knownLeader: String? = null
        private set

    /** The highest term that this member knows of. */
    var knownTerm: Long = 0
        private set

    /** Number of stalls of this member detected while it led, since the process started. */
    val stallCount: Long get() = lease.stallCount

    /** Time to live of the leader's lease, in seconds. */
    val leaseTtlSeconds: Double get() = lease.ttlSeconds

    /** Monotonic time after which a command decided now must not be sent, since another member may have been elected. */
    val commandDeadline: Double get() = if (enforcesSendDeadlines) lease.validUntil else Effect.NO_DEADLINE

    /** Monotonic time after which answers to workers, and commands that stop cancelled jobs, must not be sent. */
    val responseDeadline: Double get() = if (enforcesSendDeadlines) lease.mayAnswerUntil else Effect.NO_DEADLINE

    /**
     * Whether this member leads and no other member can have been elected. False while a transfer of this term may have been executed: the
     * leader makes no decisions during that time.
     */
    val holdsLease: Boolean get() = isLeader && !transfer.isInProgress && context.now < lease.validUntil

    /**
     * Whether this leader may answer workers. That outlasts [holdsLease], to cover an outage that affects all members. A leader that
     * receives messages from neither the key-value store nor any other member is itself partitioned, and its workers are better served by
     * its successor.
     */
    val mayAnswerWorkers: Boolean
        get() = isLeader && context.now < lease.mayAnswerUntil && (holdsLease || settings.others.isEmpty() || !isPartitioned)
    private val isPartitioned: Boolean get() = context.now > statuses.lastReceivedAt + lease.ttlSeconds

    /** Monotonic time after which no other member can be answering workers under an earlier term, in seconds. */
    val formerLeadersAnswerUntil: Double get() = formerLeaders.answerUntil

    /** The condition that fences every write of this leader. */
    fun fenceCondition(): Condition = Condition(TERM_ROW_KEY, fencingToken)

    /** Returns a check, to be called later, of whether this member still leads [term]. */
    fun whileLeading(term: Long): () -> Boolean = { isLeader && this.term == term }

    /** Renews the lease if this member leads; polls the leader row if it does not. */
    fun tick() {
        lease.tick()
        if (!isLeader) {
            campaign.tick()
        } else if (!transfer.isInProgress) {
            // No renewal during a transfer: the last renewal bounds how long this member answers workers, and the next leader counts that
            // bound from its own election, which the renewal must therefore precede.
            lease.renewIfDue()
        }
    }

    /** Reads the leader row at the next tick instead of at the next regular poll. */
    fun pollSoon() = campaign.pollSoon()

    /** Ends the term of this member; does nothing if it does not lead. */
    fun stepDown(reason: StepDownReason) {
        if (!isLeader) return
        isLeader = false
        transfer.cancel()
        lease.end()
        context.info("leader deposed", "term" to term, "reason" to reason.text)
        knownLeader = null
        campaign.restart()
        store.setLeader(false)
        listener.onDeposed(term, reason)
    }

    /** Steps down because a write found the term row changed: another member has been elected since. */
    fun stepDownOnSupersededTerm() = stepDown(StepDownReason.TermSuperseded)

    /**
     * Names [successor] as the leader of the next term, with the leader row attached to the successor's own [leaseId]. This member makes no
     * decisions from the moment the transaction is sent until its outcome is known.
     */
    fun transfer(
        successor: String,
        leaseId: Long,
        onResult: (TransferOutcome) -> Unit,
    ) {
        val transaction =
            newTermTransaction(LeadershipRevisions(fencingToken, fencingToken), term + 1, successor, leaseId, formerLeaders.afterOwnTerm())
        transfer.begin(transaction, fencingToken, lease.ttlSeconds) { outcome ->
            when (outcome) {
                TransferOutcome.Completed -> onHandedOver(successor, term + 1)
                is TransferOutcome.Deposed -> stepDown(outcome.reason)
                is TransferOutcome.Aborted -> lease.renewSoon()
            }
            onResult(outcome)
        }
    }

    private fun onHandedOver(
        successor: String,
        newTerm: Long,
    ) {
        stepDown(StepDownReason.HandedOver(successor))
        observeLeader(successor, newTerm)
        broadcastStatus()
    }

    /**
     * Takes over the term of [termRow], which the previous leader has transferred to this member, under [fencingToken]. The leader row is
     * attached to [leaseId], whose last renewal was sent at [leaseRenewedAt]. Returns false if that lease may have expired, so that another
     * member may lead, and if this member leads already or has led this term or a later one.
     */
    fun takeOverTerm(
        termRow: TermRow,
        fencingToken: Long,
        leaseId: Long,
        leaseRenewedAt: Double,
    ): Boolean {
        if (isLeader || termRow.term <= term || context.now >= lease.validUntil(leaseRenewedAt)) return false
        val cause = ElectionCause.HandedOver(knownLeader)
        onWon(WonElection(termRow.term, fencingToken, leaseId, leaseRenewedAt, termRow.formerLeaders.orEmpty(), cause))
        return true
    }

    private fun onWon(election: WonElection) {
        term = election.term
        knownTerm = maxOf(knownTerm, election.term)
        fencingToken = election.fencingToken
        isLeader = true
        electedAt = context.now
        lease.begin(election.leaseId, election.leaseRenewedAt)
        formerLeaders.beginTerm(election.formerLeaders)
        knownLeader = settings.member
        store.setLeader(true)
        context.info("leader elected", "member" to settings.member, "term" to term, "cause" to election.cause.text)
        listener.onElected(election.cause)
        broadcastStatus()
    }

    /** Records that [leader] leads [atTerm]; a term below the known one is ignored. */
    fun observeLeader(
        leader: String,
        atTerm: Long,
    ) {
        if (atTerm < knownTerm) return
        knownTerm = atTerm
        if (isLeader && atTerm > term) stepDown(StepDownReason.LaterTermObserved(leader, atTerm))
        if (isLeader) return
        if (knownLeader != leader) {
            context.info("new leader observed", "leader" to leader, "term" to atTerm)
            listener.onLeaderObserved(leader, atTerm)
        }
        knownLeader = leader
    }

    /** Handles a status of another member. */
    fun onPeerStatus(status: PeerMessage.Status) {
        statuses.onReceived(status)
        if (isLeader && !status.mayAnswerWorkers && status.term >= term) formerLeaders.onConfirmed(status.from)
    }

    /** Sends this member's status to all others. */
    fun broadcastStatus(zonesWithoutHeartbeats: List<String> = emptyList()) = statuses.broadcast(zonesWithoutHeartbeats)

    internal companion object {
        /** The key of the term row, on which every write of a leader is conditional. */
        const val TERM_ROW_KEY: String = TermRow.KEY

        /** Interval between two statuses of a member. */
        const val STATUS_INTERVAL_SECONDS: Double = 0.5

        /** Twice the drift that the protocol allows between two monotonic clocks, as a fraction of the time that passes. */
        const val CLOCK_DRIFT: Double = LeaderLease.CLOCK_DRIFT
    }
}
