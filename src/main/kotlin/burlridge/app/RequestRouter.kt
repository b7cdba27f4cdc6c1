package burlridge.app

import burlridge.admin.AdminRequests
import burlridge.api.JobApi
import burlridge.core.HttpResponse
import burlridge.core.HttpStatus
import burlridge.failover.Failover
import burlridge.fleet.Fleet
import burlridge.leadership.Leadership
import burlridge.worker.HeartbeatRelay
import burlridge.worker.WorkerManager

/** Dispatches each request, from a client or forwarded by another member, to the part that serves its path. */
internal class RequestRouter(
    /** The name of this member. */
    private val member: String,
    private val leadership: Leadership,
    private val workers: WorkerManager,
    private val relay: HeartbeatRelay,
    private val jobApi: JobApi,
    private val admin: AdminRequests,
    private val fleet: Fleet,
    private val failover: Failover?,
) {
    private val isReady: Boolean get() = fleet.catalog != null && failover?.isDraining != true

    /** Answers one request through [onResult], in this step or a later one; [forwardedBy] is null if it came directly from a client. */
    fun handle(
        method: String,
        path: String,
        body: String,
        forwardedBy: String?,
        onResult: (HttpResponse) -> Unit,
    ) {
        val isForwarded = forwardedBy != null
        when {
            path == READY -> ifMethod(method, GET, onResult) { onResult(readiness()) }
            path.startsWith(AdminRequests.PREFIX) -> admin.handle(method, path, body, isForwarded, onResult)
            path == HEARTBEAT -> ifMethod(method, POST, onResult) { heartbeat(body, forwardedBy, onResult) }
            path == JOBS -> ifMethod(method, POST, onResult) { jobApi.submit(body, isForwarded, onResult) }
            path.startsWith(JOB_PREFIX) -> handleJob(method, path, isForwarded, onResult)
            else -> onResult(unknownPath())
        }
    }

    /** Handles the paths of one job: `/api/jobs/<job>` and `/api/jobs/<job>/abort`. */
    private fun handleJob(
        method: String,
        path: String,
        isForwarded: Boolean,
        onResult: (HttpResponse) -> Unit,
    ) {
        val segments = path.trim('/').split('/')
        when {
            segments.size == JOB_SEGMENTS -> {
                ifMethod(method, GET, onResult) { jobApi.query(segments[JOB_SEGMENT], isForwarded, onResult) }
            }

            segments.size == JOB_SEGMENTS + 1 && segments.last() == ABORT -> {
                ifMethod(method, POST, onResult) { jobApi.cancel(segments[JOB_SEGMENT], isForwarded, onResult) }
            }

            else -> {
                onResult(unknownPath())
            }
        }
    }

    private fun ifMethod(
        method: String,
        allowed: String,
        onResult: (HttpResponse) -> Unit,
        handle: () -> Unit,
    ) {
        if (method == allowed) handle() else onResult(HttpResponse.methodNotAllowed(allowed))
    }

    private fun unknownPath() = HttpResponse.error(HttpStatus.NOT_FOUND, "no such path")

    private fun readiness() = if (isReady) HttpResponse(HttpStatus.OK, "{}") else HttpResponse.unavailable("starting")

    private fun heartbeat(
        body: String,
        forwardedBy: String?,
        onResult: (HttpResponse) -> Unit,
    ) {
        when {
            // Until the rows are loaded, a leader does not know which tasks are cancelled: an answer without stops would let them run on.
            leadership.mayAnswerWorkers && workers.isLoaded -> onResult(workers.onHeartbeat(body, forwardedBy))

            leadership.isLeader || forwardedBy != null -> onResult(HttpResponse.unavailable("leadership in doubt"))

            else -> relay.onHeartbeat(body, leadership.knownLeader?.takeIf { it != member }, onResult)
        }
    }

    private companion object {
        const val GET = "GET"
        const val POST = "POST"
        const val READY = "/ready"
        const val HEARTBEAT = "/agent/beat"
        const val JOBS = "/api/jobs"
        const val JOB_PREFIX = "$JOBS/"
        const val ABORT = "abort"

        /** Number of segments in the path of one job, and the index of the segment with the job's id. */
        const val JOB_SEGMENTS = 3
        const val JOB_SEGMENT = 2
    }
}
