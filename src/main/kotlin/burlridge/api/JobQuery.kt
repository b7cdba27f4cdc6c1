package burlridge.api

import burlridge.core.HttpResponse
import burlridge.core.StepContext
import burlridge.job.JobSpec
import burlridge.leadership.Leadership
import burlridge.peer.LeaderRequests
import burlridge.peer.PeerRequests

/** Serves queries: from memory if possible, otherwise by forwarding to another member, usually the leader, or from the job's rows. */
internal class JobQuery(
    private val context: StepContext,
    private val leadership: Leadership,
    private val authority: JobAuthority,
    private val peers: PeerRequests,
    private val leaderRequests: LeaderRequests,
    private val lookup: JobLookup,
    private val activeJobs: ActiveJobState,
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
        if (lookup.tryRespondToQuery(id, respond)) return
        if (isForwarded || (authority.mayDecide && authority.isEndUncertain(id))) {
            return queryRows(id, ActiveJobState.LeaderAccess.NONE, respond)
        }
        val target = if (leadership.isLeader) peers.memberReachingStore() else leadership.knownLeader ?: peers.memberReachingStore()
        if (target == null || target == context.settings.member) return queryRows(id, ActiveJobState.LeaderAccess.ANY, respond)
        leaderRequests.getDirectly(target, "${JobApi.PATH}/$id") { response ->
            if (response == null) {
                queryRows(id, ActiveJobState.LeaderAccess.THROUGH_OTHERS, respond)
            } else {
                responses.recordEnd(id, response)
                respond(response)
            }
        }
    }

    private fun queryRows(
        id: String,
        access: ActiveJobState.LeaderAccess,
        respond: (HttpResponse) -> Unit,
    ) {
        rows.read(id) { stored ->
            when (stored) {
                StoredJob.Unreadable -> respond(responses.storeUnavailable())
                StoredJob.Missing -> respond(responses.notFound())
                is StoredJob.Active -> activeJobs.respond(id, stored, access, respond)
                is StoredJob.Finished -> respond(responses.finished(id, stored.row))
            }
        }
    }
}
