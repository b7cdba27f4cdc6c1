package burlridge.store

import com.fasterxml.jackson.databind.JsonNode

/** A row of the key-value store, last written at [modRevision]. */
internal data class Row(
    val key: String,
    val value: JsonNode,
    val modRevision: Long,
)

/** All rows under a prefix, in the order of their keys. Changes after [revision] may be missing and must be watched for. */
internal data class Listing(
    val rows: List<Row>,
    val revision: Long,
)

/** One page of a listing, read at [revision]. If it [isTruncated], more rows follow the last one. */
internal data class ListPage(
    val rows: List<Row>,
    val isTruncated: Boolean,
    val revision: Long,
)
