package burlridge.leadership

import burlridge.core.StepContext
import burlridge.store.LeaseGrant
import burlridge.store.ReadResult
import burlridge.store.RequestPriority
import burlridge.store.Row
import burlridge.store.StoreClient
import burlridge.store.TransactionResult

/** A term that this member has won. */
internal data class WonElection(
    val term: Long,
    /** The revision of the term row, the fencing token of the term. */
    val fencingToken: Long,
    val leaseId: Long,
    /** When the call was sent that granted or last renewed the lease. */
    val leaseRenewedAt: Double,
    /** Who led before, see [TermRow.formerLeaders]. */
    val formerLeaders: Map<String, Long>?,
    val cause: ElectionCause,
)

/**
 * What a member does while it does not lead: it polls and watches the leader row, and stands for election when there is no other leader. An
 * election is one compare-and-swap of the leader row and the term row.
 */
internal class ElectionCampaign(
    private val context: StepContext,
    private val store: StoreClient,
    private val leadership: Leadership,
    private val listener: LeadershipListener,
    private val lease: LeaderLease,
    private val formerLeaders: FormerLeaders,
    private val onWon: (WonElection) -> Unit,
) {
    private val member = context.settings.member
    private val watch = LeaderRowWatch(store, ::onLeaderRowChanged)
    private var isCampaigning = false
    private var nextPollAt = 0.0

    /** Since when this member has found no leader row; null while there is one. */
    private var absentSince: Double? = null

    /** Polls the leader's row when that is due. */
    fun tick() {
        if (!isCampaigning && context.now >= nextPollAt) poll()
    }

    /** This member was deposed: the leader row is read at the next tick. */
    fun restart() {
        nextPollAt = context.now
    }

    /** Reads the leader row at the next tick instead of at the next regular poll. */
    fun pollSoon() {
        if (!leadership.isLeader) nextPollAt = minOf(nextPollAt, context.now)
    }

    private fun poll() {
        nextPollAt = context.now + lease.ttlSeconds / POLLS_PER_TTL * (MIN_POLL_JITTER + POLL_JITTER_RANGE * context.random.nextDouble())
        store.get(LeaderRow.KEY, RequestPriority.LEADERSHIP) { read ->
            if (leadership.isLeader || isCampaigning) return@get
            when (read) {
                is ReadResult.Found -> onLeaderRowFound(read.value)
                ReadResult.Absent -> onLeaderRowAbsent()
                ReadResult.Failed -> Unit
            }
        }
    }

    private fun onLeaderRowFound(row: Row) {
        absentSince = null
        val leader = LeaderRow.decode(row.value)
        if (leader.member == member) {
            // Unless it was handed over, our former self held it and is dead: nobody else can be elected meanwhile.
            if (!listener.onTermHandedOver(leader.term)) campaign(row.modRevision, ElectionCause.OwnRowFound)
        } else {
            leadership.observeLeader(leader.member, leader.term)
            watch.watch(row.modRevision, lease.ttlSeconds * WATCH_TIMEOUT_TTLS)
        }
    }

    private fun onLeaderRowAbsent() {
        val since = absentSince ?: context.now.also { absentSince = it }
        val deferredUntil = since + lease.ttlSeconds / DEFERRAL_DIVISOR
        if (listener.defersElection() && context.now < deferredUntil) {
            nextPollAt = deferredUntil
        } else {
            campaign(0, ElectionCause.LeaseExpired)
        }
    }

    /** All members read the row, at different moments, so that one campaigns and the others find its row. */
    private fun onLeaderRowChanged() {
        if (leadership.isLeader) return
        nextPollAt = minOf(nextPollAt, context.now + lease.ttlSeconds / WATCH_SPREAD_DIVISOR * context.random.nextDouble())
    }

    private fun campaign(
        leaderRowRevision: Long,
        cause: ElectionCause,
    ) {
        isCampaigning = true
        store.get(TermRow.KEY, RequestPriority.LEADERSHIP) { read ->
            when (read) {
                is ReadResult.Found -> {
                    acquireLease(
                        LeadershipRevisions(leaderRowRevision, read.value.modRevision),
                        TermRow.decode(read.value.value),
                        cause,
                    )
                }

                ReadResult.Absent -> {
                    acquireLease(LeadershipRevisions(leaderRowRevision, 0), null, cause)
                }

                ReadResult.Failed -> {
                    isCampaigning = false
                }
            }
        }
    }

    private fun acquireLease(
        revisions: LeadershipRevisions,
        lastTerm: TermRow?,
        cause: ElectionCause,
    ) {
        val sentAt = context.now
        store.grantLease((lease.ttlSeconds * MILLIS_PER_SECOND).toLong()) { grant ->
            if (grant !is LeaseGrant.Granted) {
                isCampaigning = false
                return@grantLease
            }
            val updatedFormerLeaders = if (lastTerm == null) emptyMap() else formerLeaders.afterTerm(lastTerm)
            claimLeadership(revisions, Candidacy((lastTerm?.term ?: 0L) + 1, grant.leaseId, sentAt, updatedFormerLeaders, cause))
        }
    }

    /** What this member stands for election with. */
    private class Candidacy(
        val term: Long,
        val leaseId: Long,
        val leaseGrantSentAt: Double,
        /** See [TermRow.formerLeaders]. */
        val formerLeaders: Map<String, Long>?,
        val cause: ElectionCause,
    ) {
        fun toWonElection(fencingToken: Long) = WonElection(term, fencingToken, leaseId, leaseGrantSentAt, formerLeaders, cause)
    }

    private fun claimLeadership(
        revisions: LeadershipRevisions,
        candidacy: Candidacy,
    ) {
        val transaction =
            beginTermTransaction(revisions, candidacy.term, member, candidacy.leaseId, candidacy.formerLeaders.orEmpty())
        store.commit(transaction, RequestPriority.LEADERSHIP) { result ->
            isCampaigning = false
            if (result is TransactionResult.Committed) {
                onWon(candidacy.toWonElection(fencingToken = result.revision))
            } else {
                // Where the outcome is unknown the next poll finds our own name and takes over with a further term.
                store.revokeLease(candidacy.leaseId)
            }
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000

        /** The leader row is read about so many times in a lease, with a jitter between 0.8 and 1.2. */
        const val POLLS_PER_TTL = 6
        const val MIN_POLL_JITTER = 0.8
        const val POLL_JITTER_RANGE = 0.4

        /** How long one watch of the leader row stays open, in leases. */
        const val WATCH_TIMEOUT_TTLS = 3

        /** All members read the leader row within this part of the lease after it has changed. */
        const val WATCH_SPREAD_DIVISOR = 24

        /** A member that is less prepared than another waits this part of the lease before it stands for election. */
        const val DEFERRAL_DIVISOR = 8
    }
}
