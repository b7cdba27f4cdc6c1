package burlridge.leadership

import burlridge.message.FailoverStatus

/** What [Leadership] reports to the rest of a controller, and what it asks of it. */
internal interface LeadershipListener {
    /** This member leads a new term. */
    fun onElected(cause: ElectionCause)

    /** This member does not lead [term] any more. */
    fun onDeposed(
        term: Long,
        reason: StepDownReason,
    )

    /** Another member is known to lead [term]. */
    fun onLeaderObserved(
        leader: String,
        term: Long,
    ) = Unit

    /** The leader row names this member under a [term] that it does not lead; true where it takes over that term without an election. */
    fun onTermHandedOver(term: Long): Boolean = false

    /** Whether another member, better prepared, should have the first try at an election. */
    fun defersElection(): Boolean = false

    /** What this member's status says of failover; null where failover is switched off. */
    fun failoverStatus(): FailoverStatus? = null
}
