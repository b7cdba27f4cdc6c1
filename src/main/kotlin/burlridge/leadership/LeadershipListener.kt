package burlridge.leadership

import burlridge.message.FailoverStatus

/** Told by [Leadership] what the rest of a controller has to know, and asked what it has to decide on. */
internal interface LeadershipListener {
    fun onElected(cause: String)

    fun onDeposed(
        term: Long,
        cause: String,
    )

    /** Another member is known to lead [term]. */
    fun onLearned(
        leader: String,
        term: Long,
    ) = Unit

    /** This member's own name stands in the leader's row, under a term it does not lead; true where it takes that term over as it is. */
    fun onTermHandedOver(term: Long): Boolean = false

    /** Whether another member, better prepared, should have the first try at an election. */
    fun defersElection(): Boolean = false

    /** What a status says beside leadership. */
    fun statusOfFailover(): FailoverStatus? = null
}
