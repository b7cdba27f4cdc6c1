package burlridge.leadership

import burlridge.core.StepContext
import burlridge.store.LeaseRenewal
import burlridge.store.StoreClient

/**
 * Renews the lease that the leader row is attached to, and computes the times until which this leader may act. All times are monotonic, in
 * seconds.
 */
internal class LeaderLease(
    private val context: StepContext,
    private val store: StoreClient,
    /** Called when the key-value store reports that the lease of the current term no longer exists. */
    private val onExpired: () -> Unit,
) {
    private val workers = context.settings.workers
    private val defaultTtlSeconds = workers.reportSeconds * context.settings.operator.leaseReports

    /**
     * Time to live of this member's leases, in seconds. It is doubled when the member is deposed after a stall, so that two members that
     * are merely slow do not depose each other in turn.
     */
    var ttlSeconds: Double = defaultTtlSeconds
        private set

    /**
     * How long after it sent its last successful renewal a leader may still answer workers. Together with a worker's lease and a margin it
     * stays below the time limit of a cancellation, so that tasks kept alive by a partitioned leader end within that limit.
     */
    val answerWindowSeconds: Double = (workers.cancelSeconds - workers.leaseSeconds) * ANSWER_WINDOW_FRACTION

    /** Number of stalls of this member detected while it led, since the process started. */
    var stallCount: Long = 0
        private set

    /** The lease of the current term; null while this member does not lead. */
    private var leaseId: Long? = null

    /** When the last successful renewal or grant was sent. */
    private var renewedAt = 0.0
    private var nextRenewAt = 0.0
    private var isRenewing = false
    private var lastTickAt = 0.0

    /** Whether this member stalled in this term long enough for a renewal to have been late. */
    private var hasStalledInTerm = false

    /** Time before which no other member can have been elected, unless the leadership is being transferred. */
    val validUntil: Double get() = validUntil(renewedAt)

    /** Time until which this leader may answer workers. */
    val mayAnswerUntil: Double get() = renewedAt + answerWindowSeconds * (1 - CLOCK_DRIFT)

    /** Returns the time until which a lease certainly exists if its last renewal was sent at [renewedAt]. */
    fun validUntil(renewedAt: Double): Double = renewedAt + ttlSeconds * (1 - CLOCK_DRIFT) - VALIDITY_MARGIN_SECONDS

    /** Begins a term under [leaseId], whose grant or last renewal was sent at [renewedAt]. */
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

    /** Ends the term. */
    fun end() {
        leaseId = null
        if (hasStalledInTerm) ttlSeconds = minOf(ttlSeconds * 2, defaultTtlSeconds * MAX_TTL_FACTOR)
    }

    /** Detects a stall of this process by a late tick. */
    fun tick() {
        val hasStalled = leaseId != null && context.now > lastTickAt + ttlSeconds / STALL_DIVISOR
        if (hasStalled) {
            stallCount++
            hasStalledInTerm = true
        }
        lastTickAt = context.now
    }

    /** Renews the lease if a renewal is due, which is several times within its time to live. */
    fun renewIfDue() {
        val id = leaseId ?: return
        if (!isRenewing && context.now >= nextRenewAt) renew(id)
    }

    /** Schedules a renewal for the next tick. */
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
        /** Twice the drift that the protocol allows between two monotonic clocks, as a fraction of the time that passes. */
        const val CLOCK_DRIFT: Double = 0.001
        private const val VALIDITY_MARGIN_SECONDS = 0.05
        private const val ANSWER_WINDOW_FRACTION = 0.7

        /** A renewal is due every quarter of the time to live and times out after a third of it. */
        private const val RENEWALS_PER_TTL = 4
        private const val RENEWAL_TIMEOUT_DIVISOR = 3
        private const val RETRIES_PER_TTL = 12

        /** A tick later than the time to live divided by this after the previous one counts as a stall. */
        private const val STALL_DIVISOR = 4

        /** Bounds [ttlSeconds] to a multiple of its default, since a failed leader is not replaced before its lease expires. */
        private const val MAX_TTL_FACTOR = 4
    }
}
