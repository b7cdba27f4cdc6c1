package burlridge.leadership

import burlridge.core.StepContext
import burlridge.message.PeerMessage
import burlridge.store.StoreClient

/** Sends and handles the status messages by which members announce the current leader. */
internal class StatusExchange(
    private val context: StepContext,
    private val store: StoreClient,
    private val leadership: Leadership,
    private val listener: LeadershipListener,
) {
    private val settings = context.settings

    /** Monotonic time at which the last status of any other member arrived, in seconds; 0 before the first. */
    var lastReceivedAt: Double = 0.0
        private set

    /** Handles a status of another member. */
    fun onReceived(status: PeerMessage.Status) {
        lastReceivedAt = context.now
        // A follower of a later leader reports that leader too, since the leader itself may be unreachable from this member.
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
                context.build,
            )
        settings.others.forEach { context.send(it.member, message) }
    }
}
