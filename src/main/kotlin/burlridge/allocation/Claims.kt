package burlridge.allocation

import burlridge.core.StepContext
import burlridge.job.Size
import burlridge.leadership.Leadership
import burlridge.store.Change
import burlridge.store.Condition
import burlridge.store.ReadResult
import burlridge.store.RequestPriority
import burlridge.store.Row
import burlridge.store.StoreClient
import burlridge.store.Transaction
import burlridge.store.TransactionResult

/** The claims of a leader, what they take of machines and limits, and the rows that they stand in. */
internal class Claims(
    private val context: StepContext,
    private val store: StoreClient,
    private val leadership: Leadership,
    private val jobs: Map<String, Job>,
) {
    /** Active claims by machine. */
    val byMachine: HashMap<String, LinkedHashMap<String, Claim>> = HashMap()
    val used: HashMap<String, Size> = HashMap()

    /** What the claims on each machine take. */
    private val usedOn = HashMap<String, Size>()
    private val rounds = LinkedHashMap<String, Round>()

    /** Rows whose round is settled: claimed anew by the next rounds, which saves their removal. */
    private val spare = ArrayDeque<Round>()
    private var nextRound = 0L

    /** Rounds whose row's outcome is open; more are not begun while the state service is behind. */
    var claiming: Int = 0
        private set

    /** Starts and jobs that one row and its transaction's conditions hold; fewer once a row has turned out too large. */
    var mostStarts: Int = 1
        private set
    var mostJobs: Int = 1
        private set

    init {
        clear()
    }

    fun usedOn(machine: String): Size = usedOn[machine] ?: Size.NONE

    fun clear() {
        byMachine.clear()
        used.clear()
        usedOn.clear()
        rounds.clear()
        spare.clear()
        nextRound = 0
        claiming = 0
        val limits = context.settings.store
        mostStarts = (limits.valueBytes / BYTES_A_START).coerceAtLeast(1)
        mostJobs = minOf(limits.changesPerTransaction * StoreClient.CONDITIONS_AN_OP - 2, limits.valueBytes / BYTES_A_JOB).coerceAtLeast(1)
    }

    /**
     * Reserves [claims] and writes their row; [onResult] is told which may now be sent. Those of a gang may once all of its attempt are
     * durable, in however many rows.
     */
    fun claim(
        claims: List<Claim>,
        onResult: (List<Claim>) -> Unit,
    ) {
        val number = "${leadership.term}-${nextRound++}"
        val before = spare.removeLastOrNull()
        val round = Round(before?.slot ?: number, number, claims)
        rounds[round.slot] = round
        claims.forEach {
            it.round = round
            it.claimedAt = context.now
            hold(it)
        }
        val conditions = claims.map { it.job }.distinct().mapNotNull { id -> jobs[id]?.let { Condition("live/$id", it.modRevision) } }
        val key = "round/${round.slot}"
        val transaction =
            Transaction(
                listOf(leadership.condition(), Condition(key, before?.modRevision ?: 0)) + conditions,
                listOf(Change.Put(key, encode(round, leadership.term, claimedUntilMs()))),
            )
        round.writing = true
        claiming++
        context.count("intent.rows")
        context.count("intent.starts", claims.size)
        store.commitUntilKnown(
            transaction,
            RequestPriority.CLAIM,
            leadership.stillMine(leadership.term),
        ) { result -> claimed(round, before, result, onResult) }
    }

    private fun claimed(
        round: Round,
        before: Round?,
        result: TransactionResult,
        onResult: (List<Claim>) -> Unit,
    ) {
        when (result) {
            is TransactionResult.Committed -> {
                round.modRevision = result.revision
                round.writing = false
                claiming--
                onResult(granted(round))
            }

            is TransactionResult.Conflict -> {
                when {
                    Leadership.TERM in result.failed -> {
                        leadership.stepDown("its term has been passed")
                    }

                    // An earlier copy of this very transaction was applied: only we write this key.
                    "round/${round.slot}" in result.failed -> {
                        readRound(round, before, onResult)
                    }

                    // A job in it is over, so nothing was claimed.
                    else -> {
                        drop(round, before)
                    }
                }
            }

            else -> {
                if (result is TransactionResult.TooLarge) {
                    mostStarts = (mostStarts / 2).coerceAtLeast(1)
                    mostJobs = (mostJobs / 2).coerceAtLeast(1)
                }
                drop(round, before)
            }
        }
    }

    private fun granted(round: Round): List<Claim> {
        round.claims.forEach { it.durable = true }
        // Of a job that has ended while the row was being written nothing is started any more.
        round.claims.filter { it.job !in jobs }.forEach { release(it, lost = true) }
        val gangs = round.claims.mapNotNull { c -> jobs[c.job]?.takeIf { it.spec.gang } }.distinct()
        val alone = round.claims.filter { it.phase == Phase.CLAIMING && jobs[it.job]?.spec?.gang != true }
        val whole =
            gangs.flatMap { job ->
                val all = job.claims.values
                if (!all.all { it.durable }) {
                    emptyList()
                } else if (all.size == job.spec.tasks) {
                    all.toList()
                } else {
                    // One of them was lost while the row was being written.
                    breakAttempt(job)
                    emptyList()
                }
            }
        return (alone + whole).filter { it.phase == Phase.CLAIMING }.onEach { it.phase = Phase.CLAIMED }
    }

    /** A task of a gang's attempt is gone, so the attempt is over. */
    fun breakAttempt(job: Job) {
        if (job.breaking) return
        job.breaking = true
        Gangs.broken(job).forEach { release(it, lost = true) }
        job.breaking = false
    }

    private fun readRound(
        round: Round,
        before: Round?,
        onResult: (List<Claim>) -> Unit,
    ) {
        val term = leadership.term
        store.get("round/${round.slot}", RequestPriority.CLAIM) { read ->
            if (!leadership.stillMine(term)()) return@get
            val row = (read as? ReadResult.Found)?.value
            when {
                row != null && row.value.path("n").asText() == round.number -> {
                    claimed(round, before, TransactionResult.Committed(row.modRevision), onResult)
                }

                read is ReadResult.Failed -> {
                    context.schedule(1.0) { if (leadership.stillMine(term)()) readRound(round, before, onResult) }
                }

                else -> {
                    drop(round, null)
                }
            }
        }
    }

    /** Nothing was claimed; the row is what it was [before]. */
    private fun drop(
        round: Round,
        before: Round?,
    ) {
        claiming--
        rounds.remove(round.slot)
        before?.let {
            rounds[it.slot] = it
            spare.addLast(it)
        }
        round.claims.forEach { release(it, lost = true) }
    }

    private fun hold(claim: Claim) {
        jobs[claim.job]?.let { job ->
            job.claims.put(claim.task, claim)
            job.taken.set(claim.task)
            job.claimedAt = context.now
            job.note(claim)
        }
        byMachine.getOrPut(claim.machine) { LinkedHashMap() }[claim.taskName] = claim
        used.merge(claim.charge.team, claim.charge.size, Size::plus)
        usedOn.merge(claim.machine, claim.charge.size, Size::plus)
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
        byMachine[claim.machine]?.let { if (it[claim.taskName] === claim) it.remove(claim.taskName) }
        jobs[claim.job]?.let { job ->
            if (job.claims.get(claim.task) === claim) {
                job.claims.remove(claim.task)
                if (!job.done.get(claim.task)) job.taken.clear(claim.task)
            }
            if (lost && job.spec.gang && claim.run == job.highestRun) breakAttempt(job)
        }
        used.merge(claim.charge.team, claim.charge.size, Size::minus)
        usedOn.merge(claim.machine, claim.charge.size, Size::minus)
    }

    private fun claimedUntilMs(): Long = context.wallMs + (context.settings.workers.leaseS * MS_A_S).toLong()

    fun loadRound(row: Row) {
        val round = decode(row)
        round.claims.forEach { it.claimedAt = context.now }
        round.modRevision = row.modRevision
        rounds[round.slot] = round
        round.claims.forEach { claim ->
            claim.round = round
            claim.durable = true
            if (claim.lost) {
                claim.phase = Phase.ENDED
                jobs[claim.job]?.note(claim)
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
        for (round in rounds.values) {
            round.claims.filter { !it.ended }.forEach { claim ->
                jobs[claim.job]?.let {
                    it.claims.put(claim.task, claim)
                    it.taken.set(claim.task)
                }
                // Rows come in no order of time: where an earlier run on the same machine was read last, it stood in this one's place.
                byMachine.getOrPut(claim.machine) { LinkedHashMap() }[claim.taskName] = claim
            }
        }
        settleGangs()
    }

    /** An attempt that was claimed in part never began; one that has lost a task is over. */
    private fun settleGangs() {
        val claims = HashMap<Job, ArrayList<Claim>>()
        for (round in rounds.values) {
            for (claim in round.claims) {
                val job = jobs[claim.job]?.takeIf { it.spec.gang && claim.run == it.highestRun } ?: continue
                claims.getOrPut(job) { ArrayList() } += claim
            }
        }
        for ((job, latest) in claims) {
            // Nothing of an attempt is claimed before all of the one before is known to be gone.
            job.claims.values
                .filter { it.run < job.highestRun }
                .forEach { release(it, lost = true) }
            if (Gangs.claimedInPart(job, latest)) {
                job.breaking = true
                latest.filter { !it.ended }.forEach { release(it, lost = true) }
                job.breaking = false
            } else if (latest.any { it.ended }) {
                breakAttempt(job)
            }
        }
    }

    // --- rows

    /** Rows that are settled are kept for the next rounds for a while, and then removed; lost starts are marked. */
    fun clean() {
        for (round in rounds.values) {
            if (round.modRevision > 0 && !round.writing && round.settledAt == null && round.claims.all(::settled)) {
                round.settledAt = context.now
                spare.addLast(round)
            }
        }
        val unused =
            spare
                .takeWhile {
                    context.now > (it.settledAt ?: context.now) + context.settings.workers.reportS
                }.take(context.settings.store.changesPerTransaction)
        if (unused.isNotEmpty()) remove(unused)
        rounds.values
            .filter { it.stale && it.modRevision > 0 && !it.writing && it.settledAt == null }
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
        list.forEach {
            it.writing = true
            spare.remove(it)
        }
        val transaction = Transaction(listOf(leadership.condition()), list.map { Change.Delete("round/${it.slot}") })
        store.commitUntilKnown(transaction, RequestPriority.CLEANUP, leadership.stillMine(leadership.term)) { result ->
            if (result is TransactionResult.Committed) {
                list.forEach {
                    rounds.remove(
                        it.slot,
                    )
                }
            } else {
                leadership.stepDown("its term has been passed")
            }
        }
    }

    /**
     * Marks in its row which starts of [round] are lost, and leaves out what needs no remembering. A row from before the limits
     * were lowered may be too large for that still: then its marks are not written, and a new leader waits for the reports.
     */
    private fun rewrite(round: Round) {
        round.stale = false
        val row = encode(round, leadership.term, claimedUntilMs(), round.claims.filter { jobs[it.job]?.spec?.gang == true || !settled(it) })
        if (!store.fitsValueLimit(row)) {
            context.debug("row round/${round.slot} is left as it is: it was written under larger limits")
            return
        }
        round.writing = true
        val transaction =
            Transaction(
                listOf(leadership.condition(), Condition("round/${round.slot}", round.modRevision)),
                listOf(Change.Put("round/${round.slot}", row)),
            )
        store.commitUntilKnown(transaction, RequestPriority.CLEANUP, leadership.stillMine(leadership.term)) { result ->
            round.writing = false
            when (result) {
                is TransactionResult.Committed -> {
                    round.modRevision = result.revision
                }

                is TransactionResult.Conflict -> {
                    if (Leadership.TERM in result.failed) {
                        leadership.stepDown("its term has been passed")
                    } else {
                        store.get("round/${round.slot}", RequestPriority.CLEANUP) { read ->
                            (read as? ReadResult.Found)?.let { round.modRevision = it.value.modRevision }
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

    private companion object {
        const val MS_A_S = 1000

        /** What a start and a job's charge take of a row, with room to spare. */
        const val BYTES_A_START = 54
        const val BYTES_A_JOB = 250
    }
}
