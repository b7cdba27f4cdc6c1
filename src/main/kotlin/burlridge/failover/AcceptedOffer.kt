package burlridge.failover

/** An offer of the leader that this member takes up: it waits for the transfer until [deadline]. */
internal class AcceptedOffer(
    val attempt: Long,
    val from: String,
    val term: Long,
    val deadline: Double,
) {
    /** Null until it is granted. */
    var lease: Long? = null

    /** When the call was sent that last renewed [lease]. */
    var renewedAt: Double = 0.0

    /** When [lease] is due to be renewed and the term row to be read. */
    var nextRenewAt: Double = 0.0
    var nextCheckAt: Double = 0.0

    /** Whether a read of the term row is under way. */
    var isReading: Boolean = false
}
