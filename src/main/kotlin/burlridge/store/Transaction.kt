package burlridge.store

import com.fasterxml.jackson.databind.JsonNode

/** Holds while the row [key] was last written at [modRevision]; 0 stands for a row that does not exist. */
internal data class Condition(
    val key: String,
    val modRevision: Long,
)

/** What a transaction does to the row [key]. */
internal sealed interface Change {
    val key: String

    /** Writes [value]. The row is removed when the lease [leaseId] expires; null for a row that lasts. */
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

/** How a transaction ended. */
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

    /** Larger than the key-value store accepts, so never sent: repeating it would never help. */
    data object TooLarge : TransactionResult

    /** Not executed, whatever the conditions are: a lease that a row was to be attached to has expired. */
    data object LeaseNotFound : TransactionResult
}
