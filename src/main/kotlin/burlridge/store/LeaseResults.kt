package burlridge.store

/** Result of a request for a lease. */
internal sealed interface LeaseGrant {
    /** The lease [leaseId] is granted with the requested time to live. */
    data class Granted(
        val leaseId: Long,
    ) : LeaseGrant

    /** No lease ID was received. If a lease was granted nevertheless, it expires unused. */
    data object Failed : LeaseGrant
}

/** Result of the renewal of a lease. */
internal enum class LeaseRenewal {
    /** The lease is valid for another full time to live. */
    RENEWED,

    /** The lease has expired or was revoked, and the rows attached to it are deleted. */
    EXPIRED,

    /** No usable answer: the renewal may or may not have been carried out. */
    UNKNOWN,
}
