package burlridge.failover

/** A handover offer that this member takes up. Until [deadline] it waits for the leader of [term] to transfer the next term to it. */
internal class AcceptedOffer(
    val attempt: Long,
    val leader: String,
    val term: Long,
    val deadline: Double,
) {
    /** Lease to which the leader row will be attached; null until it is granted. */
    var lease: Long? = null

    /** When the call that last renewed [lease] was sent. */
    var renewedAt: Double = 0.0

    /** When [lease] is next due for renewal, and the term row for a read. */
    var nextRenewalAt: Double = 0.0
    var nextTermCheckAt: Double = 0.0

    /** Whether a read of the term row is in flight. */
    var isTermReadInFlight: Boolean = false
}
