package burlridge.store

/** What became of the reading of one row. */
internal sealed interface ReadResult<out T> {
    /** The row exists. */
    data class Found<T>(
        val value: T,
    ) : ReadResult<T>

    /** There is no such row. */
    data object Absent : ReadResult<Nothing>

    /** There is no usable answer. */
    data object Failed : ReadResult<Nothing>
}

/** What became of a listing, in whole or of one page. */
internal sealed interface ListResult<out T> {
    /** All rows were read. */
    data class Listed<T>(
        val value: T,
    ) : ListResult<T>

    /** Some of the rows, or all, could not be read. */
    data object Failed : ListResult<Nothing>
}
