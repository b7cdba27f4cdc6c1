package burlridge.failover

import burlridge.core.StepContext
import burlridge.leadership.Leadership
import burlridge.leadership.TransferOutcome
import burlridge.message.HandoverMessage

/** The leader's side of a planned handover: offer, wait for the successor, come to rest, transfer. */
internal class OutgoingHandover(
    private val context: StepContext,
    private val leadership: Leadership,
    private val port: Port,
) {
    /** What the handover needs of the rest of the member. */
    internal interface Port {
        /** Who could take over now, the best first. */
        fun successors(): List<String>

        fun send(
            to: String,
            message: HandoverMessage,
        )

        /** Whether nothing of this leader is half done: no claim being written, none written and unsent. */
        fun isAtRest(): Boolean

        fun ended(
            successor: String,
            outcome: String,
        )
    }

    private sealed interface State {
        data object Idle : State

        data class Offered(
            val attempt: Long,
            val successor: String,
            val left: List<String>,
            val until: Double,
        ) : State

        /** The successor waits; nothing new is begun here any more. */
        data class Resting(
            val attempt: Long,
            val successor: String,
            val lease: Long,
            val until: Double,
        ) : State

        data class Transferring(
            val attempt: Long,
            val successor: String,
        ) : State
    }

    private var state: State = State.Idle
    private var reason = ""

    /** Nothing may be begun that the successor would find half done. */
    val resting: Boolean get() = state is State.Resting || state is State.Transferring
    val active: Boolean get() = state != State.Idle

    /** What is going on, in words for an operator. */
    val description: String
        get() =
            when (val now = state) {
                State.Idle -> "none"
                is State.Offered -> "offered to ${now.successor}: $reason"
                is State.Resting -> "coming to rest for ${now.successor}: $reason"
                is State.Transferring -> "transferring to ${now.successor}: $reason"
            }

    /** Begins a handover; null, or why none can begin. */
    fun begin(why: String): String? {
        if (active) return null
        if (!leadership.holdsLease) return "this member does not hold the leader's lease"
        val successors = port.successors()
        if (successors.isEmpty()) return "no other member is fit to lead"
        reason = why
        offer(successors)
        return null
    }

    private fun offer(successors: List<String>) {
        val attempt = context.random.nextLong(1, Long.MAX_VALUE)
        val successor = successors.first()
        state = State.Offered(attempt, successor, successors.drop(1), context.now + leadership.leaseSeconds * OFFER_LEASES)
        context.info("handover of term ${leadership.term} to $successor begins: $reason")
        port.send(successor, HandoverMessage.Offer(attempt, leadership.term, reason))
    }

    fun tick() {
        when (val now = state) {
            State.Idle, is State.Transferring -> {
                Unit
            }

            is State.Offered -> {
                if (!leadership.holdsLease) {
                    abandon(now.attempt, now.successor, "its lease is in doubt")
                } else if (context.now > now.until) {
                    offerNext(now, "it does not answer")
                }
            }

            is State.Resting -> {
                if (!leadership.holdsLease) {
                    abandon(now.attempt, now.successor, "its lease is in doubt")
                } else if (port.isAtRest() || context.now > now.until) {
                    transfer(now)
                }
            }
        }
    }

    fun accepted(
        from: String,
        message: HandoverMessage.Accept,
    ) {
        val now = state as? State.Offered ?: return
        if (now.successor != from || now.attempt != message.attempt || message.term != leadership.term) return
        if (!leadership.holdsLease) return abandon(now.attempt, from, "its lease is in doubt")
        state = State.Resting(now.attempt, from, message.lease, context.now + leadership.leaseSeconds * REST_LEASES)
    }

    fun declined(
        from: String,
        message: HandoverMessage.Decline,
    ) {
        val now = state as? State.Offered ?: return
        if (now.successor == from && now.attempt == message.attempt) offerNext(now, message.reason)
    }

    private fun offerNext(
        before: State.Offered,
        problem: String,
    ) {
        port.send(before.successor, HandoverMessage.Withdraw(before.attempt, problem))
        context.info("handover: ${before.successor} does not take over: $problem")
        if (before.left.isEmpty()) end(before.successor, "declined: $problem") else offer(before.left)
    }

    private fun transfer(now: State.Resting) {
        state = State.Transferring(now.attempt, now.successor)
        val nextTerm = leadership.term + 1
        leadership.transfer(now.successor, now.lease) { result ->
            when (result) {
                TransferOutcome.Done -> {
                    port.send(now.successor, HandoverMessage.Transferred(now.attempt, nextTerm))
                    end(now.successor, "done")
                }

                is TransferOutcome.Refused -> {
                    abandon(now.attempt, now.successor, result.reason)
                }

                // Told of as any deposition.
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
        end(successor, "abandoned: $problem")
    }

    private fun end(
        successor: String,
        outcome: String,
    ) {
        state = State.Idle
        context.info("handover to $successor: $outcome")
        port.ended(successor, outcome)
    }

    /** This member does not lead any more. */
    fun deposed(cause: String) {
        val now = state
        if (now is State.Offered) end(now.successor, "deposed: $cause")
        if (now is State.Resting) end(now.successor, "deposed: $cause")
        // A transfer that was carried out ends through its own answer.
        if (now is State.Transferring && !cause.startsWith(HANDED_OVER)) end(now.successor, "in doubt: $cause")
    }

    internal companion object {
        /** How a deposition by our own transfer is told. */
        const val HANDED_OVER: String = "handed over"

        /** How long a successor has to accept, and this leader to come to rest, in leases. */
        private const val OFFER_LEASES = 1.0
        private const val REST_LEASES = 0.5
    }
}
