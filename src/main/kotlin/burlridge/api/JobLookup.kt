package burlridge.api

import burlridge.allocation.JobRegistry
import burlridge.core.HttpResponse
import burlridge.job.JobSpec

/** Looks up the state of jobs: in memory if this member is the leader or knows that the job has ended, otherwise in the job's rows. */
internal class JobLookup(
    private val registry: JobRegistry,
    private val authority: JobAuthority,
    private val rows: StoredJobReader,
    private val activeJobs: ActiveJobState,
    private val responses: JobResponses,
) {
    /** Responds to a submission of [spec] and returns true if this member knows from memory that its id is in use; otherwise returns false. */
    fun tryRespondToSubmission(
        spec: JobSpec,
        respond: (HttpResponse) -> Unit,
    ): Boolean {
        val finished = registry.finishedJob(spec.id)
        val job = if (finished == null) authority.activeJob(spec.id) else null
        val fingerprint = finished?.fingerprint ?: job?.spec?.fingerprint ?: return false
        when {
            fingerprint != spec.fingerprint -> respond(responses.idTaken(spec.id))
            finished != null -> respond(responses.state(spec.id, finished.jobState))
            job != null -> activeJobs.respond(job, respond)
        }
        return true
    }

    /** Responds to a query of [id] and returns true if this member can tell its state from memory; otherwise returns false. */
    fun tryRespondToQuery(
        id: String,
        respond: (HttpResponse) -> Unit,
    ): Boolean {
        val finished = registry.finishedJob(id)
        val job = if (finished == null) authority.activeJob(id) else null
        if (finished != null) respond(responses.finished(id, finished))
        if (job != null) activeJobs.respond(job, respond)
        return finished != null || job != null
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
                is StoredJob.Present -> respondTo(id, fingerprint, stored, respond)
            }
        }
    }

    private fun respondTo(
        id: String,
        fingerprint: String?,
        stored: StoredJob.Present,
        respond: (HttpResponse) -> Unit,
    ) {
        if (fingerprint != null && stored.fingerprint != fingerprint) return respond(responses.idTaken(id))
        when (stored) {
            is StoredJob.Active -> activeJobs.respond(id, stored, ActiveJobState.LeaderAccess.ANY, respond)
            is StoredJob.Finished -> respond(responses.state(id, stored.row.jobState))
        }
    }

    /** Responds with [refusal] only if the job has no rows: a repetition of an accepted submission must not be refused. */
    fun refuseUnlessStored(
        id: String,
        fingerprint: String?,
        refusal: HttpResponse,
        respond: (HttpResponse) -> Unit,
    ) = respondFromRows(id, fingerprint, respond) { respond(refusal) }
}
