package burlridge.api

import burlridge.allocation.JobRegistry
import burlridge.core.HttpResponse
import burlridge.job.JobSpec
import burlridge.leadership.Leadership

/** What this member knows of a job: by itself, where it leads or the job has ended, and from the job's rows otherwise. */
internal class JobLookup(
    private val leadership: Leadership,
    private val registry: JobRegistry,
    private val rows: StoredJobReader,
    private val responses: JobResponses,
) {
    /** Set once a new leader has read all rows. */
    var isLoaded: Boolean = false

    /** Whether this member decides on jobs: it leads, and has read all rows. */
    val mayDecide: Boolean get() = isLoaded && leadership.holdsLease

    /**
     * Whether the end of [id] may be durable without this leader knowing. Other members may read it and report it, so until it is
     * settled this one goes by the rows as well.
     */
    fun isEndUncertain(id: String): Boolean = registry.jobs[id]?.isEndUncertain == true

    /** The answer to a submission of [spec] that this member can give by itself; null where it cannot. */
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

    /** The answer to a query of [id] that this member can give by itself; null where it cannot. */
    fun responseToQuery(id: String): HttpResponse? {
        registry.finishedJob(id)?.let { return responses.finished(id, it) }
        val job = registry.jobs[id] ?: return null
        return if (mayDecide && !job.isEndUncertain) responses.progress(job) else null
    }

    /** Remembers that [id] has ended, where the [response] of another member says so. */
    fun recordEnd(
        id: String,
        response: HttpResponse,
    ) {
        JobResponses.decodeFinished(response)?.let { registry.recordFinished(id, it) }
    }

    /**
     * Responds with the state of [id] where it has been accepted, and calls [onMissing] where not. A [fingerprint] other than the
     * stored one is a conflict; null matches any.
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

    /** A repetition of an accepted submission is never refused, so the rows are read before [refusal] is given. */
    fun refuseUnlessStored(
        id: String,
        fingerprint: String?,
        refusal: HttpResponse,
        respond: (HttpResponse) -> Unit,
    ) = respondFromRows(id, fingerprint, respond) { respond(refusal) }
}
