package burlridge.api

import burlridge.allocation.Job
import burlridge.allocation.JobRegistry
import burlridge.allocation.JobState
import burlridge.core.HttpResponse
import burlridge.core.StepContext
import burlridge.leadership.Leadership
import burlridge.peer.LeaderRequests
import burlridge.worker.JobObserver

/**
 * Responds with the state of jobs that have not ended. The rows do not say whether tasks run, so that only the leader knows, and only from
 * recent reports of the workers. A state that may lag by more than [JobObserver.MAX_LAG_SECONDS] is not reported: the response is then 504.
 */
internal class ActiveJobState(
    private val context: StepContext,
    private val leadership: Leadership,
    private val registry: JobRegistry,
    private val authority: JobAuthority,
    private val leaderRequests: LeaderRequests,
    private val observer: JobObserver,
    private val responses: JobResponses,
) {
    /** The ways to the leader that are left when a member cannot tell the state of a job itself. */
    enum class LeaderAccess {
        ANY,

        /** The leader has not responded to this member, so that only others can ask it. */
        THROUGH_OTHERS,

        /** The request was forwarded already. */
        NONE,
    }

    /** Responds with the state of [job], for which [JobAuthority.activeJob] holds. */
    fun respond(
        job: Job,
        respond: (HttpResponse) -> Unit,
    ) = observer.observe(job) { state -> respond(responseTo(job, state)) }

    private fun responseTo(
        job: Job,
        state: JobState?,
    ): HttpResponse {
        val id = job.spec.id
        registry.finishedJob(id)?.let { return responses.finished(id, it) }
        return if (state == null || authority.activeJob(id) !== job) responses.stateUnknown() else responses.progress(job, state)
    }

    /** Responds with the state of the job [id], whose active row [stored] has just been read. */
    fun respond(
        id: String,
        stored: StoredJob.Active,
        access: LeaderAccess,
        respond: (HttpResponse) -> Unit,
    ) {
        val known = knownResponse(id, stored)
        if (known != null) respond(known) else askLeader(id, access, respond)
    }

    /** Returns the response if this member can tell that the state of a job with an active row is recent; otherwise null. */
    private fun knownResponse(
        id: String,
        stored: StoredJob.Active,
    ): HttpResponse? {
        val job = registry.jobs[id]
        return when {
            job != null -> knownState(job)?.let { responses.progress(job, it) }
            isJustAccepted(stored) -> responses.state(id, JobState.QUEUED)
            authority.mayDecide && !hasAllocations(id) -> responses.state(id, JobState.QUEUED)
            else -> null
        }
    }

    /** Without its lease, a leader still learns from workers that a task runs, but another leader may have started a task that it does not know. */
    private fun knownState(job: Job): JobState? = observer.stateOf(job)?.takeIf { it == JobState.RUNNING || authority.mayDecide }

    /** Whether the job was accepted so recently that no task can have run before the lag that is permitted. */
    private fun isJustAccepted(stored: StoredJob.Active): Boolean {
        val clockBoundMillis = context.settings.clockBoundMillis ?: return false
        val ageMillis = context.wallMillis - stored.submittedMillis + 2 * clockBoundMillis
        return ageMillis < MAX_ACCEPTED_AGE_MILLIS
    }

    private fun hasAllocations(id: String): Boolean = registry.allocations.notEnded.any { it.job == id }

    private fun askLeader(
        id: String,
        access: LeaderAccess,
        respond: (HttpResponse) -> Unit,
    ) {
        val leader = leadership.knownLeader?.takeIf { it != context.settings.member }
        val path = "${JobApi.PATH}/$id"

        fun onResponse(response: HttpResponse?) {
            response?.let { responses.recordEnd(id, it) }
            respond(response ?: responses.stateUnknown())
        }
        when {
            leader == null || access == LeaderAccess.NONE -> respond(responses.stateUnknown())
            access == LeaderAccess.ANY -> leaderRequests.get(leader, path, ::onResponse)
            else -> leaderRequests.getThroughFollowers(leader, path, ::onResponse)
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0

        /** The rest of the lag is left for the way to the user. */
        const val MAX_ACCEPTED_AGE_MILLIS = JobObserver.MAX_LAG_SECONDS * MILLIS_PER_SECOND * 0.8
    }
}
