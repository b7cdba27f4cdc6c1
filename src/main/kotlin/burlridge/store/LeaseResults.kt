package burlridge.store

/** What became of a request for a lease. */
internal sealed interface LeaseGrant {
    /** The lease [leaseId] is granted, for the time to live that was asked for. */
    data class Granted(
        val leaseId: Long,
    ) : LeaseGrant

    /** No lease is known of; one that was granted all the same expires unused. */
    data object Failed : LeaseGrant
}

/** What became of the renewal of a lease. */
internal enum class LeaseRenewal {
    /** The lease lives for another time to live. */
    RENEWED,

    /** The lease has expired or was revoked, and its rows are gone. */
    EXPIRED,

    /** No usable answer: the renewal may or may not have been carried out. */
    UNKNOWN,
}
