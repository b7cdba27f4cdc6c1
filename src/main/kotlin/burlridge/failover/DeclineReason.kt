package burlridge.failover

/** Reason why a member declines to take over the leadership; [text] is sent to the leader that offered it. */
internal sealed interface DeclineReason {
    val text: String

    /** The member is a leader itself. */
    data object AlreadyLeader : DeclineReason {
        override val text: String = "it leads itself"
    }

    /** The member follows [leader], which is not the member that made the offer; null if it knows no leader. */
    data class FollowsOtherLeader(
        val leader: String?,
    ) : DeclineReason {
        override val text: String get() = "it follows ${leader ?: "nobody"}"
    }

    /** The key-value store currently rejects the requests of this member. */
    data object StoreUnavailable : DeclineReason {
        override val text: String = "the state service refuses it"
    }

    /** The key-value store did not grant a lease. */
    data object LeaseNotGranted : DeclineReason {
        override val text: String = "it gets no lease"
    }

    /** The member is draining. */
    data object Draining : DeclineReason {
        override val text: String = "it is draining"
    }

    /** The member has stalled several times within the window of [StallMonitor]. */
    data object Stalled : DeclineReason {
        override val text: String = "it stood still lately"
    }

    /** The member was paused a moment ago, see [FailureDetector.isRecoveringFromPause]. */
    data object RecoveringFromPause : DeclineReason {
        override val text: String = "it was paused a moment ago"
    }
}
