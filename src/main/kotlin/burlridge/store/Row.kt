package burlridge.store

import com.fasterxml.jackson.databind.JsonNode

/** A row of the key-value store, last written at [modRevision]. */
internal data class Row(
    val key: String,
    val value: JsonNode,
    val modRevision: Long,
)

/** All rows under a prefix, in the order of their keys; every change after [revision] is still to be watched for. */
internal data class Listing(
    val rows: List<Row>,
    val revision: Long,
)

/** One answer to a listing, read at [revision]; where it [isTruncated], more rows follow the last one. */
internal data class ListPage(
    val rows: List<Row>,
    val isTruncated: Boolean,
    val revision: Long,
)
