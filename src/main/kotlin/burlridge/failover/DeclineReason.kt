package burlridge.failover

/** Why a member does not take over a leadership that it was offered; [text] travels in the answer to the leader. */
internal sealed interface DeclineReason {
    val text: String

    /** It leads a term of its own. */
    data object LeadsItself : DeclineReason {
        override val text: String = "it leads itself"
    }

    /** It knows another leader than the one that offers; null where it knows none. */
    data class FollowsAnother(
        val leader: String?,
    ) : DeclineReason {
        override val text: String get() = "it follows ${leader ?: "nobody"}"
    }

    /** The key-value store refuses it. */
    data object StoreUnavailable : DeclineReason {
        override val text: String = "the state service refuses it"
    }

    /** The store grants it no lease. */
    data object LeaseNotGranted : DeclineReason {
        override val text: String = "it gets no lease"
    }

    /** It was asked to leave. */
    data object Draining : DeclineReason {
        override val text: String = "it is draining"
    }

    /** It was paused several times lately. */
    data object Stalled : DeclineReason {
        override val text: String = "it stood still lately"
    }

    /** It was paused a moment ago. */
    data object RecoveringFromPause : DeclineReason {
        override val text: String = "it was paused a moment ago"
    }
}
