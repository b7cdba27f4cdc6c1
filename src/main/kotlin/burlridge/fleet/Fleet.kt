package burlridge.fleet

import burlridge.app.Context
import burlridge.app.Endpoint
import burlridge.app.Json
import burlridge.app.Outcome
import burlridge.intake.JobSpec
import burlridge.intake.Size
import burlridge.intent.Ledger
import burlridge.leadership.Leadership
import burlridge.store.Condition
import burlridge.store.Op
import burlridge.store.Read
import burlridge.store.Row
import burlridge.store.Store
import burlridge.store.Txn
import burlridge.store.TxnResult
import burlridge.store.Urgency
import burlridge.worker.Machine
import burlridge.worker.Workers
import com.fasterxml.jackson.databind.JsonNode

/** One step of the fleet plan: so many machines of a type, zone and kind. */
internal data class Offer(
    val type: String,
    val zone: String,
    val spot: Boolean,
)

internal class Rental(
    val step: String,
    val offer: Offer,
    val count: Int,
) {
    var stamp: Long = 0
    var calledAt: Double = 0.0

    /** Set once the cloud's answer is known, or its list has caught up with a call of unknown outcome. */
    var settledAt: Double? = null
    var expected: Int = count
}

/** Machine types, rentals, boots and returns. */
internal class Fleet(
    private val ctx: Context,
    private val store: Store,
    private val leadership: Leadership,
    private val ledger: Ledger,
    private val workers: Workers,
) {
    private val types = CatalogKeeper(ctx, store, leadership, ledger)
    val catalog: Catalog? get() = types.catalog
    private var listBusy = false
    private var listAt = -1e9
    private var everListed = false
    private var nextStep = 0L
    private val rentals = LinkedHashMap<String, Rental>()
    private val refusedUntil = HashMap<Offer, Double>()
    private val refusals = HashMap<Offer, Int>()
    private val lag = ctx.settings.cloudLimits.listLagS
    private var planAt = 0.0
    private val idleS = ctx.settings.workers.reportS * ctx.settings.operator.idleReports
    private val demand = Demand(ctx, ledger)

    init {
        workers.cacheOf = { type -> catalog?.types?.get(type)?.cacheGb ?: 0.0 }
    }

    fun tickCatalog() = types.tick()

    val returnsIdle: Boolean get() = !demand.lavish

    /** Room that is to be kept for gangs that surely come soon. */
    fun expectedGangs(): List<Demand.Need> = catalog?.let { demand.expectedGangs(it) }.orEmpty()

    fun clear() {
        rentals.clear()
        refusedUntil.clear()
        refusals.clear()
        nextStep = 0
        listAt = -1e9
        everListed = false
        types.clear()
    }

    private fun mine(term: Long): Boolean = leadership.leading && leadership.term == term

    // --- the cloud's list

    fun tick() {
        if (!listBusy && ctx.now >= listAt + lag) {
            listBusy = true
            listAt = ctx.now
            list("", ArrayList(), leadership.term)
        }
        settleRentals()
        if (everListed && ctx.now >= planAt) {
            planAt = ctx.now + PLAN_S
            plan()
        }
    }

    private fun list(
        from: String,
        found: ArrayList<JsonNode>,
        term: Long,
    ) {
        val after = if (from.isEmpty()) "" else "from=$from&"
        ctx.call(ctx.settings.cloud, "GET", "/rentals?${after}limit=500", null, CLOUD_TIMEOUT_S) { outcome ->
            val body = (outcome as? Outcome.Answered)?.takeIf { it.status == 200 }?.let { Json.parseOrNull(it.body) }
            val page = body?.get("drovers")?.takeIf { it.isArray }
            if (page == null || !mine(term)) {
                listBusy = false
                return@call
            }
            found.addAll(page)
            if (body.path("truncated").asBoolean() && page.size() > 0) {
                list(page.last().path("id").asText(), found, term)
            } else {
                listBusy = false
                listed(found)
            }
        }
    }

    private fun listed(found: List<JsonNode>) {
        everListed = true
        val names = HashSet<String>()
        for (node in found) {
            val id = node.path("id").asText("")
            if (id.isEmpty()) continue
            names += id
            if (workers.isReturned(id)) continue
            val machine = workers.machine(id)
            machine.type = node.path("breed").asText(machine.type)
            machine.zone = node.path("yard").asText(machine.zone)
            machine.spot = node.path("loaners").asBoolean(machine.spot)
            machine.listed = true
            machine.listedAgeS = maxOf(machine.listedAgeS, node.path("ageS").asDouble(0.0))
            if (machine.rentedAt == 0.0) machine.rentedAt = ctx.now - machine.listedAgeS
            machine.starting = node.path("standing").asText() == "starting" && !machine.up
            if (node.path("standing").asText() == "failed" && !machine.dead) {
                ctx.info("machine $id has failed; returning it")
                machine.dead = true
            }
            if (machine.address == null) {
                node.path("addr").asText("").let { text ->
                    text.substringAfterLast(':', "").toIntOrNull()?.let { machine.address = Endpoint(text.substringBeforeLast(':'), it) }
                }
            }
        }
        // A list may be older than the one before, so only a machine older than any list can be is missed from it.
        // One that only the claims of an earlier leader name is older than that leader's end.
        val settled = listAt > leadership.electedAt + lag * OLDEST_LIST
        for (machine in workers.machines.values.toList()) {
            if (machine.id in names) continue
            val inherited = settled && !machine.listed && !machine.up && ledger.byMachine[machine.id]?.values?.any { it.inherited } == true
            if (inherited || (machine.listed && machine.listedAgeS > lag * OLDEST_LIST)) {
                workers.gone(machine, "the cloud no longer lists it")
            }
        }
    }

    // --- rentals

    fun load(row: Row) {
        val v = row.value
        val rental =
            Rental(
                row.key.substringAfter('/'),
                Offer(v.path("type").asText(), v.path("zone").asText(), v.path("spot").asBoolean()),
                v.path("n").asInt(),
            )
        rental.stamp = row.stamp
        // Called or not, by a leader that is gone: unknown, until the list must show what came of it.
        rental.calledAt = ctx.now
        rentals[rental.step] = rental
    }

    private fun settleRentals() {
        for (rental in rentals.values.toList()) {
            if (rental.settledAt == null && rental.calledAt > 0 && ctx.now > rental.calledAt + CLOUD_TIMEOUT_S + lag * OLDEST_LIST) {
                ctx.info("rental ${rental.step}: outcome unknown, and the cloud's list has caught up")
                rental.settledAt = ctx.now
            }
            val settled = rental.settledAt ?: continue
            if (rental.stamp > 0 && ctx.now >= settled) forget(rental)
        }
    }

    private fun forget(rental: Rental) {
        rental.stamp = 0
        store.ensure(Txn(listOf(ledger.fence()), listOf(Op.Delete("rental/${rental.step}"))), Urgency.CLEANUP, { leadership.leading }) {
            rentals.remove(rental.step)
        }
    }

    private fun rent(
        offer: Offer,
        count: Int,
        reason: String,
    ) {
        val rental = Rental("${leadership.term}-${nextStep++}", offer, count.coerceAtMost(MOST_PER_CALL))
        rentals[rental.step] = rental
        ctx.info("rental ${rental.step}: ${rental.count} of ${offer.type} in ${offer.zone}${if (offer.spot) ", spot" else ""}: $reason")
        val row =
            Json.obj {
                put("st", "claimed")
                put("type", offer.type)
                put("zone", offer.zone)
                put("spot", offer.spot)
                put("n", rental.count)
                put("tok", leadership.term)
            }
        val term = leadership.term
        val txn = Txn(listOf(ledger.fence(), Condition("rental/${rental.step}", 0)), listOf(Op.Put("rental/${rental.step}", row)))
        store.ensure(txn, Urgency.CLAIM, { mine(term) }) { result ->
            when {
                result is TxnResult.Done -> {
                    rental.stamp = result.revision
                    order(rental, term)
                }

                result is TxnResult.Conflict && Leadership.TERM in result.failed -> {
                    leadership.stepDown("its term has been passed")
                }

                // An earlier copy of this very claim was applied.
                result is TxnResult.Conflict -> {
                    rental.stamp = 1
                    order(rental, term)
                }

                else -> {
                    rentals.remove(rental.step)
                }
            }
        }
    }

    private fun order(
        rental: Rental,
        term: Long,
    ) {
        rental.calledAt = ctx.now
        val offer = rental.offer
        val body =
            Json.obj {
                put("hire", "r-${rental.step}")
                put("breed", offer.type)
                put("yard", offer.zone)
                put("loaners", offer.spot)
                put("number", rental.count)
            }
        ctx.call(ctx.settings.cloud, "POST", "/rentals", Json.write(body), CLOUD_TIMEOUT_S) { outcome ->
            if (!mine(term)) return@call
            val answer = outcome as? Outcome.Answered
            val names = answer?.takeIf { it.status == 200 }?.let { Json.parseOrNull(it.body)?.get("drovers") }?.takeIf { it.isArray }
            when {
                names != null -> {
                    ctx.info("rental ${rental.step}: got ${names.size()} of ${rental.count}")
                    names.forEach { name ->
                        val machine = workers.machine(name.asText())
                        if (!machine.up && !machine.listed) {
                            machine.type = offer.type
                            machine.zone = offer.zone
                            machine.spot = offer.spot
                            machine.starting = true
                            machine.rentedAt = ctx.now
                        }
                    }
                    refusals.remove(offer)
                    if (names.size() < rental.count) refuse(offer)
                    rental.settledAt = ctx.now
                    rental.expected = 0
                }

                outcome is Outcome.NotSent || answer?.status in REFUSALS -> {
                    ctx.info("rental ${rental.step}: refused: ${answer?.status ?: "no connection"} ${answer?.body.orEmpty()}")
                    refuse(offer)
                    rental.settledAt = ctx.now
                    rental.expected = 0
                }

                else -> {
                    ctx.info("rental ${rental.step}: outcome unknown, waiting for the cloud's list")
                }
            }
        }
    }

    private fun refuse(offer: Offer) {
        // Several steps asked at once are refused for one and the same reason.
        if (ctx.now < (refusedUntil[offer] ?: 0.0)) return
        val times = refusals.merge(offer, 1, Int::plus) ?: 1
        refusedUntil[offer] = ctx.now + minOf(REFUSED_S * times, REFUSED_S * 4)
    }

    // --- the plan

    private fun plan() {
        val types = catalog ?: return
        demand.observe()
        discard(types)
        if (demand.lavish) rentEverything(types) else rentNeeded(types)
    }

    /** Machines that failed, or whose boot has taken far too long, go back. */
    private fun discard(types: Catalog) {
        val heard = heardZones()
        for (machine in workers.machines.values) {
            val boot = types.types[machine.type]?.bootS ?: continue
            // To a new leader every machine is silent at first: only one that the cloud still calls starting is overdue.
            val overdue = machine.starting && !machine.up && machine.rentedAt > 0 && ctx.now > machine.rentedAt + boot * OVERDUE_BOOTS
            if (machine.zone in heard && buried(machine)) {
                ctx.info(
                    "machine ${machine.id} is silent for ${(ctx.now - machine.silentSince).toInt()} s and cannot be reached; returning it to be certain",
                )
                machine.dead = true
            }
            val deafSince = machine.deafSince
            if (machine.zone in heard && !machine.dead && deafSince != null && ctx.now > deafSince + ctx.settings.workers.leaseS / 2) {
                ctx.info("machine ${machine.id} reports but has heard nothing for ${(ctx.now - deafSince).toInt()} s; returning it")
                machine.dead = true
            }
            if (overdue && !machine.leaving) {
                ctx.info("machine ${machine.id} has not come up in ${(ctx.now - machine.rentedAt).toInt()} s; returning it")
                machine.leaving = true
            }
        }
        // Hundreds may be due at once, and each second counts for the tasks on them.
        workers.machines.values
            .filter { !it.returning && (it.dead || (it.leaving && ledger.byMachine[it.id].isNullOrEmpty())) }
            .chunked(MOST_PER_RETURN)
            .take(MOST_RETURNS)
            .forEach { giveBack(it) }
    }

    /**
     * A machine that reported to this leader and fell silent is dead or cut off. Returning it settles which, well before its
     * worker's lease would. Not where many are silent at once: then the fault is more likely ours or the network's.
     */
    private fun buried(machine: Machine): Boolean {
        val wanted = machine.up || !ledger.byMachine[machine.id].isNullOrEmpty()
        if (!wanted || machine.dead || machine.lapsed || machine.starting || machine.refusals < TRIES_TO_BURY) return false
        return workers.hears(machine.zone) && ctx.now > machine.silentSince + ctx.settings.workers.reportS * DEAD_REPORTS
    }

    /** The zones most of whose machines are heard from, so that the silence of one is its own. */
    private fun heardZones(): Set<String> {
        val up = workers.machines.values.filter { it.up && !it.lapsed }
        return up
            .groupBy { it.zone }
            .filterValues { there ->
                there.count { it.hears && ctx.now < it.lastReportAt + ctx.settings.workers.reportS * 2 } >= there.size * MOST_HEARD
            }.keys
    }

    private fun giveBack(list: List<Machine>) {
        if (list.isEmpty()) return
        list.forEach {
            it.returning = true
            it.leaving = true
        }
        val body = Json.obj { putArray("drovers").also { names -> list.forEach { m -> names.add(m.id) } } }
        val term = leadership.term
        ctx.info("returning ${list.joinToString { it.id }}")
        ctx.call(ctx.settings.cloud, "POST", "/rentals/return", Json.write(body), CLOUD_TIMEOUT_S * 2) { outcome ->
            if (!mine(term)) return@call
            if ((outcome as? Outcome.Answered)?.status == 200) {
                list.forEach {
                    workers.gone(it, "returned")
                    // What it took can be had again.
                    refusedUntil.remove(Offer(it.type, it.zone, it.spot))
                    refusals.remove(Offer(it.type, it.zone, it.spot))
                }
            } else {
                list.forEach { m -> ctx.later(RETRY_S) { m.returning = false } }
            }
        }
    }

    /** A few steps of one kind may be on their way at once, so that a large need is met within a few calls. */
    private fun open(offer: Offer): Boolean = ctx.now >= (refusedUntil[offer] ?: 0.0) && stepsOf(offer) < MOST_STEPS

    private fun stepsOf(offer: Offer): Int = rentals.values.count { it.offer == offer && it.expected > 0 }

    private fun rentEverything(types: Catalog) {
        for (type in types.types.values) {
            for (zone in type.zones) {
                for (spot in listOf(true, false)) {
                    val offer = Offer(type.name, zone, spot)
                    if (open(offer)) rent(offer, MOST_PER_CALL, "every machine counts for the aims")
                }
            }
        }
    }

    private fun rentNeeded(types: Catalog) {
        val slots = coming(types)
        val wanted = LinkedHashMap<Offer, Int>()
        val needs = demand.wanted(types)
        val scarce = demand.indispensable(types)
        val behind = HashMap<String, Int>()
        val given = HashMap<String, Int>()
        for (need in needs) {
            val spec = together(need, slots, types)
            var left = need.tasks
            for (slot in slots) {
                if (left == 0) break
                if (slot.allows(spec)) left -= slot.take(spec.size, left)
            }
            while (left > 0) {
                val offer =
                    Prices
                        .cheapest(types, spec, scarce, { ctx.now < (refusedUntil[it] ?: 0.0) }) {
                            !presses(need, left, behind[spec.lane] ?: 0, given[spec.lane] ?: 0)
                        }?.takeIf { (wanted[it] ?: 0) < MOST_PER_CALL * (MOST_STEPS - stepsOf(it)) && open(it) } ?: break
                val whole = types.types.getValue(offer.type).size
                wanted.merge(offer, 1, Int::plus)
                val slot = Slot(offer.type, offer.zone, offer.spot, whole)
                left -= slot.take(spec.size, left).coerceAtLeast(1)
                slots += slot
            }
            behind.merge(spec.lane, left, Int::plus)
            given.merge(spec.lane, need.tasks - left, Int::plus)
        }
        wanted.forEach { (offer, count) ->
            for (rented in 0 until count step MOST_PER_CALL) rent(offer, count - rented, "waiting and expected tasks have no room")
        }
        returnIdle(slots)
    }

    /** A gang that must be in one zone finds its room, and what is rented for it, in the zone that has most of it already. */
    private fun together(
        need: Demand.Need,
        slots: List<Slot>,
        types: Catalog,
    ): JobSpec {
        val spec = need.spec
        if (!spec.gang || !spec.oneZone || spec.zone != null) return spec
        val zones = types.allowed(spec).flatMap { it.zones }.distinct()
        if (zones.size < 2) return spec
        val seats = zones.associateWith { zone -> slots.sumOf { if (it.zone == zone && it.allows(spec)) it.seats(spec.size) else 0 } }
        return spec.copy(zone = zones.maxBy { minOf(need.tasks, seats.getValue(it)) })
    }

    /** Whether [left] tasks would wait too long, [behind] others of their lane, for the room that others of it have or were [given]. */
    private fun presses(
        need: Demand.Need,
        left: Int,
        behind: Int,
        given: Int,
    ): Boolean {
        val servers = need.held + given + need.tasks - left
        val waitS = if (servers <= 0) Double.MAX_VALUE else need.spec.estimateS * (behind + left) / servers
        return waitS * UNSURE > need.slackS
    }

    /** What is free, now or soon, of every machine that will take tasks; the fullest first. */
    private fun coming(types: Catalog): MutableList<Slot> {
        val slots = ArrayList<Slot>()
        for (m in workers.machines.values) {
            if (m.leaving || m.recallAt != null || (m.up && (m.lapsed || !m.hears || workers.silent(m)))) continue
            val whole = types.types[m.type]?.size ?: continue
            val free = whole - ledger.usedOn(m.id)
            if (free.cpus > 0) slots += Slot(m.type, m.zone, m.spot, free)
        }
        for (r in rentals.values) {
            val type = types.types[r.offer.type] ?: continue
            repeat(r.expected) { slots += Slot(type.name, r.offer.zone, r.offer.spot, type.size) }
        }
        slots.sortWith(compareBy({ it.free.cpus }, { it.free.memoryGb }))
        return slots
    }

    /**
     * How long a machine may be idle. The more machines, the less the work on them varies against its mean, and the sooner one
     * that is idle will not be missed.
     */
    private fun patienceS(up: Int): Double = idleS * minOf(1.0, SMOOTH_MACHINES / Math.sqrt(up.coerceAtLeast(1).toDouble()))

    private fun returnIdle(after: List<Slot>) {
        val up = workers.machines.values.filter { it.up && !it.leaving }
        val patience = patienceS(up.size)
        val idle =
            up.filter { m ->
                val dear = if (m.spot) 1.0 else Prices.DEAR_FACTOR
                m.idleSince > 0 && ctx.now > m.idleSince + patience / dear && ledger.byMachine[m.id].isNullOrEmpty()
            }
        if (idle.isEmpty()) return
        // Only machines that the expected tasks leave wholly free are spare.
        val spare =
            after
                .filter { s ->
                    catalog?.types?.get(s.type)?.size == s.free
                }.groupingBy { Offer(it.type, it.zone, it.spot) }
                .eachCount()
                .toMutableMap()
        val back =
            idle.sortedWith(compareBy({ it.spot }, { it.idleSince })).filter { m ->
                val offer = Offer(m.type, m.zone, m.spot)
                val left = spare[offer] ?: 0
                if (left > 0) spare[offer] = left - 1
                left > 0
            }
        giveBack(back.take(MOST_PER_RETURN))
    }

    private companion object {
        val REFUSALS = setOf(400, 429, 503)
        const val CLOUD_TIMEOUT_S = 3.0
        const val PLAN_S = 1.0
        const val RETRY_S = 2.0
        const val MOST_PER_CALL = 50
        const val MOST_PER_RETURN = 100

        /** Calls for returns in one plan. */
        const val MOST_RETURNS = 4

        /** A list is at most twice its usual lag old; the rest is margin. */
        const val OLDEST_LIST = 3.0
        const val DEAD_REPORTS = 2.2
        const val TRIES_TO_BURY = 2
        const val MOST_HEARD = 0.5
        const val OVERDUE_BOOTS = 3.0
        const val REFUSED_S = 15.0

        /** The square root of the fleet from which on patience gets shorter. */
        const val SMOOTH_MACHINES = 5.0

        /** Estimates are often wrong by half, and what runs does not end evenly. */
        const val UNSURE = 2.0

        /** Steps of one kind on their way at once. */
        const val MOST_STEPS = 4
    }
}
