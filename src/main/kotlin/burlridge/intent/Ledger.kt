package burlridge.intent

import burlridge.app.Context
import burlridge.app.Json
import burlridge.intake.JobSpec
import burlridge.intake.Size
import burlridge.leadership.Leadership
import burlridge.store.Condition
import burlridge.store.Op
import burlridge.store.Row
import burlridge.store.Store
import burlridge.store.Txn
import burlridge.store.TxnResult
import burlridge.store.Urgency
import com.fasterxml.jackson.databind.JsonNode
import com.google.common.cache.CacheBuilder
import java.util.Base64
import java.util.BitSet

/** The leader's picture of jobs and claims, each of its changes written under the fence of its term. */
internal class Ledger(
    private val ctx: Context,
    private val store: Store,
    private val leadership: Leadership,
) {
    val jobs: LinkedHashMap<String, Job> = LinkedHashMap()

    /** Active claims by machine. */
    val byMachine: HashMap<String, LinkedHashMap<String, Claim>> = HashMap()
    val used: HashMap<String, Size> = HashMap()
    private val rounds = LinkedHashMap<String, Round>()
    private var nextRound = 0L
    private var lastCleanAt = 0.0

    /** Ends once told stay told; only durable ones get in here. */
    private val ends = CacheBuilder.newBuilder().maximumSize(ENDS_KEPT).build<String, End>()

    data class End(
        val standing: Standing,
        val fingerprint: String,
        val tasks: Int,
    )

    fun end(job: String): End? = ends.getIfPresent(job)

    fun learnEnd(
        job: String,
        row: JsonNode,
    ): End? {
        val standing = Standing.entries.firstOrNull { it.wire == row.path("st").asText() } ?: return null
        return End(standing, row.path("fp").asText(), row.path("n").asInt()).also { ends.put(job, it) }
    }

    fun clear() {
        jobs.clear()
        byMachine.clear()
        used.clear()
        rounds.clear()
        nextRound = 0
    }

    fun fence(): Condition = Condition(Leadership.TERM, leadership.fence)

    private fun stillMine(term: Long): () -> Boolean = { leadership.leading && leadership.term == term }

    // --- jobs

    fun admit(
        job: String,
        row: JsonNode,
        stamp: Long,
    ): Job? {
        jobs[job]?.let { return it }
        if (end(job) != null) return null
        val spec =
            try {
                JobSpec.parse(row.path("job"))
            } catch (e: burlridge.intake.BadJob) {
                ctx.error("row live/$job cannot be read: ${e.message}")
                return null
            }
        return Job(spec, stamp, row.path("at").asLong()).also { jobs[job] = it }
    }

    fun loadProgress(row: Row) {
        val parts = row.key.split('/')
        val job = jobs[parts.getOrNull(1)] ?: return
        val chunk = parts.getOrNull(2)?.toIntOrNull() ?: return
        val bits = BitSet.valueOf(Base64.getDecoder().decode(row.value.path("bits").asText()))
        bits.stream().forEach {
            job.done.set(chunk * CHUNK + it)
            job.durable.set(chunk * CHUNK + it)
        }
        job.progress.put(chunk, row.stamp)
    }

    fun markDone(
        job: Job,
        task: Int,
    ) {
        if (!job.done.get(task)) job.done.set(task)
        if (job.complete) finish(job, Standing.DONE)
    }

    /** Writes the end of [job]; the one transaction that moves its row decides between done and withdrawn. */
    fun finish(
        job: Job,
        standing: Standing,
    ) {
        if (job.ending != null) return
        job.ending = standing
        val id = job.spec.id
        val row =
            Json.obj {
                put("st", standing.wire)
                put("fp", job.spec.fingerprint)
                put("n", job.spec.tasks)
            }
        val txn =
            Txn(
                listOf(fence(), Condition("live/$id", job.stamp), Condition("over/$id", 0)),
                listOf(Op.Delete("live/$id"), Op.Put("over/$id", row)) + job.progress.keys.map { Op.Delete("prog/$id/$it") },
            )
        val urgency = if (standing == Standing.DONE) Urgency.FINISH else Urgency.USER
        store.ensure(txn, urgency, stillMine(leadership.term)) { result ->
            when (result) {
                is TxnResult.Done -> {
                    ended(job, standing)
                }

                is TxnResult.Conflict -> {
                    if (Leadership.TERM in result.failed) {
                        leadership.stepDown("its term has been passed")
                    } else {
                        readEnd(job)
                    }
                }

                else -> {
                    job.ending = null
                }
            }
        }
    }

    /** An earlier copy of our own transaction may have been the one that was applied. */
    private fun readEnd(job: Job) {
        val term = leadership.term
        store.get("over/${job.spec.id}", Urgency.FINISH) { read ->
            if (!stillMine(term)()) return@get
            val end = (read as? burlridge.store.Read.Found)?.value?.value?.let { learnEnd(job.spec.id, it) }
            if (end != null) ended(job, end.standing) else ctx.later(1.0) { if (stillMine(term)()) readEnd(job) }
        }
    }

    private fun ended(
        job: Job,
        standing: Standing,
    ) {
        job.over = standing
        ends.put(job.spec.id, End(standing, job.spec.fingerprint, job.spec.tasks))
        jobs.remove(job.spec.id)
        ctx.info("job ${job.spec.id} is ${standing.wire}")
        job.whenOver.forEach { it(standing) }
        job.whenOver.clear()
    }

    // --- claims

    /** Reserves [claims] and writes their row; [then] is told whether they may be sent. */
    fun claim(
        claims: List<Claim>,
        then: (Boolean) -> Unit,
    ) {
        val round = Round("${leadership.term}-${nextRound++}", claims)
        rounds[round.number] = round
        claims.forEach {
            it.round = round
            it.claimedAt = ctx.now
            hold(it)
        }
        val conditions = claims.map { it.job }.distinct().mapNotNull { id -> jobs[id]?.let { Condition("live/$id", it.stamp) } }
        val txn =
            Txn(listOf(fence(), Condition("round/${round.number}", 0)) + conditions, listOf(Op.Put("round/${round.number}", encode(round))))
        round.writing = true
        store.ensure(txn, Urgency.CLAIM, stillMine(leadership.term)) { result -> claimed(round, result, then) }
    }

    private fun claimed(
        round: Round,
        result: TxnResult,
        then: (Boolean) -> Unit,
    ) {
        when (result) {
            is TxnResult.Done -> {
                round.stamp = result.revision
                round.writing = false
                round.claims.forEach { if (it.phase == Phase.CLAIMING) it.phase = Phase.CLAIMED }
                then(true)
            }

            is TxnResult.Conflict -> {
                when {
                    Leadership.TERM in result.failed -> {
                        leadership.stepDown("its term has been passed")
                    }

                    // An earlier copy of this very transaction was applied: only we write this key.
                    "round/${round.number}" in result.failed -> {
                        readRound(round, then)
                    }

                    // A job in it is over, so nothing was claimed.
                    else -> {
                        drop(round)
                        then(false)
                    }
                }
            }

            else -> {
                drop(round)
                then(false)
            }
        }
    }

    private fun readRound(
        round: Round,
        then: (Boolean) -> Unit,
    ) {
        val term = leadership.term
        store.get("round/${round.number}", Urgency.CLAIM) { read ->
            if (!stillMine(term)()) return@get
            when (read) {
                is burlridge.store.Read.Found -> {
                    claimed(round, TxnResult.Done(read.value.stamp), then)
                }

                burlridge.store.Read.Absent -> {
                    drop(round)
                    then(false)
                }

                burlridge.store.Read.Failed -> {
                    ctx.later(1.0) { if (stillMine(term)()) readRound(round, then) }
                }
            }
        }
    }

    private fun drop(round: Round) {
        rounds.remove(round.number)
        round.claims.forEach { release(it, lost = true) }
    }

    private fun hold(claim: Claim) {
        jobs[claim.job]?.let { job ->
            job.claims.put(claim.task, claim)
            job.lastRun.put(claim.task, maxOf(claim.run, job.lastRun.get(claim.task)))
        }
        byMachine.getOrPut(claim.machine) { LinkedHashMap() }[claim.piece] = claim
        used.merge(claim.charge.team, claim.charge.size, Size::plus)
    }

    /** The claim's task is known to be gone from its machine, and no start of it can come any more. */
    fun release(
        claim: Claim,
        lost: Boolean,
    ) {
        if (claim.ended) return
        claim.phase = Phase.ENDED
        claim.lost = lost
        if (lost) claim.round?.stale = true
        byMachine[claim.machine]?.let { if (it[claim.piece] === claim) it.remove(claim.piece) }
        jobs[claim.job]?.let { if (it.claims.get(claim.task) === claim) it.claims.remove(claim.task) }
        used.merge(claim.charge.team, claim.charge.size, Size::minus)
    }

    private fun encode(round: Round): JsonNode =
        Json.obj {
            put("st", "claimed")
            put("tok", leadership.term)
            put("until", ctx.wallMs + (ctx.settings.workers.leaseS * 1000).toLong())
            val jobs = round.claims.associate { it.job to it.charge }
            putObject("jobs").apply {
                jobs.forEach { (id, charge) ->
                    putArray(id)
                        .add(charge.team)
                        .add(charge.size.cpus)
                        .add(charge.size.gpus)
                        .add(charge.size.memoryGb)
                }
            }
            val starts = putArray("s")
            round.claims.forEach {
                starts
                    .addArray()
                    .add(
                        it.job,
                    ).add(it.task)
                    .add(it.run)
                    .add(it.machine)
                    .add(it.session)
                    .add(if (it.lost) 1 else 0)
                    .add(it.zone)
            }
            put(
                "fp",
                com.google.common.hash.Hashing
                    .sha256()
                    .hashUnencodedChars(starts.toString())
                    .toString()
                    .take(16),
            )
        }

    fun loadRound(row: Row) {
        val number = row.key.substringAfter('/')
        val charges =
            row.value.path("jobs").properties().associate { (id, v) ->
                id to Charge(v.path(0).asText(), Size(v.path(1).asDouble(), v.path(2).asDouble(), v.path(3).asDouble()))
            }
        val claims =
            row.value.path("s").mapNotNull { s ->
                val charge = charges[s.path(0).asText()] ?: return@mapNotNull null
                Claim(
                    s.path(0).asText(),
                    s.path(1).asInt(),
                    s.path(2).asInt(),
                    s.path(3).asText(),
                    s.path(4).asLong(),
                    s.path(6).asText(""),
                    charge,
                    Phase.SENT,
                ).also {
                    it.lost = s.path(5).asInt() == 1
                    it.claimedAt = ctx.now
                }
            }
        val round = Round(number, claims)
        round.stamp = row.stamp
        rounds[number] = round
        claims.forEach { claim ->
            claim.round = round
            if (claim.lost) {
                claim.phase = Phase.ENDED
                jobs[claim.job]?.let { it.lastRun.put(claim.task, maxOf(claim.run, it.lastRun.get(claim.task))) }
            } else {
                hold(claim)
            }
        }
    }

    /** After all rows are in: of two claims of one task only the later can be open. */
    fun settleLoaded() {
        for (round in rounds.values) {
            for (claim in round.claims) {
                if (claim.ended) continue
                val job = jobs[claim.job] ?: continue
                val last = job.lastRun.get(claim.task)
                when {
                    claim.run < last -> release(claim, lost = true)
                    job.durable.get(claim.task) -> release(claim, lost = false)
                }
            }
        }
        for (round in rounds.values) round.claims.filter { !it.ended }.forEach { jobs[it.job]?.claims?.put(it.task, it) }
        jobs.values.toList().forEach { if (it.complete) finish(it, Standing.DONE) }
    }

    // --- lazy writes

    fun tick() {
        jobs.values.forEach { flush(it) }
        if (ctx.now - lastCleanAt < CLEAN_S) return
        lastCleanAt = ctx.now
        val finished = rounds.values.filter { it.stamp > 0 && !it.writing && it.claims.all(::settled) }.take(ctx.settings.store.txnOps)
        if (finished.isNotEmpty()) remove(finished)
        rounds.values
            .filter { it.stale && it.stamp > 0 && !it.writing }
            .take(2)
            .forEach { rewrite(it) }
    }

    /** Nothing of this claim needs remembering: its task's end is durable, or a later run has been claimed. */
    private fun settled(claim: Claim): Boolean {
        if (!claim.ended) return false
        val job = jobs[claim.job] ?: return true
        if (job.durable.get(claim.task)) return true
        val newer = job.claims.get(claim.task) ?: return false
        return newer.run > claim.run && newer.phase != Phase.CLAIMING
    }

    private fun remove(list: List<Round>) {
        list.forEach { it.writing = true }
        val txn = Txn(listOf(fence()), list.map { Op.Delete("round/${it.number}") })
        store.ensure(txn, Urgency.CLEANUP, stillMine(leadership.term)) { result ->
            if (result is TxnResult.Done) list.forEach { rounds.remove(it.number) } else leadership.stepDown("its term has been passed")
        }
    }

    private fun rewrite(round: Round) {
        round.writing = true
        round.stale = false
        val txn =
            Txn(listOf(fence(), Condition("round/${round.number}", round.stamp)), listOf(Op.Put("round/${round.number}", encode(round))))
        store.ensure(txn, Urgency.CLEANUP, stillMine(leadership.term)) { result ->
            round.writing = false
            when (result) {
                is TxnResult.Done -> {
                    round.stamp = result.revision
                }

                is TxnResult.Conflict -> {
                    if (Leadership.TERM in result.failed) {
                        leadership.stepDown("its term has been passed")
                    } else {
                        store.get("round/${round.number}", Urgency.CLEANUP) { read ->
                            (read as? burlridge.store.Read.Found)?.let { round.stamp = it.value.stamp }
                            round.stale = true
                        }
                    }
                }

                else -> {
                    round.stale = true
                }
            }
        }
    }

    private fun flush(job: Job) {
        if (job.flushing || job.ending != null || ctx.now - job.lastFlushAt < ctx.settings.workers.reportS) return
        if (job.done.cardinality() == job.durable.cardinality()) return
        val fresh = job.done.clone() as BitSet
        fresh.andNot(job.durable)
        val chunk = fresh.nextSetBit(0) / CHUNK
        val written = job.done.get(chunk * CHUNK, (chunk + 1) * CHUNK)
        val key = "prog/${job.spec.id}/$chunk"
        val value = Json.obj { put("bits", Base64.getEncoder().encodeToString(written.toByteArray())) }
        job.flushing = true
        job.lastFlushAt = ctx.now
        val txn = Txn(listOf(fence(), Condition("live/${job.spec.id}", job.stamp)), listOf(Op.Put(key, value)))
        job.progress.putIfAbsent(chunk, 0L)
        store.ensure(txn, Urgency.FINISH, stillMine(leadership.term)) { result ->
            job.flushing = false
            when {
                result is TxnResult.Done -> written.stream().forEach { job.durable.set(chunk * CHUNK + it) }
                result is TxnResult.Conflict && Leadership.TERM in result.failed -> leadership.stepDown("its term has been passed")
            }
        }
    }

    internal companion object {
        /** Tasks a progress row covers: a bit each, in base64 well under the smallest value size that is sensible. */
        const val CHUNK = 32_768
        private const val ENDS_KEPT = 20_000L
        private const val CLEAN_S = 1.0
    }
}
