package burlridge.leadership

import burlridge.message.FailoverStatus

/** Callbacks by which [Leadership] notifies and queries the rest of the controller. */
internal interface LeadershipListener {
    /** Called when this member begins to lead a new term. */
    fun onElected(cause: ElectionCause)

    /** Called when this member no longer leads [term]. */
    fun onDeposed(
        term: Long,
        reason: StepDownReason,
    )

    /** Called when another member is observed to lead [term]. */
    fun onLeaderObserved(
        leader: String,
        term: Long,
    ) = Unit

    /** Called when the leader row names this member under a [term] that it does not lead; true if it takes over without an election. */
    fun onTermHandedOver(term: Long): Boolean = false

    /** Returns whether another member, which is better prepared, should campaign first. */
    fun defersElection(): Boolean = false

    /** Returns the failover part of this member's status; null if failover is switched off. */
    fun failoverStatus(): FailoverStatus? = null
}
