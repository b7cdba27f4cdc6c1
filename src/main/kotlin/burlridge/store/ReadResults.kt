package burlridge.store

/** Result of reading one row. */
internal sealed interface ReadResult<out T> {
    /** The row exists. */
    data class Found<T>(
        val value: T,
    ) : ReadResult<T>

    /** The row does not exist. */
    data object Absent : ReadResult<Nothing>

    /** There was no usable answer. */
    data object Failed : ReadResult<Nothing>
}

/** Result of a listing, or of one page of it. */
internal sealed interface ListResult<out T> {
    /** All rows of the listing or page were read. */
    data class Listed<T>(
        val value: T,
    ) : ListResult<T>

    /** Some of the rows, or all, could not be read. */
    data object Failed : ListResult<Nothing>
}
