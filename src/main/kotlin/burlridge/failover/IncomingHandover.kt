package burlridge.failover

import burlridge.core.StepContext
import burlridge.leadership.Leadership
import burlridge.leadership.TermRow
import burlridge.message.HandoverMessage
import burlridge.store.LeaseGrant
import burlridge.store.LeaseRenewal
import burlridge.store.ReadResult
import burlridge.store.RequestPriority
import burlridge.store.StoreClient

/**
 * The successor's side of a planned handover. It keeps a lease ready, to which the leader attaches the leader row, and takes over the
 * term only once it has read a term row that names it.
 */
internal class IncomingHandover(
    private val context: StepContext,
    private val store: StoreClient,
    private val leadership: Leadership,
    private val port: Port,
) {
    /** What the handover needs from the rest of the member. */
    internal interface Port {
        fun send(
            to: String,
            message: HandoverMessage,
        )

        /** Returns the reason why this member should not lead now; null if it can. */
        fun ineligibilityReason(): DeclineReason?
    }

    private var current: AcceptedOffer? = null

    /** The state as text for operators. */
    val description: String get() = current?.let { "ready to take over term ${it.term + 1} from ${it.leader}" } ?: "none"

    /** Accepts the offer once a lease is granted, or declines it; a repeated offer is accepted again. */
    fun onOffer(
        from: String,
        message: HandoverMessage.Offer,
    ) {
        val active = current
        if (active?.attempt == message.attempt) return sendAccept(active)
        val reason = declineReason(from)
        if (reason != null) return port.send(from, HandoverMessage.Decline(message.attempt, reason.text))
        cancel()
        prepare(AcceptedOffer(message.attempt, from, message.term, context.now + leadership.leaseTtlSeconds * TRANSFER_TIMEOUT_LEASES))
    }

    private fun declineReason(from: String): DeclineReason? =
        when {
            leadership.isLeader -> DeclineReason.AlreadyLeader
            leadership.knownLeader != from -> DeclineReason.FollowsOtherLeader(leadership.knownLeader)
            !store.isServing -> DeclineReason.StoreUnavailable
            else -> port.ineligibilityReason()
        }

    private fun prepare(offer: AcceptedOffer) {
        current = offer
        val sentAt = context.now
        store.grantLease((leadership.leaseTtlSeconds * MILLIS_PER_SECOND).toLong()) { grant ->
            when {
                current !== offer -> {
                    if (grant is LeaseGrant.Granted) store.revokeLease(grant.leaseId)
                }

                grant !is LeaseGrant.Granted -> {
                    current = null
                    port.send(offer.leader, HandoverMessage.Decline(offer.attempt, DeclineReason.LeaseNotGranted.text))
                }

                else -> {
                    offer.lease = grant.leaseId
                    offer.renewedAt = sentAt
                    offer.nextRenewalAt = sentAt + leadership.leaseTtlSeconds / RENEWALS_PER_LEASE
                    offer.nextTermCheckAt = context.now + leadership.leaseTtlSeconds / CHECKS_PER_LEASE
                    sendAccept(offer)
                }
            }
        }
    }

    private fun sendAccept(offer: AcceptedOffer) {
        val lease = offer.lease ?: return
        port.send(offer.leader, HandoverMessage.Accept(offer.attempt, offer.term, lease))
    }

    /** Renews the lease and reads the term row when due; gives up if the transfer does not come in time or the lease may have expired. */
    fun tick() {
        val offer = current ?: return
        val lease = offer.lease ?: return
        if (context.now > offer.deadline || context.now > offer.renewedAt + leadership.leaseTtlSeconds) return cancel()
        if (context.now >= offer.nextRenewalAt) renew(offer, lease)
        if (context.now >= offer.nextTermCheckAt) checkTerm(offer)
    }

    private fun renew(
        offer: AcceptedOffer,
        lease: Long,
    ) {
        val sentAt = context.now
        offer.nextRenewalAt = sentAt + leadership.leaseTtlSeconds / RENEWALS_PER_LEASE
        store.renewLease(lease, leadership.leaseTtlSeconds / RENEWALS_PER_LEASE) { renewal ->
            if (current !== offer) return@renewLease
            when (renewal) {
                LeaseRenewal.RENEWED -> offer.renewedAt = sentAt
                LeaseRenewal.EXPIRED -> current = null
                LeaseRenewal.UNKNOWN -> Unit
            }
        }
    }

    /** Handles the leader's message that the rows name this member; this is no proof, so the term row is read. */
    fun onTransferred(
        from: String,
        message: HandoverMessage.Transferred,
    ) {
        matchingOffer(from, message.attempt)?.let { checkTerm(it) }
    }

    /** Called when the leader row names this member under [term]; true if the term was handed over, so that no election is needed. */
    fun onTermHandedOver(term: Long): Boolean {
        val offer = current?.takeIf { it.lease != null && it.term + 1 == term } ?: return false
        checkTerm(offer)
        return true
    }

    /** Reads the term row, and takes over if it names this member for the next term. */
    private fun checkTerm(offer: AcceptedOffer) {
        if (offer.isTermReadInFlight) return
        offer.isTermReadInFlight = true
        offer.nextTermCheckAt = context.now + leadership.leaseTtlSeconds / CHECKS_PER_LEASE
        store.get(TermRow.KEY, RequestPriority.LEADERSHIP) { read ->
            offer.isTermReadInFlight = false
            val row = (read as? ReadResult.Found)?.value
            if (current !== offer || row == null) return@get
            val termRow = TermRow.decode(row.value)
            if (termRow.term == offer.term + 1 && termRow.leader == context.settings.member) {
                takeOver(offer, termRow, row.modRevision)
            } else if (termRow.term > offer.term) {
                cancel()
            }
        }
    }

    private fun takeOver(
        offer: AcceptedOffer,
        termRow: TermRow,
        fencingToken: Long,
    ) {
        current = null
        val lease = offer.lease ?: return
        if (!leadership.takeOverTerm(termRow, fencingToken, lease, offer.renewedAt)) {
            context.info("handover too late", "term" to termRow.term, "reason" to "the lease may have expired")
            store.revokeLease(lease)
            leadership.pollSoon()
        }
    }

    /** Drops the offer, because the leader has withdrawn it. */
    fun onWithdraw(
        from: String,
        message: HandoverMessage.Withdraw,
    ) {
        if (matchingOffer(from, message.attempt) == null) return
        context.info("handover withdrawn", "leader" to from, "reason" to message.reason)
        cancel()
    }

    private fun matchingOffer(
        from: String,
        attempt: Long,
    ): AcceptedOffer? = current?.takeIf { it.leader == from && it.attempt == attempt }

    /**
     * Drops the current offer, if any, and revokes its lease: for example because this member was elected in the ordinary way, is
     * draining, or the leader has withdrawn the offer.
     */
    fun cancel() {
        val lease = current?.lease
        current = null
        lease?.let { store.revokeLease(it) }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000
        const val RENEWALS_PER_LEASE = 4
        const val CHECKS_PER_LEASE = 4

        /** How long this member waits for the leader's transfer before it follows the ordinary election again, in leases. */
        const val TRANSFER_TIMEOUT_LEASES = 6.0
    }
}
