package burlridge.leadership

import burlridge.core.Effect
import burlridge.core.StepContext
import burlridge.message.PeerMessage
import burlridge.store.Condition
import burlridge.store.StoreClient

/**
 * Which member leads, as this member knows it, and what this member may do about it. At most one member leads a term: the leader row is
 * attached to a lease, and terms are counted by compare-and-swap of the term row, whose revision fences every write of the leader.
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

    /** The term that this member leads, or led last; 0 before the first. */
    var term: Long = 0
        private set

    /** The revision of the term row, the fencing token of every write of this leader. */
    var fencingToken: Long = 0
        private set
    var isLeader: Boolean = false
        private set

    /** When this member's current or last term began, by the steady clock. */
    var electedAt: Double = 0.0
        private set

    /** The member that leads as far as is known, which may be this one; null where it is not known. */
    var knownLeader: String? = null
        private set

    /** The highest term that this member knows of. */
    var knownTerm: Long = 0
        private set

    /** Stalls of this member noticed while it led, in this process. */
    val stallCount: Long get() = lease.stallCount

    /** The time to live of the leader's lease. */
    val leaseTtlSeconds: Double get() = lease.ttlSeconds

    /** A command decided now must not leave after this time of the steady clock, since another member may have been elected. */
    val commandDeadline: Double get() = if (enforcesSendDeadlines) lease.validUntil else Effect.NO_DEADLINE

    /** The same for answers to workers and for the stops of cancelled jobs. */
    val responseDeadline: Double get() = if (enforcesSendDeadlines) lease.mayAnswerUntil else Effect.NO_DEADLINE

    /**
     * True while no other member can have been elected. False while a transfer of this term may have been carried out: nothing is decided
     * meanwhile.
     */
    val holdsLease: Boolean get() = isLeader && !transfer.isInProgress && context.now < lease.validUntil

    /**
     * True while this leader may answer workers, a while beyond [holdsLease]: through an outage that all members share. One that
     * hears neither the state service nor any member is cut off itself, and its workers are better off with whoever follows.
     */
    val mayAnswerWorkers: Boolean
        get() = isLeader && context.now < lease.mayAnswerUntil && (holdsLease || settings.others.isEmpty() || !isIsolated)
    private val isIsolated: Boolean get() = context.now > statuses.lastReceivedAt + lease.ttlSeconds

    /** No other member can be answering workers by an earlier term after this time of the steady clock. */
    val formerLeadersAnswerUntil: Double get() = formerLeaders.answerUntil

    /** The condition that fences every write of this leader. */
    fun fenceCondition(): Condition = Condition(TERM_ROW_KEY, fencingToken)

    /** Whether this member still leads [term], to be asked later. */
    fun whileLeading(term: Long): () -> Boolean = { isLeader && this.term == term }

    /** Renews the lease of a leader; lets a follower look for a leader. */
    fun tick() {
        lease.tick()
        if (!isLeader) {
            campaign.tick()
        } else if (!transfer.isInProgress) {
            // What bounds the answers to workers must lie before anything that the next leader confirms: no renewal during a transfer.
            lease.renewIfDue()
        }
    }

    /** Reads the leader row at the next tick instead of at the next regular poll. */
    fun pollSoon() = campaign.pollSoon()

    /** Ends the term of this member; does nothing where it does not lead. */
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
     * Names [successor] as the leader of the next term, whose leader row is attached to the successor's own [leaseId]. From the moment the
     * transaction leaves until its outcome is known this member decides nothing.
     */
    fun transfer(
        successor: String,
        leaseId: Long,
        onResult: (TransferOutcome) -> Unit,
    ) {
        val transaction =
            beginTermTransaction(LeadershipRevisions(fencingToken, fencingToken), term + 1, successor, leaseId, formerLeaders.afterOwnTerm())
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
     * Takes over the term of [termRow], which its leader has transferred to this member, under the fencing token [fencingToken]. The leader row is
     * attached to [leaseId], last renewed by a call sent at [leaseRenewedAt]. False where that lease may have expired, so that another
     * member may lead.
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

    /** [leader] is known to lead [atTerm]; what is older than the known term is passed over. */
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

    /** Takes a status of another member into account. */
    fun onPeerStatus(status: PeerMessage.Status) {
        statuses.onReceived(status)
        if (isLeader && !status.mayAnswerWorkers && status.term >= term) formerLeaders.onConfirmed(status.from)
    }

    /** Sends this member's status to all others. */
    fun broadcastStatus(zonesWithoutHeartbeats: List<String> = emptyList()) = statuses.broadcast(zonesWithoutHeartbeats)

    internal companion object {
        /** The key of the term row, on which every write of a leader is conditional. */
        const val TERM_ROW_KEY: String = TermRow.KEY

        /** Between two statuses of a member. */
        const val STATUS_INTERVAL_SECONDS: Double = 0.5

        /** Twice the drift that the protocol allows between two steady clocks. */
        const val CLOCK_DRIFT: Double = LeaderLease.CLOCK_DRIFT
    }
}
