package burlridge.api

import burlridge.allocation.JobRegistry
import burlridge.core.HttpResponse
import burlridge.job.JobSpec
import burlridge.leadership.Leadership

/** Looks up the state of jobs: in memory if this member is the leader or knows that the job has ended, otherwise in the job's rows. */
internal class JobLookup(
    private val leadership: Leadership,
    private val registry: JobRegistry,
    private val rows: StoredJobReader,
    private val responses: JobResponses,
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

    /** Returns the response to a submission of [spec] if this member knows from memory that its id is in use, otherwise null. */
    fun responseToSubmission(spec: JobSpec): HttpResponse? {
        registry.finishedJob(spec.id)?.let {
            return if (it.fingerprint ==
                spec.fingerprint
            ) {
                responses.state(spec.id, it.jobState)
            } else {
                idTaken(spec)
            }
        }
        if (!mayDecide || isEndUncertain(spec.id)) return null
        val job = registry.jobs[spec.id] ?: return null
        return if (job.spec.fingerprint == spec.fingerprint) responses.state(spec.id, job.jobState) else idTaken(spec)
    }

    private fun idTaken(spec: JobSpec): HttpResponse = responses.idTaken(spec.id)

    /** Returns the response to a query of [id] if this member can tell it from memory, otherwise null. */
    fun responseToQuery(id: String): HttpResponse? {
        registry.finishedJob(id)?.let { return responses.finished(id, it) }
        val job = registry.jobs[id] ?: return null
        return if (mayDecide && !job.isEndUncertain) responses.progress(job) else null
    }

    /** Records that [id] has ended if the [response] of another member says so. */
    fun recordEnd(
        id: String,
        response: HttpResponse,
    ) {
        JobResponses.decodeFinished(response)?.let { registry.recordFinished(id, it) }
    }

    /**
     * Reads the rows of [id] and responds with its state if it has been accepted; calls [onMissing] if it has not. A [fingerprint] that
     * differs from the stored one is a conflict; null matches any.
     */
    fun respondFromRows(
        id: String,
        fingerprint: String?,
        respond: (HttpResponse) -> Unit,
        onMissing: () -> Unit,
    ) {
        rows.read(id) { stored ->
            when (stored) {
                StoredJob.Unreadable -> respond(responses.storeUnavailable())
                StoredJob.Missing -> onMissing()
                is StoredJob.Present -> respond(responseTo(id, fingerprint, stored))
            }
        }
    }

    private fun responseTo(
        id: String,
        fingerprint: String?,
        stored: StoredJob.Present,
    ): HttpResponse {
        val isSame = fingerprint == null || stored.fingerprint == fingerprint
        return if (isSame) responses.state(id, stored.jobState) else responses.idTaken(id)
    }

    /** Responds with [refusal] only if the job has no rows: a repetition of an accepted submission must not be refused. */
    fun refuseUnlessStored(
        id: String,
        fingerprint: String?,
        refusal: HttpResponse,
        respond: (HttpResponse) -> Unit,
    ) = respondFromRows(id, fingerprint, respond) { respond(refusal) }
}
