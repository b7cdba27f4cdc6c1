package burlridge.api

import burlridge.allocation.JobRegistry
import burlridge.allocation.JobState
import burlridge.core.HttpResponse
import burlridge.core.HttpStatus
import burlridge.core.StepContext
import burlridge.job.JobSpec
import burlridge.leadership.Leadership
import burlridge.peer.PeerRequests

/** Serves queries: from memory if possible, otherwise by forwarding to another member, usually the leader, or from the job's rows. */
internal class JobQuery(
    private val context: StepContext,
    private val leadership: Leadership,
    private val registry: JobRegistry,
    private val peers: PeerRequests,
    private val lookup: JobLookup,
    private val rows: StoredJobReader,
    private val responses: JobResponses,
) {
    /** Responds with the state of the job [id]; a request that [isForwarded] is not forwarded again. */
    fun query(
        id: String,
        isForwarded: Boolean,
        respond: (HttpResponse) -> Unit,
    ) {
        if (!JobSpec.isValidId(id)) return respond(responses.notFound())
        lookup.responseToQuery(id)?.let { return respond(it) }
        val target = if (leadership.isLeader) peers.memberReachingStore() else leadership.knownLeader ?: peers.memberReachingStore()
        val mustReadRows = isForwarded || (lookup.mayDecide && lookup.isEndUncertain(id))
        if (mustReadRows || target == null || target == context.settings.member) return queryRows(id, respond)
        peers.forward(target, "GET", "${JobApi.PATH}/$id", "", FORWARD_TIMEOUT_SECONDS) { response ->
            if (response == null || response.status == HttpStatus.SERVICE_UNAVAILABLE) {
                queryRows(id, respond)
            } else {
                lookup.recordEnd(id, response)
                respond(response)
            }
        }
    }

    private fun queryRows(
        id: String,
        respond: (HttpResponse) -> Unit,
    ) {
        rows.read(id) { stored ->
            when (stored) {
                StoredJob.Unreadable -> respond(responses.storeUnavailable())
                StoredJob.Missing -> respond(responses.notFound())
                is StoredJob.Active -> respond(lookup.responseToQuery(id) ?: responseToActive(id))
                is StoredJob.Finished -> respond(responses.finished(id, stored.row))
            }
        }
    }

    private fun responseToActive(id: String): HttpResponse =
        registry.jobs[id]?.let(responses::progress) ?: responses.state(id, JobState.QUEUED)

    private companion object {
        const val FORWARD_TIMEOUT_SECONDS = 0.6
    }
}
