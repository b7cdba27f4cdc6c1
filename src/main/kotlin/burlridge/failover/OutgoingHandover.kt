package burlridge.failover

import burlridge.core.StepContext
import burlridge.leadership.Leadership
import burlridge.leadership.StepDownReason
import burlridge.leadership.TransferOutcome
import burlridge.message.HandoverMessage

/** The leader's side of a planned handover: offers the term, waits until the successor accepts, quiesces and transfers. */
internal class OutgoingHandover(
    private val context: StepContext,
    private val leadership: Leadership,
    private val port: Port,
) {
    /** What the handover needs from the rest of the member. */
    internal interface Port {
        fun send(
            to: String,
            message: HandoverMessage,
        )

        /** Whether no work of this leader is in flight: no allocation being written, none written but not sent to its worker. */
        fun isQuiesced(): Boolean

        /** Called when the handover has ended, successfully or not. */
        fun onEnded(
            successor: String,
            outcome: HandoverOutcome,
        )
    }

    private var state: OutgoingHandoverState = OutgoingHandoverState.Idle

    /** Why the last handover was started. */
    private var reason = ""

    /** Whether no new work may be started, because the successor would find it unfinished. */
    val isQuiescing: Boolean get() = state is OutgoingHandoverState.Quiescing || state is OutgoingHandoverState.Transferring
    val isActive: Boolean get() = state != OutgoingHandoverState.Idle

    /** The state as text for operators. */
    val description: String get() = state.describe(reason)

    /** Offers the term to the first of [successors], and to the next one if that declines. No handover may be active yet. */
    fun start(
        successors: List<String>,
        reason: HandoverReason,
    ) {
        this.reason = reason.text
        offer(successors)
    }

    private fun offer(successors: List<String>) {
        val attempt = context.random.nextLong(1, Long.MAX_VALUE)
        val successor = successors.first()
        val deadline = context.now + leadership.leaseTtlSeconds * OFFER_LEASES
        state = OutgoingHandoverState.Offered(attempt, successor, successors.drop(1), deadline)
        context.info("handover started", "term" to leadership.term, "successor" to successor, "reason" to reason)
        port.send(successor, HandoverMessage.Offer(attempt, leadership.term, reason))
    }

    /** Enforces the deadlines of the current state, and transfers once this leader has quiesced or its time to quiesce is up. */
    fun tick() {
        when (val current = state) {
            OutgoingHandoverState.Idle, is OutgoingHandoverState.Transferring -> Unit
            is OutgoingHandoverState.Offered -> tickOffered(current)
            is OutgoingHandoverState.Quiescing -> tickQuiescing(current)
        }
    }

    private fun tickOffered(current: OutgoingHandoverState.Offered) {
        if (!leadership.holdsLease) {
            abandon(current.attempt, current.successor, LEASE_IN_DOUBT)
        } else if (context.now > current.deadline) {
            offerToNext(current, NO_ANSWER)
        }
    }

    private fun tickQuiescing(current: OutgoingHandoverState.Quiescing) {
        if (!leadership.holdsLease) {
            abandon(current.attempt, current.successor, LEASE_IN_DOUBT)
        } else if (port.isQuiesced() || context.now > current.deadline) {
            transfer(current)
        }
    }

    /** Begins to quiesce, since the successor is ready; an acceptance of another offer is ignored. */
    fun onAccept(
        from: String,
        message: HandoverMessage.Accept,
    ) {
        val current = state as? OutgoingHandoverState.Offered ?: return
        if (current.successor != from || current.attempt != message.attempt || message.term != leadership.term) return
        if (!leadership.holdsLease) return abandon(current.attempt, from, LEASE_IN_DOUBT)
        state =
            OutgoingHandoverState.Quiescing(current.attempt, from, message.lease, context.now + leadership.leaseTtlSeconds * QUIESCE_LEASES)
    }

    /** Offers the term to the next successor, if any; a reply to another offer is ignored. */
    fun onDecline(
        from: String,
        message: HandoverMessage.Decline,
    ) {
        val current = state as? OutgoingHandoverState.Offered ?: return
        if (current.successor == from && current.attempt == message.attempt) offerToNext(current, message.reason)
    }

    private fun offerToNext(
        current: OutgoingHandoverState.Offered,
        problem: String,
    ) {
        port.send(current.successor, HandoverMessage.Withdraw(current.attempt, problem))
        context.info("handover declined", "successor" to current.successor, "reason" to problem)
        if (current.nextSuccessors.isEmpty()) {
            end(current.successor, HandoverOutcome(HandoverOutcome.Result.DECLINED, problem))
        } else {
            offer(current.nextSuccessors)
        }
    }

    private fun transfer(current: OutgoingHandoverState.Quiescing) {
        state = OutgoingHandoverState.Transferring(current.attempt, current.successor)
        val nextTerm = leadership.term + 1
        leadership.transfer(current.successor, current.lease) { result ->
            when (result) {
                TransferOutcome.Completed -> {
                    port.send(current.successor, HandoverMessage.Transferred(current.attempt, nextTerm))
                    end(current.successor, HandoverOutcome(HandoverOutcome.Result.DONE))
                }

                is TransferOutcome.Aborted -> {
                    abandon(current.attempt, current.successor, result.reason)
                }

                // Leadership has already called onDeposed.
                is TransferOutcome.Deposed -> {
                    Unit
                }
            }
        }
    }

    private fun abandon(
        attempt: Long,
        successor: String,
        problem: String,
    ) {
        port.send(successor, HandoverMessage.Withdraw(attempt, problem))
        end(successor, HandoverOutcome(HandoverOutcome.Result.ABANDONED, problem))
    }

    private fun end(
        successor: String,
        outcome: HandoverOutcome,
    ) {
        state = OutgoingHandoverState.Idle
        context.info("handover ended", "successor" to successor, "outcome" to outcome.result.label, "reason" to outcome.reason)
        port.onEnded(successor, outcome)
    }

    /** Called when this member no longer leads, for [reason]. */
    fun onDeposed(reason: StepDownReason) {
        when (val current = state) {
            OutgoingHandoverState.Idle -> {
                Unit
            }

            is OutgoingHandoverState.Offered -> {
                end(current.successor, HandoverOutcome(HandoverOutcome.Result.DEPOSED, reason.text))
            }

            is OutgoingHandoverState.Quiescing -> {
                end(current.successor, HandoverOutcome(HandoverOutcome.Result.DEPOSED, reason.text))
            }

            // A handover whose transfer was committed is ended by the result of the transfer.
            is OutgoingHandoverState.Transferring -> {
                if (reason !is StepDownReason.HandedOver) {
                    end(current.successor, HandoverOutcome(HandoverOutcome.Result.IN_DOUBT, reason.text))
                }
            }
        }
    }

    private companion object {
        /** Reasons that are sent to the successor. */
        const val LEASE_IN_DOUBT = "its lease is in doubt"
        const val NO_ANSWER = "it does not answer"

        /** Time that a successor has to accept, and this leader to quiesce, in leases. */
        const val OFFER_LEASES = 1.0
        const val QUIESCE_LEASES = 0.5
    }
}
