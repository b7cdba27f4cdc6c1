package burlridge.api

import burlridge.allocation.Job
import burlridge.allocation.JobRegistry
import burlridge.leadership.Leadership

/** Whether this member may decide about jobs, and which of them it may describe from memory. */
internal class JobAuthority(
    private val leadership: Leadership,
    private val registry: JobRegistry,
) {
    /** Set once a new leader has read all rows. */
    var isLoaded: Boolean = false

    /** Whether this member may make decisions about jobs: it is the leader, holds its lease and has read all rows. */
    val mayDecide: Boolean get() = isLoaded && leadership.holdsLease

    /**
     * Whether the end of [id] may be durable without this leader knowing the result of the write. Other members may read that row and
     * report the end, so until the result is known, this member relies on the rows as well.
     */
    fun isEndUncertain(id: String): Boolean = registry.jobs[id]?.isEndUncertain == true

    /** Returns the job [id] if it certainly has not ended; null if this member cannot tell from memory. */
    fun activeJob(id: String): Job? = registry.jobs[id]?.takeIf { mayDecide && !it.isEndUncertain }
}
