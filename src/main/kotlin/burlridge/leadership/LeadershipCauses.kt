package burlridge.leadership

/** Why a term of this member ended. */
internal sealed interface StepDownReason {
    /** The reason as operators see it. */
    val text: String

    /** A write found the term row changed: another member has been elected since. */
    data object TermPassed : StepDownReason {
        override val text: String = "its term has been passed"
    }

    /** The leader row is gone, because the lease it was attached to has expired. */
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

    /** A worker has already obeyed a leader with a higher fencing token. */
    data class HigherTokenSeen(
        val machine: String,
    ) : StepDownReason {
        override val text: String get() = "worker $machine has seen a higher token"
    }
}

/** How this member came to lead. */
internal sealed interface ElectionCause {
    /** The cause as operators see it. */
    val text: String

    /** No leader row existed. */
    data object LeaseExpired : ElectionCause {
        override val text: String = "the leader's lease had ended"
    }

    /** The leader row named this member from before it restarted or was deposed. */
    data object FormerSelf : ElectionCause {
        override val text: String = "its former self led"
    }

    /** [from] transferred its leadership to this member; null where its name is not known. */
    data class HandedOver(
        val from: String?,
    ) : ElectionCause {
        override val text: String get() = "handed over by ${from ?: "its leader"}"
    }
}
