package burlridge.api

import burlridge.allocation.Job
import burlridge.allocation.Ledger
import burlridge.allocation.Standing
import burlridge.core.Answer
import burlridge.core.BoundedMap
import burlridge.core.Context
import burlridge.fleet.Fleet
import burlridge.job.BadJob
import burlridge.job.JobSpec
import burlridge.json.Json
import burlridge.leadership.Leadership
import burlridge.leadership.Versions
import burlridge.peer.Peers
import burlridge.store.Change
import burlridge.store.Condition
import burlridge.store.Read
import burlridge.store.Store
import burlridge.store.Transaction
import burlridge.store.TransactionResult
import burlridge.store.Urgency
import com.fasterxml.jackson.databind.JsonNode

/** What users ask: submit, query, abort. Nothing is held back; what cannot be done now is refused at once. */
internal class Intake(
    private val context: Context,
    private val store: Store,
    private val leadership: Leadership,
    private val ledger: Ledger,
    private val fleet: Fleet,
    private val peers: Peers,
    private val versions: Versions,
    private val onAccepted: () -> Unit,
    private val onWithdrawn: (Job) -> Unit,
) {
    /** Set once a new leader has read all rows. */
    var loaded: Boolean = false
    private val rows = JobRows(store, ledger)
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
        then: (Answer) -> Unit,
    ) {
        val node = Json.parseOrNull(body)
        if (node?.path("shape")?.asText() == JobSpec.GANG) {
            gate(node, then) { route(body, passedOn, then) }
        } else {
            route(body, passedOn, then)
        }
    }

    /**
     * A gang is taken once every member knows gangs, and never passed to one that may not. Until then it is refused at once; what
     * has been accepted is told all the same.
     */
    private fun gate(
        node: JsonNode,
        then: (Answer) -> Unit,
        go: () -> Unit,
    ) {
        val id = node.path("id").asText("")
        when {
            context.settings.workers.gang == null -> {
                refuseUnlessKnown(node, Answer.error(400, "this deployment serves no gangs: params.workers sets no gang times"), then)
            }

            versions.allKnowGangs || ledger.end(id) != null || ledger.jobs.containsKey(id) -> {
                go()
            }

            else -> {
                versions.ask { all ->
                    when (all) {
                        true -> go()
                        false -> refuseUnlessKnown(node, Answer.unavailable("not every member knows gangs yet", waitS), then)
                        null -> then(Answer.unavailable("the state service does not answer"))
                    }
                }
            }
        }
    }

    private val waitS = Math.ceil(context.settings.workers.reportS).toInt()

    private fun route(
        body: String,
        passedOn: Boolean,
        then: (Answer) -> Unit,
    ) {
        val helper = if (passedOn) null else peers.served()
        when {
            helper == null -> {
                submitHere(body, passedOn, then)
            }

            !store.served -> {
                peers.ask(helper, "POST", "/api/jobs", body, PASS_S) {
                    then(it ?: Answer.unavailable("no member can reach the state service"))
                }
            }

            else -> {
                submitHere(body, passedOn) { first ->
                    if (first.status != 503) {
                        then(first)
                    } else {
                        peers.ask(helper, "POST", "/api/jobs", body, PASS_S) { then(it ?: first) }
                    }
                }
            }
        }
    }

    private fun submitHere(
        body: String,
        passedOn: Boolean,
        then: (Answer) -> Unit,
    ) {
        val node = Json.parseOrNull(body)
        val spec =
            try {
                JobSpec.parse(node)
            } catch (e: BadJob) {
                refuseUnlessKnown(node, Answer.error(400, e.message.orEmpty()), then)
                return
            }
        known(spec)?.let { return then(it) }
        if (undecided(spec.id)) return lookUpOr(spec.id, spec.fingerprint, Answer.unavailable("its end is being written"), then)
        val types =
            fleet.catalog ?: return lookUpOr(spec.id, spec.fingerprint, Answer.unavailable("the machine types are not known yet"), then)
        val never = verdict.neverRuns(spec, types)
        if (never != null) return lookUpOr(spec.id, spec.fingerprint, Answer.error(422, never), then)
        if (recent[spec.id] == null) create(spec, then) else repeated(spec, body.takeUnless { passedOn }, then)
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
        then: (Answer) -> Unit,
    ) {
        val leader = leadership.knownLeader?.takeIf { it != context.settings.member }
        if (leader == null || body == null) return lookUpOrCreate(spec, then)
        peers.ask(leader, "POST", "/api/jobs", body, ASK_S) { if (it == null || it.status == 503) lookUpOrCreate(spec, then) else then(it) }
    }

    private fun lookUpOrCreate(
        spec: JobSpec,
        then: (Answer) -> Unit,
    ) = rows.read(spec.id) { found ->
        when {
            found == null -> then(Answer.unavailable("the state service does not answer"))
            found is Found.Nothing -> create(spec, then)
            found.fingerprint == spec.fingerprint -> then(told(spec.id, found.standing))
            else -> then(changed(spec.id))
        }
    }

    private fun known(spec: JobSpec): Answer? {
        ledger.end(spec.id)?.let { return if (it.fingerprint == spec.fingerprint) told(spec.id, it.standing) else changed(spec.id) }
        if (!decides || undecided(spec.id)) return null
        val job = ledger.jobs[spec.id] ?: return null
        return if (job.spec.fingerprint == spec.fingerprint) told(spec.id, job.standing) else changed(spec.id)
    }

    /**
     * Whether the end of [id] may be durable without this leader knowing: other members may read it and tell it, so until it is
     * settled this one goes by the rows as well.
     */
    private fun undecided(id: String): Boolean = ledger.jobs[id]?.inDoubt == true

    private fun changed(id: String) = Answer.error(409, "$id has been submitted with another description")

    private fun refuseUnlessKnown(
        node: JsonNode?,
        refusal: Answer,
        then: (Answer) -> Unit,
    ) {
        val id = node?.path("id")?.takeIf { it.isTextual }?.asText()
        if (id == null || !JobSpec.isId(id)) then(refusal) else lookUpOr(id, null, refusal, then)
    }

    /** A repeat of an accepted job is never called invalid, so the rows are asked before a refusal. */
    private fun lookUpOr(
        id: String,
        fingerprint: String?,
        refusal: Answer,
        then: (Answer) -> Unit,
    ) {
        rows.read(id) { found ->
            when {
                found == null -> then(Answer.unavailable("the state service does not answer"))
                found is Found.Nothing -> then(refusal)
                fingerprint == null || found.fingerprint == fingerprint -> then(told(id, found.standing))
                else -> then(changed(id))
            }
        }
    }

    private fun create(
        spec: JobSpec,
        then: (Answer) -> Unit,
    ) {
        val row = verdict.liveRow(spec)
        val txn =
            Transaction(
                listOf(Condition("live/${spec.id}", 0), Condition("over/${spec.id}", 0)),
                listOf(Change.Put("live/${spec.id}", row)),
            )
        store.txn(txn, Urgency.USER, PATIENCE_S) { result ->
            when (result) {
                is TransactionResult.Done -> {
                    accepted(spec, row, result.revision)
                    then(Answer(201, standing(spec.id, Standing.QUEUED)))
                }

                is TransactionResult.Conflict -> {
                    lookUpOr(spec.id, spec.fingerprint, Answer.unavailable("try again"), then)
                }

                TransactionResult.Unknown -> {
                    then(Answer.unavailable("the state service has not answered"))
                }

                TransactionResult.Refused, TransactionResult.NoLease, TransactionResult.TooLarge -> {
                    then(Answer.unavailable("the state service takes no more at the moment"))
                }
            }
        }
    }

    private fun accepted(
        spec: JobSpec,
        row: JsonNode,
        stamp: Long,
    ) {
        heardAccepted(spec.id)
        peers.tellAccepted(spec.id)
        if (leadership.leading && loaded) {
            ledger.admit(spec.id, row, stamp)
            onAccepted()
        }
    }

    // --- query

    fun query(
        id: String,
        passedOn: Boolean,
        then: (Answer) -> Unit,
    ) {
        if (!JobSpec.isId(id)) return then(Answer.error(404, "no such job"))
        local(id)?.let { return then(it) }
        val leader = if (leadership.leading) peers.served() else leadership.knownLeader ?: peers.served()
        if (passedOn || leader == null || leader == context.settings.member || (decides && undecided(id))) return queryRows(id, then)
        peers.ask(leader, "GET", "/api/jobs/$id", "", ASK_S) { answer ->
            if (answer != null && answer.status != 503) {
                noteEnd(id, answer)
                then(answer)
            } else {
                queryRows(id, then)
            }
        }
    }

    private fun noteEnd(
        id: String,
        answer: Answer,
    ) {
        val body = Json.parseOrNull(answer.body) ?: return
        val standing = body.path("standing").asText()
        if (answer.status == 200 && (standing == Standing.DONE.wire || standing == Standing.WITHDRAWN.wire) && body.path("fp").isTextual) {
            ledger.learnEnd(
                id,
                Json.obj {
                    put("st", standing)
                    put("fp", body.path("fp").asText())
                    put("n", body.path("done").asInt())
                },
            )
        }
    }

    private fun local(id: String): Answer? {
        ledger.end(id)?.let { return Answer(200, ended(id, it)) }
        val job = ledger.jobs[id] ?: return null
        return if (decides && !job.inDoubt) Answer(200, progress(job)) else null
    }

    private fun queryRows(
        id: String,
        then: (Answer) -> Unit,
    ) {
        rows.read(id) { found ->
            when (found) {
                null -> then(Answer.unavailable("the state service does not answer"))
                is Found.Nothing -> then(Answer.error(404, "no such job"))
                is Found.Live -> then(local(id) ?: Answer(200, ledger.jobs[id]?.let(::progress) ?: standing(id, Standing.QUEUED)))
                is Found.Over -> then(Answer(200, ended(id, found.end)))
            }
        }
    }

    // --- abort

    fun abort(
        id: String,
        passedOn: Boolean,
        then: (Answer) -> Unit,
    ) {
        if (!JobSpec.isId(id)) return then(Answer.error(404, "no such job"))
        ledger.end(id)?.let { return then(told(id, it.standing)) }
        val leader = leadership.knownLeader
        when {
            decides -> {
                abortHere(id, then)
            }

            passedOn || leadership.leading || leader == null || leader == context.settings.member -> {
                then(Answer.unavailable("no leader at the moment"))
            }

            else -> {
                peers.ask(leader, "POST", "/api/jobs/$id/abort", "", ABORT_S) { answer ->
                    answer?.let { noteEnd(id, it) }
                    then(answer ?: Answer.unavailable("the leader does not answer"))
                }
            }
        }
    }

    private fun abortHere(
        id: String,
        then: (Answer) -> Unit,
    ) {
        val job = ledger.jobs[id]
        if (job != null) return withdraw(job, then)
        val term = leadership.term
        store.get("live/$id", Urgency.USER) { live ->
            when (live) {
                is Read.Found -> {
                    val found = if (leadership.term == term && decides) ledger.admit(id, live.value.value, live.value.stamp) else null
                    if (found !=
                        null
                    ) {
                        withdraw(found, then)
                    } else {
                        then(ledger.end(id)?.let { told(id, it.standing) } ?: Answer.unavailable("try again"))
                    }
                }

                Read.Failed -> {
                    then(Answer.unavailable("the state service does not answer"))
                }

                Read.Absent -> {
                    lookUpOr(id, null, Answer.error(404, "no such job"), then)
                }
            }
        }
    }

    private fun withdraw(
        job: Job,
        then: (Answer) -> Unit,
    ) {
        var told = false
        job.whenOver += { standing ->
            if (!told) {
                told = true
                then(told(job.spec.id, standing))
            }
        }
        context.later(ABORT_S * 0.8) {
            if (!told) {
                told = true
                then(Answer.unavailable("the state service has not answered"))
            }
        }
        ledger.finish(job, Standing.WITHDRAWN)
        onWithdrawn(job)
    }

    // --- bodies

    private fun told(
        id: String,
        standing: Standing,
    ) = Answer(200, standing(id, standing))

    private fun standing(
        id: String,
        standing: Standing,
    ): String =
        Json.write(
            Json.obj {
                put("id", id)
                put("standing", standing.wire)
                ledger.end(id)?.let { put("fp", it.fingerprint) }
            },
        )

    private fun progress(job: Job): String =
        Json.write(
            Json.obj {
                put("id", job.spec.id)
                put("standing", job.standing.wire)
                put("done", job.done.cardinality())
                put("running", job.running)
            },
        )

    private fun ended(
        id: String,
        end: Ledger.End,
    ): String =
        Json.write(
            Json.obj {
                put("id", id)
                put("standing", end.standing.wire)
                put("done", if (end.standing == Standing.DONE) end.tasks else 0)
                put("running", 0)
                put("fp", end.fingerprint)
            },
        )

    private companion object {
        const val RECENT_KEPT = 5_000
        const val PATIENCE_S = 0.8
        const val ASK_S = 0.6
        const val PASS_S = 1.0
        const val ABORT_S = 1.5
    }
}
