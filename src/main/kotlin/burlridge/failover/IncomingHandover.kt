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
 * The successor's side of a planned handover. It keeps a lease ready, to which the leader attaches its row, and takes the term over
 * only once it has read a term row that names it.
 */
internal class IncomingHandover(
    private val context: StepContext,
    private val store: StoreClient,
    private val leadership: Leadership,
    private val port: Port,
) {
    /** What the handover needs of the rest of the member. */
    internal interface Port {
        fun send(
            to: String,
            message: HandoverMessage,
        )

        /** Why this member should not lead now; null where it can. */
        fun unfitness(): DeclineReason?
    }

    private var current: AcceptedOffer? = null

    /** The state in words for an operator. */
    val description: String get() = current?.let { "ready to take over term ${it.term + 1} from ${it.from}" } ?: "none"

    /** Accepts the offer once a lease is granted, or declines it; an offer that was taken up already is accepted again. */
    fun onOffer(
        from: String,
        message: HandoverMessage.Offer,
    ) {
        val active = current
        if (active?.attempt == message.attempt) return sendAccept(active)
        val declined = declineReason(from)
        if (declined != null) return port.send(from, HandoverMessage.Decline(message.attempt, declined.text))
        cancel()
        prepare(AcceptedOffer(message.attempt, from, message.term, context.now + leadership.leaseTtlSeconds * WAIT_LEASES))
    }

    private fun declineReason(from: String): DeclineReason? =
        when {
            leadership.isLeader -> DeclineReason.LeadsItself
            leadership.knownLeader != from -> DeclineReason.FollowsAnother(leadership.knownLeader)
            !store.isServing -> DeclineReason.StoreUnavailable
            else -> port.unfitness()
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
                    port.send(offer.from, HandoverMessage.Decline(offer.attempt, DeclineReason.LeaseNotGranted.text))
                }

                else -> {
                    offer.lease = grant.leaseId
                    offer.renewedAt = sentAt
                    offer.nextRenewAt = sentAt + leadership.leaseTtlSeconds / RENEWALS_PER_LEASE
                    offer.nextCheckAt = context.now + leadership.leaseTtlSeconds / CHECKS_PER_LEASE
                    sendAccept(offer)
                }
            }
        }
    }

    private fun sendAccept(offer: AcceptedOffer) {
        val lease = offer.lease ?: return
        port.send(offer.from, HandoverMessage.Accept(offer.attempt, offer.term, lease))
    }

    /** Renews the lease and reads the term row when these are due; gives up where the transfer does not come. */
    fun tick() {
        val offer = current ?: return
        val lease = offer.lease ?: return
        if (context.now > offer.deadline || context.now > offer.renewedAt + leadership.leaseTtlSeconds) return cancel()
        if (context.now >= offer.nextRenewAt) renew(offer, lease)
        if (context.now >= offer.nextCheckAt) checkTerm(offer)
    }

    private fun renew(
        offer: AcceptedOffer,
        lease: Long,
    ) {
        val sentAt = context.now
        offer.nextRenewAt = sentAt + leadership.leaseTtlSeconds / RENEWALS_PER_LEASE
        store.renewLease(lease, leadership.leaseTtlSeconds / RENEWALS_PER_LEASE) { renewal ->
            if (current !== offer) return@renewLease
            when (renewal) {
                LeaseRenewal.RENEWED -> offer.renewedAt = sentAt
                LeaseRenewal.EXPIRED -> current = null
                LeaseRenewal.UNKNOWN -> Unit
            }
        }
    }

    /** The leader says that the rows name this member: a reason to read them, no proof. */
    fun onTransferred(
        from: String,
        message: HandoverMessage.Transferred,
    ) {
        offerOf(from, message.attempt)?.let { checkTerm(it) }
    }

    /** The leader's row names this member under [term]; true where it was handed over, so that no election is needed. */
    fun onTermHandedOver(term: Long): Boolean {
        val offer = current?.takeIf { it.lease != null && it.term + 1 == term } ?: return false
        checkTerm(offer)
        return true
    }

    /** Reads the term row, and takes over where it names this member for the next term. */
    private fun checkTerm(offer: AcceptedOffer) {
        if (offer.isReading) return
        offer.isReading = true
        offer.nextCheckAt = context.now + leadership.leaseTtlSeconds / CHECKS_PER_LEASE
        store.get(TermRow.KEY, RequestPriority.LEADERSHIP) { read ->
            offer.isReading = false
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
        fence: Long,
    ) {
        current = null
        val lease = offer.lease ?: return
        if (!leadership.takeOverTerm(termRow, fence, lease, offer.renewedAt)) {
            context.info("handover too late", "term" to termRow.term, "reason" to "the lease may have expired")
            store.revokeLease(lease)
            leadership.pollSoon()
        }
    }

    /** The leader keeps its term. */
    fun onWithdraw(
        from: String,
        message: HandoverMessage.Withdraw,
    ) {
        if (offerOf(from, message.attempt) == null) return
        context.info("handover withdrawn", "leader" to from, "reason" to message.reason)
        cancel()
    }

    private fun offerOf(
        from: String,
        attempt: Long,
    ): AcceptedOffer? = current?.takeIf { it.from == from && it.attempt == attempt }

    /** Gives up an offer that was taken up: this member was elected in the ordinary way, is draining, or the leader needs it no more. */
    fun cancel() {
        val lease = current?.lease
        current = null
        lease?.let { store.revokeLease(it) }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000
        const val RENEWALS_PER_LEASE = 4
        const val CHECKS_PER_LEASE = 4

        /** How long this member waits for the leader's transfer before it follows the ordinary election again. */
        const val WAIT_LEASES = 6.0
    }
}
