package burlridge.api

import burlridge.allocation.ActiveJobRow
import burlridge.allocation.Job
import burlridge.allocation.JobRegistry
import burlridge.allocation.JobState
import burlridge.core.HttpResponse
import burlridge.core.StepContext
import burlridge.job.JobSpec
import burlridge.leadership.Leadership
import burlridge.peer.PeerRequests
import burlridge.store.ReadResult
import burlridge.store.RequestPriority
import burlridge.store.Row
import burlridge.store.StoreClient

/** Serves cancellations. Only the leader cancels jobs; a cancellation is confirmed once the job's final state is durable. */
internal class JobCancellation(
    private val context: StepContext,
    private val store: StoreClient,
    private val leadership: Leadership,
    private val registry: JobRegistry,
    private val peers: PeerRequests,
    private val authority: JobAuthority,
    private val lookup: JobLookup,
    private val responses: JobResponses,
    private val onCancelled: (Job) -> Unit,
) {
    /** Cancels the job [id] unless it has ended, and responds with its state; a request that [isForwarded] is not forwarded again. */
    fun cancel(
        id: String,
        isForwarded: Boolean,
        respond: (HttpResponse) -> Unit,
    ) {
        if (!JobSpec.isValidId(id)) return respond(responses.notFound())
        registry.finishedJob(id)?.let { return respond(responses.state(id, it.jobState)) }
        val leader = leadership.knownLeader
        when {
            authority.mayDecide -> {
                cancelLocally(id, respond)
            }

            isForwarded || leadership.isLeader || leader == null || leader == context.settings.member -> {
                respond(HttpResponse.unavailable("no leader at the moment"))
            }

            else -> {
                forward(leader, id, respond)
            }
        }
    }

    private fun forward(
        leader: String,
        id: String,
        respond: (HttpResponse) -> Unit,
    ) {
        peers.forward(leader, "POST", "${JobApi.PATH}/$id/abort", "", FORWARD_TIMEOUT_SECONDS) { response ->
            response?.let { responses.recordEnd(id, it) }
            respond(response ?: HttpResponse.unavailable("the leader does not answer"))
        }
    }

    private fun cancelLocally(
        id: String,
        respond: (HttpResponse) -> Unit,
    ) {
        val job = registry.jobs[id]
        if (job != null) return cancel(job, respond)
        val term = leadership.term
        store.get(ActiveJobRow.key(id), RequestPriority.USER) { read ->
            when (read) {
                is ReadResult.Found -> admitAndCancel(id, term, read.value, respond)
                ReadResult.Failed -> respond(responses.storeUnavailable())
                ReadResult.Absent -> lookup.refuseUnlessStored(id, null, responses.notFound(), respond)
            }
        }
    }

    /** Cancels the job stored in [row], which this leader had not admitted yet. */
    private fun admitAndCancel(
        id: String,
        term: Long,
        row: Row,
        respond: (HttpResponse) -> Unit,
    ) {
        val job = if (leadership.term == term && authority.mayDecide) registry.admit(row) else null
        if (job != null) return cancel(job, respond)
        respond(registry.finishedJob(id)?.let { responses.state(id, it.jobState) } ?: HttpResponse.unavailable("try again"))
    }

    private fun cancel(
        job: Job,
        respond: (HttpResponse) -> Unit,
    ) {
        var hasResponded = false

        fun respondOnce(response: () -> HttpResponse) {
            if (hasResponded) return
            hasResponded = true
            respond(response())
        }
        job.onEnd { jobState -> respondOnce { responses.state(job.spec.id, jobState) } }
        context.schedule(END_WAIT_SECONDS) { respondOnce { responses.outcomeUnknown() } }
        registry.finish(job, JobState.CANCELLED)
        onCancelled(job)
    }

    private companion object {
        /** How long a member waits for the leader's response. */
        const val FORWARD_TIMEOUT_SECONDS = 1.5

        /** How long the leader waits for the final state to be durable, so that it responds before the forwarding member times out. */
        const val END_WAIT_SECONDS = FORWARD_TIMEOUT_SECONDS * 0.8
    }
}
