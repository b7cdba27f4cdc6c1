package burlridge.api

import burlridge.allocation.Job
import burlridge.allocation.JobRegistry
import burlridge.core.HttpResponse
import burlridge.core.StepContext
import burlridge.fleet.Fleet
import burlridge.leadership.GangFeatureGate
import burlridge.leadership.Leadership
import burlridge.peer.LeaderRequests
import burlridge.peer.PeerRequests
import burlridge.store.StoreClient
import burlridge.worker.JobObserver

/** Serves the users' requests: submit, query and cancel. A request that cannot be served now is refused at once instead of queued. */
internal class JobApi(
    context: StepContext,
    store: StoreClient,
    leadership: Leadership,
    registry: JobRegistry,
    fleet: Fleet,
    peers: PeerRequests,
    observer: JobObserver,
    gangGate: GangFeatureGate,
    /** Called when this member, as leader, has admitted a new job. */
    onAdmitted: () -> Unit,
    /** Called when this member, as leader, starts to end a job that was cancelled. */
    onCancelled: (Job) -> Unit,
) {
    private val responses = JobResponses(registry)
    private val rows = StoredJobReader(store, registry)
    private val leaderRequests = LeaderRequests(peers)
    private val authority = JobAuthority(leadership, registry)
    private val activeJobs = ActiveJobState(context, leadership, registry, authority, leaderRequests, observer, responses)
    private val lookup = JobLookup(registry, authority, rows, activeJobs, responses)
    private val validation = JobValidation(context, store)
    private val gangAdmission = GangAdmission(context, registry, gangGate, lookup, responses)
    private val creator =
        JobCreator(store, leadership, registry, peers, authority, lookup, responses, validation, ::onAccepted, onAdmitted)
    private val submission =
        JobSubmission(context, store, leadership, fleet, peers, authority, lookup, validation, gangAdmission, creator::create)
    private val query = JobQuery(context, leadership, authority, peers, leaderRequests, lookup, activeJobs, rows, responses)
    private val cancellation =
        JobCancellation(context, store, leadership, registry, peers, authority, lookup, responses, onCancelled)

    /** Set once a new leader has read all rows; before that it makes no decisions about jobs. */
    var isLoaded: Boolean by authority::isLoaded

    /** Submits the job that [body] describes; a request that [isForwarded] is not forwarded again. */
    fun submit(
        body: String,
        isForwarded: Boolean,
        respond: (HttpResponse) -> Unit,
    ) = submission.submit(body, isForwarded, respond)

    /** Responds with the state of the job [id]; a request that [isForwarded] is not forwarded again. */
    fun query(
        id: String,
        isForwarded: Boolean,
        respond: (HttpResponse) -> Unit,
    ) = query.query(id, isForwarded, respond)

    /** Cancels the job [id]; a request that [isForwarded] is not forwarded again. */
    fun cancel(
        id: String,
        isForwarded: Boolean,
        respond: (HttpResponse) -> Unit,
    ) = cancellation.cancel(id, isForwarded, respond)

    /** Records that this or another member has accepted [job]. */
    fun onAccepted(job: String) {
        submission.onAccepted(job)
    }

    internal companion object {
        /** The path to which jobs are submitted; each job has a path below it. */
        const val PATH: String = "/api/jobs"
    }
}
