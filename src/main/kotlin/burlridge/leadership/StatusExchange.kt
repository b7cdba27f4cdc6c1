package burlridge.leadership

import burlridge.core.StepContext
import burlridge.message.PeerMessage
import burlridge.store.StoreClient

/** The statuses by which members tell each other who leads. */
internal class StatusExchange(
    private val context: StepContext,
    private val store: StoreClient,
    private val leadership: Leadership,
    private val listener: LeadershipListener,
) {
    private val settings = context.settings

    /** When the last status of any other member arrived, by the steady clock; 0 before the first. */
    var lastReceivedAt: Double = 0.0
        private set

    /** Takes a status of another member into account. */
    fun onReceived(status: PeerMessage.Status) {
        lastReceivedAt = context.now
        // A member that follows a later leader reports it as well: that leader itself may be out of reach.
        if (status.isLeader) {
            leadership.observeLeader(status.from, status.term)
        } else if (reportsLaterLeader(status)) {
            leadership.observeLeader(status.leader, status.term)
        }
    }

    /** Whether a member that does not lead names another leader, of a later term than the one that this member leads. */
    private fun reportsLaterLeader(status: PeerMessage.Status): Boolean =
        leadership.isLeader && status.term > leadership.term && status.leader.isNotEmpty() && status.leader != settings.member

    /** Sends this member's status to all others. */
    fun broadcast(zonesWithoutHeartbeats: List<String>) {
        val message =
            PeerMessage.Status(
                settings.member,
                leadership.knownTerm,
                leadership.knownLeader.orEmpty(),
                leadership.isLeader,
                leadership.mayAnswerWorkers,
                store.isServing,
                zonesWithoutHeartbeats,
                listener.failoverStatus(),
            )
        settings.others.forEach { context.send(it.member, message) }
    }
}
