package burlridge.api

import burlridge.allocation.FinishedJobRow
import burlridge.allocation.JobState

/** The state of a job according to its rows. */
internal sealed interface StoredJob {
    /** A row could not be read from the store, or this version cannot decode it. */
    data object Unreadable : StoredJob

    /** There is no row: the job was never accepted. */
    data object Missing : StoredJob

    /** The job was accepted, with the specification that has this [fingerprint]. */
    sealed interface Present : StoredJob {
        val fingerprint: String
        val jobState: JobState
    }

    /** The job has not ended. The row does not say whether it is running, so [jobState] is queued. */
    data class Active(
        override val fingerprint: String,
    ) : Present {
        override val jobState: JobState = JobState.QUEUED
    }

    /** The job has ended. */
    data class Finished(
        val row: FinishedJobRow,
    ) : Present {
        override val fingerprint: String = row.fingerprint
        override val jobState: JobState = row.jobState
    }
}
