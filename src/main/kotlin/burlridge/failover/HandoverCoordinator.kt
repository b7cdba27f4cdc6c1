package burlridge.failover

import burlridge.core.StepContext
import burlridge.leadership.Leadership
import burlridge.leadership.StepDownReason
import burlridge.message.HandoverMessage
import burlridge.message.PeerMessage
import burlridge.settings.FailoverSettings
import burlridge.store.StoreClient

/** Coordinates both sides of planned handovers and the drain of this member: decides when it hands over and whether it can take over. */
internal class HandoverCoordinator(
    private val context: StepContext,
    settings: FailoverSettings,
    store: StoreClient,
    private val leadership: Leadership,
    private val cluster: ClusterView,
    private val controller: Failover.ControllerState,
    private val trace: (LeaderChangeEvent) -> Unit,
) : OutgoingHandover.Port,
    IncomingHandover.Port {
    private val member = context.settings.member
    private val stalls = StallMonitor(context, settings, leadership)
    private val outgoing = OutgoingHandover(context, leadership, this)
    private val incoming = IncomingHandover(context, store, leadership, this)
    private var nextAttemptAt = 0.0

    /** Whether an operator or a stop signal has requested that this member leaves service. */
    var isDraining: Boolean = false
        private set

    /** Whether this member can be stopped without interrupting the service. */
    val isDrained: Boolean get() = isDraining && !leadership.isLeader && !outgoing.isActive

    /** Whether no new work may be started, because the successor would find it unfinished. */
    val isQuiescing: Boolean get() = outgoing.isQuiescing

    /** Whether this process has stalled so often that it should not lead, see [StallMonitor]. */
    val isSlow: Boolean get() = stalls.isSlow

    /** State of the handover that this member offers, as text for operators. */
    val outgoingDescription: String get() = outgoing.description

    /** State of the handover that this member takes up, as text for operators. */
    val incomingDescription: String get() = incoming.description

    /** Continues the handovers in progress, and starts one if it is due. */
    fun tick() {
        outgoing.tick()
        incoming.tick()
        stalls.tick()
        handOverIfDue()
    }

    /** Takes this member out of service gracefully; repeated requests have no effect. */
    fun drain(): DrainResult {
        if (isDraining) return DrainResult.Accepted
        if (!cluster.hasAvailableMember()) return DrainResult.Refused(DrainRefusal.NoSuccessor)
        isDraining = true
        incoming.cancel()
        context.info("member draining", "member" to member)
        handOverIfDue()
        return DrainResult.Accepted
    }

    /** Checks whether [other] can be asked to drain. */
    fun checkDrain(other: String): DrainResult {
        val view = cluster.detector.view(other, context.now) ?: return DrainResult.Refused(DrainRefusal.UnknownMember(other))
        return when {
            view.lastHeartbeatAt == null -> DrainResult.Refused(DrainRefusal.NoHeartbeat(other, member))
            view.liveness != Liveness.ALIVE -> DrainResult.Refused(DrainRefusal.NotAlive(view))
            else -> DrainResult.Accepted
        }
    }

    private fun handOverIfDue() {
        if (!leadership.holdsLease || outgoing.isActive || context.now < nextAttemptAt) return
        val reason =
            when {
                isDraining -> HandoverReason.Draining
                isSlow -> HandoverReason.Stalled(stalls.recentStalls)
                else -> return
            }
        val successors = cluster.successors()
        if (successors.isEmpty()) {
            deferNextAttempt()
            context.infoLimited("handover not started", "reason" to "no successor available")
            return
        }
        outgoing.start(successors, reason)
        trace(LeaderChangeEvent.HandoverBegan(successors.first(), reason.text))
    }

    private fun deferNextAttempt() {
        nextAttemptAt = context.now + leadership.leaseTtlSeconds * RETRY_DELAY_LEASES
    }

    /** Handles a handover message from another member. */
    fun onMessage(
        from: String,
        message: HandoverMessage,
    ) {
        when (message) {
            is HandoverMessage.Offer -> incoming.onOffer(from, message)
            is HandoverMessage.Accept -> outgoing.onAccept(from, message)
            is HandoverMessage.Decline -> outgoing.onDecline(from, message)
            is HandoverMessage.Transferred -> incoming.onTransferred(from, message)
            is HandoverMessage.Withdraw -> incoming.onWithdraw(from, message)
        }
    }

    override fun send(
        to: String,
        message: HandoverMessage,
    ) {
        context.send(to, PeerMessage.Handover(member, message))
    }

    override fun isQuiesced(): Boolean = controller.isQuiesced()

    override fun onEnded(
        successor: String,
        outcome: HandoverOutcome,
    ) {
        deferNextAttempt()
        context.count("failover.handovers")
        trace(LeaderChangeEvent.HandoverEnded(successor, outcome.text))
    }

    override fun ineligibilityReason(): DeclineReason? =
        when {
            isDraining -> DeclineReason.Draining
            isSlow -> DeclineReason.Stalled
            cluster.detector.isRecoveringFromPause(context.now) -> DeclineReason.RecoveringFromPause
            else -> null
        }

    /** Called when the leader row names this member under [term]; true if the term was handed over, so that no election is needed. */
    fun onTermHandedOver(term: Long): Boolean = incoming.onTermHandedOver(term)

    /** Called when this member begins to lead; cancels the incoming handover, which is no longer needed. */
    fun onElected() = incoming.cancel()

    /** Called when this member no longer leads, for [reason]. */
    fun onDeposed(reason: StepDownReason) = outgoing.onDeposed(reason)

    private companion object {
        const val RETRY_DELAY_LEASES = 2.0
    }
}
