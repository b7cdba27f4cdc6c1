package burlridge.leadership

/** Why a term of this member ended. */
internal sealed interface StepDownReason {
    /** The reason as operators see it. */
    val text: String

    /** A write found the term row changed: another member has been elected since. */
    data object TermSuperseded : StepDownReason {
        override val text: String = "its term has been passed"
    }

    /** The leader row no longer exists, because the lease that it was attached to has expired. */
    data object LeaseExpired : StepDownReason {
        override val text: String = "the lease of the leader row has ended"
    }

    /** This member transferred its leadership in a planned handover. */
    data class HandedOver(
        val successor: String,
    ) : StepDownReason {
        override val text: String get() = "handed over to $successor"
    }

    /** Another member is known to lead a later term. */
    data class LaterTermObserved(
        val leader: String,
        val term: Long,
    ) : StepDownReason {
        override val text: String get() = "$leader leads term $term"
    }

    /** A worker has already seen a higher fencing token, that of a later leader. */
    data class HigherTokenSeen(
        val machine: String,
    ) : StepDownReason {
        override val text: String get() = "worker $machine has seen a higher token"
    }
}
