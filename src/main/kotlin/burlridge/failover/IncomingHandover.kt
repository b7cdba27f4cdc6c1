package burlridge.failover

import burlridge.core.StepContext
import burlridge.leadership.Leadership
import burlridge.message.HandoverMessage
import burlridge.store.ReadResult
import burlridge.store.RequestPriority
import burlridge.store.Row
import burlridge.store.StoreClient

/**
 * The successor's side of a planned handover. It holds a lease ready, to which the leader attaches its row, and takes the term over
 * only once it has read that the rows name it.
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

        /** Why this member cannot lead now; null where it can. */
        fun unfit(): String?
    }

    private class Prepared(
        val attempt: Long,
        val from: String,
        val term: Long,
        val until: Double,
    ) {
        var lease: Long? = null

        /** When the call was sent that last renewed [lease]. */
        var renewedAt = 0.0
        var nextRenewAt = 0.0
        var nextLookAt = 0.0
        var reading = false
    }

    private var prepared: Prepared? = null
    val description: String get() = prepared?.let { "ready to take over term ${it.term + 1} from ${it.from}" } ?: "none"

    fun offered(
        from: String,
        offer: HandoverMessage.Offer,
    ) {
        val before = prepared
        if (before?.attempt == offer.attempt) return accept(before)
        val problem =
            when {
                leadership.isLeader -> "it leads itself"
                leadership.knownLeader != from -> "it follows ${leadership.knownLeader ?: "nobody"}"
                !store.isServing -> "the state service refuses it"
                else -> port.unfit()
            }
        if (problem != null) return port.send(from, HandoverMessage.Decline(offer.attempt, problem))
        drop()
        prepare(Prepared(offer.attempt, from, offer.term, context.now + leadership.leaseSeconds * PATIENCE_LEASES))
    }

    private fun prepare(next: Prepared) {
        prepared = next
        val sentAt = context.now
        store.grantLease((leadership.leaseSeconds * MILLIS_PER_SECOND).toLong()) { lease ->
            when {
                prepared !== next -> {
                    lease?.let { store.revokeLease(it) }
                }

                lease == null -> {
                    prepared = null
                    port.send(next.from, HandoverMessage.Decline(next.attempt, "it gets no lease"))
                }

                else -> {
                    next.lease = lease
                    next.renewedAt = sentAt
                    next.nextRenewAt = sentAt + leadership.leaseSeconds / RENEWALS_PER_LEASE
                    next.nextLookAt = context.now + leadership.leaseSeconds / LOOKS_PER_LEASE
                    accept(next)
                }
            }
        }
    }

    private fun accept(ready: Prepared) {
        val lease = ready.lease ?: return
        port.send(ready.from, HandoverMessage.Accept(ready.attempt, ready.term, lease))
    }

    fun tick() {
        val ready = prepared ?: return
        val lease = ready.lease ?: return
        if (context.now > ready.until || context.now > ready.renewedAt + leadership.leaseSeconds) return drop()
        if (context.now >= ready.nextRenewAt) renew(ready, lease)
        if (context.now >= ready.nextLookAt) look(ready)
    }

    private fun renew(
        ready: Prepared,
        lease: Long,
    ) {
        val sentAt = context.now
        ready.nextRenewAt = sentAt + leadership.leaseSeconds / RENEWALS_PER_LEASE
        store.renewLease(lease, leadership.leaseSeconds / RENEWALS_PER_LEASE) { status ->
            if (prepared !== ready) return@renewLease
            if (status == OK) ready.renewedAt = sentAt
            if (status == NOT_FOUND) prepared = null
        }
    }

    /** The leader says that the rows name this member: a reason to look, no more. */
    fun transferred(
        from: String,
        message: HandoverMessage.Transferred,
    ) {
        val ready = prepared?.takeIf { it.from == from && it.attempt == message.attempt } ?: return
        look(ready)
    }

    /** The leader's row names this member under [term]; true where it was handed over, so that no election is needed. */
    fun named(term: Long): Boolean {
        val ready = prepared?.takeIf { it.lease != null && it.term + 1 == term } ?: return false
        look(ready)
        return true
    }

    private fun look(ready: Prepared) {
        if (ready.reading) return
        ready.reading = true
        ready.nextLookAt = context.now + leadership.leaseSeconds / LOOKS_PER_LEASE
        store.get(Leadership.TERM, RequestPriority.LEADERSHIP) { read ->
            ready.reading = false
            val row = (read as? ReadResult.Found)?.value
            if (prepared !== ready || row == null) return@get
            val term = row.value.path("n").asLong()
            val named = term == ready.term + 1 && row.value.path("by").asText() == context.settings.member
            if (named) {
                takeOver(ready, term, row)
            } else if (term > ready.term) {
                drop()
            }
        }
    }

    private fun takeOver(
        ready: Prepared,
        term: Long,
        row: Row,
    ) {
        prepared = null
        val lease = ready.lease ?: return
        if (!leadership.adopt(term, row, lease, ready.renewedAt)) {
            context.info("term $term was handed over too late: its lease may have ended")
            store.revokeLease(lease)
            leadership.pollSoon()
        }
    }

    fun withdrawn(
        from: String,
        message: HandoverMessage.Withdraw,
    ) {
        val ready = prepared?.takeIf { it.from == from && it.attempt == message.attempt } ?: return
        context.info("handover from $from is withdrawn: ${message.reason}")
        if (ready === prepared) drop()
    }

    /** This member was elected in the ordinary way, or has something better to do. */
    fun drop() {
        val lease = prepared?.lease
        prepared = null
        lease?.let { store.revokeLease(it) }
    }

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val MILLIS_PER_SECOND = 1000
        const val RENEWALS_PER_LEASE = 4
        const val LOOKS_PER_LEASE = 4

        /** A leader that is heard of no more while this one waits is followed in the ordinary way. */
        const val PATIENCE_LEASES = 6.0
    }
}
