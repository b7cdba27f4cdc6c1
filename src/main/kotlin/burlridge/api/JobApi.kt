package burlridge.api

import burlridge.allocation.Job
import burlridge.allocation.JobRegistry
import burlridge.core.HttpResponse
import burlridge.core.StepContext
import burlridge.fleet.Fleet
import burlridge.leadership.GangFeatureGate
import burlridge.leadership.Leadership
import burlridge.peer.PeerRequests
import burlridge.store.StoreClient

/** The users' requests: submit, query, cancel. None is queued; what cannot be done now is refused at once. */
internal class JobApi(
    context: StepContext,
    store: StoreClient,
    leadership: Leadership,
    registry: JobRegistry,
    fleet: Fleet,
    peers: PeerRequests,
    gangGate: GangFeatureGate,
    /** Called when this member, as leader, has admitted a new job. */
    onAdmitted: () -> Unit,
    /** Called when this member, as leader, begins to end a job that was cancelled. */
    onCancelled: (Job) -> Unit,
) {
    private val responses = JobResponses(registry)
    private val rows = StoredJobReader(store, registry)
    private val lookup = JobLookup(leadership, registry, rows, responses)
    private val validation = JobValidation(context, store)
    private val gangAdmission = GangAdmission(context, registry, gangGate, lookup, responses)
    private val creator =
        JobCreator(store, leadership, registry, peers, lookup, responses, validation, ::onAccepted, onAdmitted)
    private val submission =
        JobSubmission(context, store, leadership, fleet, peers, lookup, validation, gangAdmission, creator::create)
    private val query = JobQuery(context, leadership, registry, peers, lookup, rows, responses)
    private val cancellation = JobCancellation(context, store, leadership, registry, peers, lookup, responses, onCancelled)

    /** Set once a new leader has read all rows; it decides on no job before. */
    var isLoaded: Boolean by lookup::isLoaded

    /** Accepts the job that [body] describes. */
    fun submit(
        body: String,
        isForwarded: Boolean,
        respond: (HttpResponse) -> Unit,
    ) = submission.submit(body, isForwarded, respond)

    /** Responds with the state of the job [id]. */
    fun query(
        id: String,
        isForwarded: Boolean,
        respond: (HttpResponse) -> Unit,
    ) = query.query(id, isForwarded, respond)

    /** Ends the job [id] before it is done. */
    fun cancel(
        id: String,
        isForwarded: Boolean,
        respond: (HttpResponse) -> Unit,
    ) = cancellation.cancel(id, isForwarded, respond)

    /** Any member has accepted [job]. */
    fun onAccepted(job: String) {
        submission.onAccepted(job)
    }

    internal companion object {
        /** Where jobs are submitted; below it each job has a path of its own. */
        const val PATH: String = "/api/jobs"
    }
}
