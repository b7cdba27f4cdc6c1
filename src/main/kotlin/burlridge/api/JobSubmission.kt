package burlridge.api

import burlridge.core.BoundedMap
import burlridge.core.HttpResponse
import burlridge.core.HttpStatus
import burlridge.core.StepContext
import burlridge.fleet.Fleet
import burlridge.job.InvalidJobException
import burlridge.job.JobSpec
import burlridge.leadership.Leadership
import burlridge.peer.PeerRequests
import burlridge.store.StoreClient

/** Serves submissions. They are idempotent: a repetition is recognized by the job's id and fingerprint, so a user can always retry. */
internal class JobSubmission(
    private val context: StepContext,
    private val store: StoreClient,
    private val leadership: Leadership,
    private val fleet: Fleet,
    private val peers: PeerRequests,
    private val authority: JobAuthority,
    private val lookup: JobLookup,
    private val validation: JobValidation,
    private val gangAdmission: GangAdmission,
    private val createJob: (JobSpec, (HttpResponse) -> Unit) -> Unit,
) {
    /** Jobs recently accepted by any member. A repetition costs no write, and writes are the scarcest resource that the members share. */
    private val recentlyAccepted = BoundedMap<String, Unit>(MAX_RECENTLY_ACCEPTED)

    /** Records that this or another member has accepted [job]. */
    fun onAccepted(job: String) {
        recentlyAccepted[job] = Unit
    }

    /** Submits the job that [body] describes; a request that [isForwarded] is not forwarded again. */
    fun submit(
        body: String,
        isForwarded: Boolean,
        respond: (HttpResponse) -> Unit,
    ) {
        val parsed = SubmissionBody(body)
        if (parsed.isGang) {
            gangAdmission.check(parsed, respond) { route(body, isForwarded, respond) }
        } else {
            route(body, isForwarded, respond)
        }
    }

    /**
     * Submits at this member, or through a peer if the key-value store rejects only this member's requests. The row is written only if its
     * key does not exist, so it is safe to submit through a peer after an attempt with unknown outcome at this member.
     */
    private fun route(
        body: String,
        isForwarded: Boolean,
        respond: (HttpResponse) -> Unit,
    ) {
        val peer = if (isForwarded) null else peers.memberReachingStore()
        when {
            peer == null -> {
                submitLocally(body, isForwarded, respond)
            }

            !store.isServing -> {
                forward(peer, body, FORWARD_TIMEOUT_SECONDS) {
                    respond(it ?: HttpResponse.unavailable("no member can reach the state service"))
                }
            }

            else -> {
                submitLocally(body, isForwarded = false) { first ->
                    if (first.status == HttpStatus.SERVICE_UNAVAILABLE) {
                        forward(peer, body, FORWARD_TIMEOUT_SECONDS) { respond(it ?: first) }
                    } else {
                        respond(first)
                    }
                }
            }
        }
    }

    private fun forward(
        member: String,
        body: String,
        timeoutSeconds: Double,
        onResponse: (HttpResponse?) -> Unit,
    ) = peers.forward(member, "POST", JobApi.PATH, body, timeoutSeconds, onResult = onResponse)

    private fun submitLocally(
        body: String,
        isForwarded: Boolean,
        respond: (HttpResponse) -> Unit,
    ) {
        // Parsed again instead of keeping the tree from `submit`: hundreds of submissions may wait at once, and trees take memory.
        val parsed = SubmissionBody(body)
        val spec =
            try {
                parsed.parse()
            } catch (e: InvalidJobException) {
                return refuseInvalid(parsed.jobId, e, respond)
            }
        if (lookup.tryRespondToSubmission(spec, respond)) return
        val refusal = refusalFor(spec)
        when {
            refusal != null -> lookup.refuseUnlessStored(spec.id, spec.fingerprint, refusal, respond)
            recentlyAccepted[spec.id] == null -> createJob(spec, respond)
            else -> submitRepeated(spec, body.takeUnless { isForwarded }, respond)
        }
    }

    private fun refuseInvalid(
        id: String?,
        error: InvalidJobException,
        respond: (HttpResponse) -> Unit,
    ) {
        val refusal = HttpResponse.error(HttpStatus.BAD_REQUEST, error.message.orEmpty())
        if (id == null) respond(refusal) else lookup.refuseUnlessStored(id, null, refusal, respond)
    }

    /** The refusal of a new job that cannot be accepted now or can never run; null if it can be accepted. */
    private fun refusalFor(spec: JobSpec): HttpResponse? {
        if (authority.isEndUncertain(spec.id)) return HttpResponse.unavailable("its end is being written")
        val catalog = fleet.catalog ?: return HttpResponse.unavailable("the machine types are not known yet")
        return when (val feasibility = validation.validate(spec, catalog)) {
            JobFeasibility.Feasible -> null
            is JobFeasibility.Infeasible -> HttpResponse.error(HttpStatus.UNPROCESSABLE, feasibility.reason)
        }
    }

    /** Forwards a repetition to the leader, which can respond without a read; [body] is null if the request must not be forwarded. */
    private fun submitRepeated(
        spec: JobSpec,
        body: String?,
        respond: (HttpResponse) -> Unit,
    ) {
        val leader = leadership.knownLeader?.takeIf { it != context.settings.member }
        if (leader == null || body == null) return lookUpOrCreate(spec, respond)
        forward(leader, body, LEADER_TIMEOUT_SECONDS) { response ->
            if (response == null || response.status == HttpStatus.SERVICE_UNAVAILABLE) {
                lookUpOrCreate(spec, respond)
            } else {
                respond(response)
            }
        }
    }

    private fun lookUpOrCreate(
        spec: JobSpec,
        respond: (HttpResponse) -> Unit,
    ) = lookup.respondFromRows(spec.id, spec.fingerprint, respond) { createJob(spec, respond) }

    private companion object {
        const val MAX_RECENTLY_ACCEPTED = 5_000
        const val LEADER_TIMEOUT_SECONDS = 0.6
        const val FORWARD_TIMEOUT_SECONDS = 1.0
    }
}
