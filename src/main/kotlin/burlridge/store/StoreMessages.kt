package burlridge.store

import com.fasterxml.jackson.databind.JsonNode

/** A row as the state service shows it. */
internal data class Row(
    val key: String,
    val value: JsonNode,
    val modRevision: Long,
)

internal data class Condition(
    val key: String,
    val modRevision: Long,
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
    val changes: List<Change>,
)

internal sealed interface TransactionResult {
    data class Committed(
        val revision: Long,
    ) : TransactionResult

    data class Conflict(
        val failed: List<String>,
    ) : TransactionResult

    /** Definitely not executed. */
    data object Rejected : TransactionResult

    /** Possibly executed, or still to be executed. */
    data object Unknown : TransactionResult

    /** Larger than the state service takes, so never sent: repeating it would never help. */
    data object TooLarge : TransactionResult

    /** The tether is gone, whatever the conditions are. */
    data object LeaseNotFound : TransactionResult
}

internal sealed interface ReadResult<out T> {
    data class Found<T>(
        val value: T,
    ) : ReadResult<T>

    data object Absent : ReadResult<Nothing>

    data object Failed : ReadResult<Nothing>
}

/** How the listing of the rows under a prefix ended. */
internal sealed interface ListResult<out T> {
    data class Listed<T>(
        val value: T,
    ) : ListResult<T>

    /** The rows, or some of them, could not be read. */
    data object Failed : ListResult<Nothing>
}

internal data class Listing(
    val rows: List<Row>,
    val revision: Long,
)

/** One answer to a listing; where it is truncated, more rows follow the last one. */
internal data class ListPage(
    val rows: List<Row>,
    val truncated: Boolean,
    val revision: Long,
)
