package burlridge.api

import burlridge.allocation.ActiveJobRow
import burlridge.allocation.FinishedJobRow
import burlridge.allocation.Job
import burlridge.allocation.JobRegistry
import burlridge.allocation.JobState
import burlridge.core.BoundedMap
import burlridge.core.HttpResponse
import burlridge.core.StepContext
import burlridge.fleet.Fleet
import burlridge.job.InvalidJobException
import burlridge.job.JobSpec
import burlridge.json.Json
import burlridge.leadership.GangFeatureGate
import burlridge.leadership.GangSupport
import burlridge.leadership.Leadership
import burlridge.peer.PeerRequests
import burlridge.store.Change
import burlridge.store.Condition
import burlridge.store.ReadResult
import burlridge.store.RequestPriority
import burlridge.store.Row
import burlridge.store.StoreClient
import burlridge.store.Transaction
import burlridge.store.TransactionResult
import com.fasterxml.jackson.databind.JsonNode

/** What users ask: submit, query, abort. Nothing is held back; what cannot be done now is refused at once. */
internal class JobApi(
    private val context: StepContext,
    private val store: StoreClient,
    private val leadership: Leadership,
    private val registry: JobRegistry,
    private val fleet: Fleet,
    private val peers: PeerRequests,
    private val gangGate: GangFeatureGate,
    private val onAccepted: () -> Unit,
    private val onCancelled: (Job) -> Unit,
) {
    /** Set once a new leader has read all rows. */
    var loaded: Boolean = false
    private val rows = StoredJobReader(store, registry)
    private val verdict = JobValidation(context, store)
    private val decides: Boolean get() = loaded && leadership.holdsLease

    // --- submit

    /**
     * Submits here, or through a peer where the state service refuses this member alone. The row's key makes it safe to try
     * there what has an unknown outcome here. What has been passed on once is not passed on again.
     */
    fun submit(
        body: String,
        passedOn: Boolean,
        onResult: (HttpResponse) -> Unit,
    ) {
        val node = Json.parseOrNull(body)
        if (node?.path("shape")?.asText() == JobSpec.GANG) {
            gate(node, onResult) { route(body, passedOn, onResult) }
        } else {
            route(body, passedOn, onResult)
        }
    }

    /**
     * A gang is taken once every member knows gangs, and never passed to one that may not. Until then it is refused at once; what
     * has been accepted is told all the same.
     */
    private fun gate(
        node: JsonNode,
        onResult: (HttpResponse) -> Unit,
        go: () -> Unit,
    ) {
        val id = node.path("id").asText("")
        when {
            context.settings.workers.gang == null -> {
                refuseUnlessKnown(
                    node,
                    HttpResponse.error(400, "this deployment serves no gangs: params.workers sets no gang times"),
                    onResult,
                )
            }

            gangGate.allMembersSupportGangs || registry.endOf(id) != null || registry.jobs.containsKey(id) -> {
                go()
            }

            else -> {
                gangGate.check { support ->
                    when (support) {
                        GangSupport.ALL_MEMBERS -> {
                            go()
                        }

                        GangSupport.NOT_ALL_MEMBERS -> {
                            refuseUnlessKnown(node, HttpResponse.unavailable("not every member knows gangs yet", waitSeconds), onResult)
                        }

                        GangSupport.UNKNOWN -> {
                            onResult(HttpResponse.unavailable("the state service does not answer"))
                        }
                    }
                }
            }
        }
    }

    private val waitSeconds = Math.ceil(context.settings.workers.reportSeconds).toInt()

    private fun route(
        body: String,
        passedOn: Boolean,
        onResult: (HttpResponse) -> Unit,
    ) {
        val helper = if (passedOn) null else peers.memberWithStore()
        when {
            helper == null -> {
                submitHere(body, passedOn, onResult)
            }

            !store.isServing -> {
                peers.forward(helper, "POST", "/api/jobs", body, PASS_SECONDS) {
                    onResult(it ?: HttpResponse.unavailable("no member can reach the state service"))
                }
            }

            else -> {
                submitHere(body, passedOn) { first ->
                    if (first.status != 503) {
                        onResult(first)
                    } else {
                        peers.forward(helper, "POST", "/api/jobs", body, PASS_SECONDS) { onResult(it ?: first) }
                    }
                }
            }
        }
    }

    private fun submitHere(
        body: String,
        passedOn: Boolean,
        onResult: (HttpResponse) -> Unit,
    ) {
        val node = Json.parseOrNull(body)
        val spec =
            try {
                JobSpec.parse(node)
            } catch (e: InvalidJobException) {
                refuseUnlessKnown(node, HttpResponse.error(400, e.message.orEmpty()), onResult)
                return
            }
        known(spec)?.let { return onResult(it) }
        if (undecided(spec.id)) return lookUpOr(spec.id, spec.fingerprint, HttpResponse.unavailable("its end is being written"), onResult)
        val types =
            fleet.catalog
                ?: return lookUpOr(spec.id, spec.fingerprint, HttpResponse.unavailable("the machine types are not known yet"), onResult)
        val never = verdict.neverRuns(spec, types)
        if (never != null) return lookUpOr(spec.id, spec.fingerprint, HttpResponse.error(422, never), onResult)
        if (recent[spec.id] == null) create(spec, onResult) else repeated(spec, body.takeUnless { passedOn }, onResult)
    }

    /** Jobs accepted lately by whichever member: a repeat of one costs no write, and writes are what all members share least of. */
    private val recent = BoundedMap<String, Unit>(RECENT_KEPT)

    fun heardAccepted(job: String) {
        recent[job] = Unit
    }

    /** The leader knows at once; [body] is null where the request has been passed on already. */
    private fun repeated(
        spec: JobSpec,
        body: String?,
        onResult: (HttpResponse) -> Unit,
    ) {
        val leader = leadership.knownLeader?.takeIf { it != context.settings.member }
        if (leader == null || body == null) return lookUpOrCreate(spec, onResult)
        peers.forward(leader, "POST", "/api/jobs", body, ASK_SECONDS) {
            if (it == null ||
                it.status == 503
            ) {
                lookUpOrCreate(spec, onResult)
            } else {
                onResult(it)
            }
        }
    }

    private fun lookUpOrCreate(
        spec: JobSpec,
        onResult: (HttpResponse) -> Unit,
    ) = rows.read(spec.id) { found ->
        when {
            found == null -> onResult(HttpResponse.unavailable("the state service does not answer"))
            found is StoredJob.Missing -> create(spec, onResult)
            found.fingerprint == spec.fingerprint -> onResult(told(spec.id, found.jobState))
            else -> onResult(changed(spec.id))
        }
    }

    private fun known(spec: JobSpec): HttpResponse? {
        registry.endOf(spec.id)?.let { return if (it.fingerprint == spec.fingerprint) told(spec.id, it.jobState) else changed(spec.id) }
        if (!decides || undecided(spec.id)) return null
        val job = registry.jobs[spec.id] ?: return null
        return if (job.spec.fingerprint == spec.fingerprint) told(spec.id, job.jobState) else changed(spec.id)
    }

    /**
     * Whether the end of [id] may be durable without this leader knowing: other members may read it and tell it, so until it is
     * settled this one goes by the rows as well.
     */
    private fun undecided(id: String): Boolean = registry.jobs[id]?.isEndUncertain == true

    private fun changed(id: String) = HttpResponse.error(409, "$id has been submitted with another description")

    private fun refuseUnlessKnown(
        node: JsonNode?,
        refusal: HttpResponse,
        onResult: (HttpResponse) -> Unit,
    ) {
        val id = node?.path("id")?.takeIf { it.isTextual }?.asText()
        if (id == null || !JobSpec.isId(id)) onResult(refusal) else lookUpOr(id, null, refusal, onResult)
    }

    /** A repeat of an accepted job is never called invalid, so the rows are asked before a refusal. */
    private fun lookUpOr(
        id: String,
        fingerprint: String?,
        refusal: HttpResponse,
        onResult: (HttpResponse) -> Unit,
    ) {
        rows.read(id) { found ->
            when {
                found == null -> onResult(HttpResponse.unavailable("the state service does not answer"))
                found is StoredJob.Missing -> onResult(refusal)
                fingerprint == null || found.fingerprint == fingerprint -> onResult(told(id, found.jobState))
                else -> onResult(changed(id))
            }
        }
    }

    private fun create(
        spec: JobSpec,
        onResult: (HttpResponse) -> Unit,
    ) {
        val row = verdict.liveRow(spec)
        val transaction =
            Transaction(
                listOf(Condition(ActiveJobRow.key(spec.id), 0), Condition(FinishedJobRow.key(spec.id), 0)),
                listOf(Change.Put(ActiveJobRow.key(spec.id), row)),
            )
        store.commit(transaction, RequestPriority.USER, PATIENCE_SECONDS) { result ->
            when (result) {
                is TransactionResult.Committed -> {
                    accepted(spec, row, result.revision)
                    onResult(HttpResponse(201, jobState(spec.id, JobState.QUEUED)))
                }

                is TransactionResult.Conflict -> {
                    lookUpOr(spec.id, spec.fingerprint, HttpResponse.unavailable("try again"), onResult)
                }

                TransactionResult.Unknown -> {
                    onResult(HttpResponse.unavailable("the state service has not answered"))
                }

                TransactionResult.Rejected, TransactionResult.LeaseNotFound, TransactionResult.TooLarge -> {
                    onResult(HttpResponse.unavailable("the state service takes no more at the moment"))
                }
            }
        }
    }

    private fun accepted(
        spec: JobSpec,
        row: JsonNode,
        modRevision: Long,
    ) {
        heardAccepted(spec.id)
        peers.broadcastAccepted(spec.id)
        if (leadership.isLeader && loaded) {
            registry.admit(Row(ActiveJobRow.key(spec.id), row, modRevision))
            onAccepted()
        }
    }

    // --- query

    fun query(
        id: String,
        passedOn: Boolean,
        onResult: (HttpResponse) -> Unit,
    ) {
        if (!JobSpec.isId(id)) return onResult(HttpResponse.error(404, "no such job"))
        local(id)?.let { return onResult(it) }
        val leader = if (leadership.isLeader) peers.memberWithStore() else leadership.knownLeader ?: peers.memberWithStore()
        if (passedOn || leader == null || leader == context.settings.member || (decides && undecided(id))) return queryRows(id, onResult)
        peers.forward(leader, "GET", "/api/jobs/$id", "", ASK_SECONDS) { answer ->
            if (answer != null && answer.status != 503) {
                noteEnd(id, answer)
                onResult(answer)
            } else {
                queryRows(id, onResult)
            }
        }
    }

    private fun noteEnd(
        id: String,
        answer: HttpResponse,
    ) {
        val body = Json.parseOrNull(answer.body) ?: return
        val jobState = END_STATES.firstOrNull { it.wire == body.path("standing").asText() } ?: return
        if (answer.status == 200 && body.path("fp").isTextual) {
            registry.recordEnd(id, FinishedJobRow(jobState, body.path("fp").asText(), body.path("done").asInt()))
        }
    }

    private fun local(id: String): HttpResponse? {
        registry.endOf(id)?.let { return HttpResponse(200, ended(id, it)) }
        val job = registry.jobs[id] ?: return null
        return if (decides && !job.isEndUncertain) HttpResponse(200, progress(job)) else null
    }

    private fun queryRows(
        id: String,
        onResult: (HttpResponse) -> Unit,
    ) {
        rows.read(id) { found ->
            when (found) {
                null -> {
                    onResult(HttpResponse.unavailable("the state service does not answer"))
                }

                is StoredJob.Missing -> {
                    onResult(HttpResponse.error(404, "no such job"))
                }

                is StoredJob.Live -> {
                    onResult(local(id) ?: HttpResponse(200, registry.jobs[id]?.let(::progress) ?: jobState(id, JobState.QUEUED)))
                }

                is StoredJob.Over -> {
                    onResult(HttpResponse(200, ended(id, found.end)))
                }
            }
        }
    }

    // --- abort

    fun abort(
        id: String,
        passedOn: Boolean,
        onResult: (HttpResponse) -> Unit,
    ) {
        if (!JobSpec.isId(id)) return onResult(HttpResponse.error(404, "no such job"))
        registry.endOf(id)?.let { return onResult(told(id, it.jobState)) }
        val leader = leadership.knownLeader
        when {
            decides -> {
                abortHere(id, onResult)
            }

            passedOn || leadership.isLeader || leader == null || leader == context.settings.member -> {
                onResult(HttpResponse.unavailable("no leader at the moment"))
            }

            else -> {
                peers.forward(leader, "POST", "/api/jobs/$id/abort", "", ABORT_SECONDS) { answer ->
                    answer?.let { noteEnd(id, it) }
                    onResult(answer ?: HttpResponse.unavailable("the leader does not answer"))
                }
            }
        }
    }

    private fun abortHere(
        id: String,
        onResult: (HttpResponse) -> Unit,
    ) {
        val job = registry.jobs[id]
        if (job != null) return cancel(job, onResult)
        val term = leadership.term
        store.get(ActiveJobRow.key(id), RequestPriority.USER) { live ->
            when (live) {
                is ReadResult.Found -> {
                    val found =
                        if (leadership.term == term &&
                            decides
                        ) {
                            registry.admit(live.value)
                        } else {
                            null
                        }
                    if (found !=
                        null
                    ) {
                        cancel(found, onResult)
                    } else {
                        onResult(registry.endOf(id)?.let { told(id, it.jobState) } ?: HttpResponse.unavailable("try again"))
                    }
                }

                ReadResult.Failed -> {
                    onResult(HttpResponse.unavailable("the state service does not answer"))
                }

                ReadResult.Absent -> {
                    lookUpOr(id, null, HttpResponse.error(404, "no such job"), onResult)
                }
            }
        }
    }

    private fun cancel(
        job: Job,
        onResult: (HttpResponse) -> Unit,
    ) {
        var told = false
        job.endListeners += { jobState ->
            if (!told) {
                told = true
                onResult(told(job.spec.id, jobState))
            }
        }
        context.schedule(ABORT_SECONDS * 0.8) {
            if (!told) {
                told = true
                onResult(HttpResponse.unavailable("the state service has not answered"))
            }
        }
        registry.finish(job, JobState.CANCELLED)
        onCancelled(job)
    }

    // --- bodies

    private fun told(
        id: String,
        jobState: JobState,
    ) = HttpResponse(200, jobState(id, jobState))

    private fun jobState(
        id: String,
        jobState: JobState,
    ): String =
        Json.write(
            Json.obj {
                put("id", id)
                put("standing", jobState.wire)
                registry.endOf(id)?.let { put("fp", it.fingerprint) }
            },
        )

    private fun progress(job: Job): String =
        Json.write(
            Json.obj {
                put("id", job.spec.id)
                put("standing", job.jobState.wire)
                put("done", job.done.cardinality())
                put("running", job.runningCount)
            },
        )

    private fun ended(
        id: String,
        end: FinishedJobRow,
    ): String =
        Json.write(
            Json.obj {
                put("id", id)
                put("standing", end.jobState.wire)
                put("done", if (end.jobState == JobState.DONE) end.tasks else 0)
                put("running", 0)
                put("fp", end.fingerprint)
            },
        )

    private companion object {
        /** The states in which a job has ended. */
        val END_STATES = listOf(JobState.DONE, JobState.CANCELLED)
        const val RECENT_KEPT = 5_000
        const val PATIENCE_SECONDS = 0.8
        const val ASK_SECONDS = 0.6
        const val PASS_SECONDS = 1.0
        const val ABORT_SECONDS = 1.5
    }
}
