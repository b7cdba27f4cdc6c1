package burlridge.api

import burlridge.allocation.FinishedJobRow
import burlridge.allocation.JobState

/** What the rows of a job say. */
internal sealed interface StoredJob {
    /** A row could not be read, or means nothing to this version. */
    data object Unreadable : StoredJob

    /** There is no row: no such job was ever accepted. */
    data object Missing : StoredJob

    /** The job was accepted, with the specification of this [fingerprint]. */
    sealed interface Present : StoredJob {
        val fingerprint: String
        val jobState: JobState
    }

    /** The job has not ended. The row does not say whether it runs. */
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
