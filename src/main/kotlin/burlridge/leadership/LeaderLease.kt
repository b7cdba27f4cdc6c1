package burlridge.leadership

import burlridge.core.StepContext
import burlridge.store.LeaseRenewal
import burlridge.store.StoreClient

/**
 * The lease that the leader row is attached to: its renewal, and the times until which this leader may act on it. All times are of the
 * steady clock, in seconds.
 */
internal class LeaderLease(
    private val context: StepContext,
    private val store: StoreClient,
    /** Called when the state service says that the lease of the current term no longer exists. */
    private val onExpired: () -> Unit,
) {
    private val workers = context.settings.workers
    private val defaultTtlSeconds = workers.reportSeconds * context.settings.operator.leaseReports

    /**
     * The time to live of this member's leases. It is doubled when the member is deposed after a stall, so that two members that are
     * merely slow do not depose each other in turns.
     */
    var ttlSeconds: Double = defaultTtlSeconds
        private set

    /**
     * How long after its last good renewal was sent a leader may still answer workers. Together with a worker's lease and a
     * margin it stays below the time a cancellation has, so that what a cut-off leader keeps alive is gone in time.
     */
    val answerWindowSeconds: Double = (workers.cancelSeconds - workers.leaseSeconds) * ANSWER_WINDOW_FRACTION

    /** Stalls of this member noticed while it led, since the process began. */
    var stallCount: Long = 0
        private set

    /** The lease of the current term; null while this member does not lead. */
    private var leaseId: Long? = null

    /** When the renewal, or the grant, was sent that last succeeded. */
    private var renewedAt = 0.0
    private var nextRenewAt = 0.0
    private var isRenewing = false
    private var lastTickAt = 0.0

    /** Whether this member stalled in this term for so long that a renewal may have been late. */
    private var hasStalledInTerm = false

    /** No other member can have been elected before this time, unless the leadership is being transferred. */
    val validUntil: Double get() = validUntil(renewedAt)

    /** This leader may answer workers until this time. */
    val mayAnswerUntil: Double get() = renewedAt + answerWindowSeconds * (1 - CLOCK_DRIFT)

    /** Until when a lease last renewed by a call sent at [renewedAt] certainly exists. */
    fun validUntil(renewedAt: Double): Double = renewedAt + ttlSeconds * (1 - CLOCK_DRIFT) - VALIDITY_MARGIN_SECONDS

    /** A term begins under [leaseId], which was granted or last renewed by a call sent at [renewedAt]. */
    fun begin(
        leaseId: Long,
        renewedAt: Double,
    ) {
        this.leaseId = leaseId
        this.renewedAt = renewedAt
        hasStalledInTerm = false
        lastTickAt = context.now
        isRenewing = false
        nextRenewAt = context.now
    }

    /** The term is over. */
    fun end() {
        leaseId = null
        if (hasStalledInTerm) ttlSeconds = minOf(ttlSeconds * 2, defaultTtlSeconds * MAX_TTL_FACTOR)
    }

    /** Notices a stall of this process, which is a late tick. */
    fun tick() {
        val hasStalled = leaseId != null && context.now > lastTickAt + ttlSeconds / STALL_DIVISOR
        if (hasStalled) {
            stallCount++
            hasStalledInTerm = true
        }
        lastTickAt = context.now
    }

    /** Renews the lease a few times within its time to live. */
    fun renewIfDue() {
        val id = leaseId ?: return
        if (!isRenewing && context.now >= nextRenewAt) renew(id)
    }

    /** Renews at the next tick. */
    fun renewSoon() {
        nextRenewAt = context.now
    }

    private fun renew(id: Long) {
        isRenewing = true
        val sentAt = context.now
        store.renewLease(id, ttlSeconds / RENEWAL_TIMEOUT_DIVISOR) { renewal ->
            isRenewing = false
            if (leaseId != id) return@renewLease
            when (renewal) {
                LeaseRenewal.RENEWED -> {
                    renewedAt = sentAt
                    nextRenewAt = sentAt + ttlSeconds / RENEWALS_PER_TTL
                }

                LeaseRenewal.EXPIRED -> {
                    onExpired()
                }

                LeaseRenewal.UNKNOWN -> {
                    nextRenewAt = context.now + ttlSeconds / RETRIES_PER_TTL
                }
            }
        }
    }

    internal companion object {
        /** Twice the drift that the protocol allows between two steady clocks. */
        const val CLOCK_DRIFT: Double = 0.001
        private const val VALIDITY_MARGIN_SECONDS = 0.05
        private const val ANSWER_WINDOW_FRACTION = 0.7

        /** A renewal is due every quarter of the lease and waits a third of it for its answer. */
        private const val RENEWALS_PER_TTL = 4
        private const val RENEWAL_TIMEOUT_DIVISOR = 3
        private const val RETRIES_PER_TTL = 12

        /** A tick that is late by this part of the lease counts as a stall. */
        private const val STALL_DIVISOR = 4

        /** Bounds [ttlSeconds], since a dead leader is missed for as long as its lease lasts. */
        private const val MAX_TTL_FACTOR = 4
    }
}
