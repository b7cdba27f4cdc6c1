package burlridge.api

import burlridge.allocation.FinishedJobRow

/** The state of a job according to its rows. */
internal sealed interface StoredJob {
    /** A row could not be read from the store, or this version cannot decode it. */
    data object Unreadable : StoredJob

    /** There is no row: the job was never accepted. */
    data object Missing : StoredJob

    /** The job was accepted, with the specification that has this [fingerprint]. */
    sealed interface Present : StoredJob {
        val fingerprint: String
    }

    /** The job has not ended. The row does not say whether tasks of the job run. */
    data class Active(
        override val fingerprint: String,
        /** Wall-clock time of the member that accepted the job, in milliseconds. */
        val submittedMillis: Long,
    ) : Present

    /** The job has ended. */
    data class Finished(
        val row: FinishedJobRow,
    ) : Present {
        override val fingerprint: String = row.fingerprint
    }
}
