package burlridge.store

import com.fasterxml.jackson.databind.JsonNode

/** A row as the state service shows it. */
internal data class Row(
    val key: String,
    val value: JsonNode,
    val stamp: Long,
)

internal data class Condition(
    val key: String,
    val stamp: Long,
)

internal sealed interface Change {
    val key: String

    data class Put(
        override val key: String,
        val value: JsonNode,
        val leaseId: Long? = null,
    ) : Change

    data class Delete(
        override val key: String,
    ) : Change
}

internal data class Transaction(
    val conditions: List<Condition>,
    val ops: List<Change>,
)

internal sealed interface TransactionResult {
    data class Done(
        val revision: Long,
    ) : TransactionResult

    data class Conflict(
        val failed: List<String>,
    ) : TransactionResult

    /** Definitely not executed. */
    data object Refused : TransactionResult

    /** Possibly executed, or still to be executed. */
    data object Unknown : TransactionResult

    /** Larger than the state service takes, so never sent: repeating it would never help. */
    data object TooLarge : TransactionResult

    /** The tether is gone, whatever the conditions are. */
    data object NoLease : TransactionResult
}

internal sealed interface Read<out T> {
    data class Found<T>(
        val value: T,
    ) : Read<T>

    data object Absent : Read<Nothing>

    data object Failed : Read<Nothing>
}

internal data class Listing(
    val rows: List<Row>,
    val revision: Long,
)

/** One answer to a listing; where it is truncated, more rows follow the last one. */
internal data class Page(
    val rows: List<Row>,
    val truncated: Boolean,
    val revision: Long,
)
