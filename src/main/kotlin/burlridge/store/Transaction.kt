package burlridge.store

import com.fasterxml.jackson.databind.JsonNode

/** Holds while the row [key] was last written at [modRevision]; 0 stands for a row that does not exist. */
internal data class Condition(
    val key: String,
    val modRevision: Long,
)

/** A change of the row [key] by a transaction. */
internal sealed interface Change {
    val key: String

    /** Writes [value]. The row is removed when the lease [leaseId] expires; null for a row without a lease. */
    data class Put(
        override val key: String,
        val value: JsonNode,
        val leaseId: Long? = null,
    ) : Change

    /** Removes the row, if it exists. */
    data class Delete(
        override val key: String,
    ) : Change
}

/** A compare-and-swap: all [changes] are made if all [conditions] hold, and none otherwise. */
internal data class Transaction(
    val conditions: List<Condition>,
    val changes: List<Change>,
)

/** Outcome of a transaction. */
internal sealed interface TransactionResult {
    /** All changes were made, at [revision]. */
    data class Committed(
        val revision: Long,
    ) : TransactionResult

    /** Nothing was changed, because the conditions on the rows [failed] do not hold. */
    data class Conflict(
        val failed: List<String>,
    ) : TransactionResult

    /** Definitely not executed. */
    data object Rejected : TransactionResult

    /** Possibly executed, or still to be executed. */
    data object Unknown : TransactionResult

    /** Never sent, because it is larger than the key-value store accepts; a retry cannot succeed. */
    data object TooLarge : TransactionResult

    /** Not executed, regardless of the conditions: a lease that a row was to be attached to has expired. */
    data object LeaseNotFound : TransactionResult
}
