package burlridge.leadership

import burlridge.core.StepContext
import burlridge.store.LeaseGrant
import burlridge.store.ReadResult
import burlridge.store.RequestPriority
import burlridge.store.Row
import burlridge.store.StoreClient
import burlridge.store.TransactionResult

/** A term that this member has won, by election or by a planned handover. */
internal data class WonElection(
    val term: Long,
    /** The revision of the term row, the fencing token of the term. */
    val fencingToken: Long,
    val leaseId: Long,
    /** Monotonic time at which the request that granted or last renewed the lease was sent, in seconds. */
    val leaseRenewedAt: Double,
    /** Earlier leaders; see [TermRow.formerLeaders]. */
    val formerLeaders: Map<String, Long>?,
    val cause: ElectionCause,
)

/**
 * Runs while this member does not lead: polls and watches the leader row, and campaigns for leadership when the row names no other member.
 * An election is one compare-and-swap of the leader row and the term row.
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

    /** Time of the first poll that found no leader row; null after a poll that found one. */
    private var absentSince: Double? = null

    /** Polls the leader row if a poll is due. */
    fun tick() {
        if (!isCampaigning && context.now >= nextPollAt) poll()
    }

    /** Schedules a poll for the next tick, after this member was deposed. */
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
            // Unless the term was handed over to this member, the row dates from before it restarted or was deposed. No other member can be
            // elected while the row exists.
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

    /** Schedules a poll at a random time, different for each member, so that one campaigns and the others find its row. */
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

    /** Parameters of one attempt to win an election. */
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
            newTermTransaction(revisions, candidacy.term, member, candidacy.leaseId, candidacy.formerLeaders.orEmpty())
        store.commit(transaction, RequestPriority.LEADERSHIP) { result ->
            isCampaigning = false
            if (result is TransactionResult.Committed) {
                onWon(candidacy.toWonElection(fencingToken = result.revision))
            } else {
                // If the outcome is unknown, the row may exist: a poll that finds it naming this member campaigns for a further term.
                store.revokeLease(candidacy.leaseId)
            }
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000

        /** Approximate number of polls per time to live of the lease; each interval has a random factor between 0.8 and 1.2. */
        const val POLLS_PER_TTL = 6
        const val MIN_POLL_JITTER = 0.8
        const val POLL_JITTER_RANGE = 0.4

        /** Maximum duration of one watch of the leader row, in times to live of the lease. */
        const val WATCH_TIMEOUT_TTLS = 3

        /** After a change of the leader row, all members poll it within the time to live of the lease divided by this. */
        const val WATCH_SPREAD_DIVISOR = 24

        /** A member that is less prepared than another waits the time to live of the lease divided by this before it campaigns. */
        const val DEFERRAL_DIVISOR = 8
    }
}
