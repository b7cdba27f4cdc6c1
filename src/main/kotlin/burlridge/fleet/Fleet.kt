package burlridge.fleet

import burlridge.allocation.JobRegistry
import burlridge.core.CallOutcome
import burlridge.core.StepContext
import burlridge.job.JobSpec
import burlridge.leadership.Leadership
import burlridge.store.Row
import burlridge.store.StoreClient
import burlridge.worker.LossReason
import burlridge.worker.Machine
import burlridge.worker.WorkerManager

/** Machine types, rentals, boots and returns. */
internal class Fleet(
    private val context: StepContext,
    private val store: StoreClient,
    private val leadership: Leadership,
    private val registry: JobRegistry,
    private val workers: WorkerManager,
) {
    private val types = CatalogCache(context, store, leadership, registry)
    val catalog: Catalog? get() = types.catalog
    private var listBusy = false
    private var listAt = -1e9
    private var everListed = false
    private var pages = 1
    private val rentals = ScaleOut(context, store, leadership, workers)
    private val returns = ScaleIn(context, leadership, registry, workers, rentals)

    /** Whether operators want no machines in a zone: then none is rented there. */
    var isZoneDrained: (String) -> Boolean by rentals::isZoneDrained

    /** Whether the machines that the cloud says there are have been taken over, by a list of this leader's own time. */
    val isListed: Boolean get() = everListed && listAt > leadership.electedAt
    private val lag = context.settings.cloudLimits.listLagSeconds
    private var planAt = 0.0
    private val demand = CapacityDemand(context, registry)

    init {
        workers.outcomes.cacheGbOfType = { type -> catalog?.types?.get(type)?.cacheGb ?: 0.0 }
    }

    fun tickCatalog() = types.tick()

    val returnsIdleMachines: Boolean get() = !demand.keepsAllMachines

    /** Room that is to be kept for gangs that surely come soon. */
    fun expectedGangs(): List<CapacityDemand.Need> = catalog?.let { demand.expectedGangs(it) }.orEmpty()

    /** Asks for no more machines like [machine] for a while. */
    fun holdOff(machine: Machine) = rentals.refuse(InstanceOffering(machine.type, machine.zone, machine.spot))

    fun clear() {
        rentals.clear()
        listAt = -1e9
        everListed = false
        types.clear()
    }

    private fun mine(term: Long): Boolean = leadership.isLeader && leadership.term == term

    fun load(row: Row) = rentals.load(row)

    // --- the cloud's list

    fun tick() {
        // A long list takes a good part of a small controller's time, and what it shows is never fresher than its lag.
        if (!listBusy && context.now >= listAt + lag * maxOf(1.0, pages * LAGS_PER_PAGE)) {
            listBusy = true
            listAt = context.now
            list("", ArrayList(), leadership.term)
        }
        rentals.settle()
        if (everListed && context.now >= planAt) {
            planAt = context.now + PLAN_SECONDS
            plan()
        }
    }

    private fun list(
        from: String,
        found: ArrayList<ListedMachine>,
        term: Long,
    ) {
        val after = if (from.isEmpty()) "" else "from=$from&"
        context.call(context.settings.cloud, "GET", "/rentals?${after}limit=$PAGE", null, CLOUD_TIMEOUT_SECONDS) { outcome ->
            val page = (outcome as? CallOutcome.Responded)?.takeIf { it.status == 200 }?.let { MachinePage.decode(it.body) }
            if (page == null || !mine(term)) {
                listBusy = false
                return@call
            }
            found.addAll(page.machines)
            if (page.truncated && page.machines.isNotEmpty()) {
                list(page.machines.last().id, found, term)
            } else {
                listBusy = false
                pages = (found.size + PAGE - 1) / PAGE
                listed(found)
            }
        }
    }

    private fun listed(found: List<ListedMachine>) {
        everListed = true
        val names = HashSet<String>()
        for (listed in found) {
            if (listed.id.isEmpty()) continue
            names += listed.id
            if (!workers.isReturned(listed.id)) update(workers.machine(listed.id), listed)
        }
        loseUnlisted(names)
    }

    private fun update(
        machine: Machine,
        listed: ListedMachine,
    ) {
        machine.type = listed.type ?: machine.type
        machine.zone = listed.zone ?: machine.zone
        machine.spot = listed.spot ?: machine.spot
        machine.isListed = true
        machine.listedAgeSeconds = maxOf(machine.listedAgeSeconds, listed.ageSeconds)
        if (machine.rentedAt == 0.0) machine.rentedAt = context.now - machine.listedAgeSeconds
        machine.isStarting = listed.state == "starting" && !machine.isUp
        if (listed.state == "failed" && !machine.isDead) {
            context.info("machine ${machine.id} has failed; returning it")
            machine.isDead = true
        }
        if (machine.address == null) machine.address = listed.address
    }

    private fun loseUnlisted(names: Set<String>) {
        // A list may be older than the one before, so only a machine older than any list can be is missed from it.
        // One that only the claims of an earlier leader name is older than that leader's end.
        val settled = listAt > leadership.electedAt + lag * OLDEST_LIST
        for (machine in workers.machines.values.toList()) {
            if (machine.id in names) continue
            val inherited =
                settled && !machine.isListed && !machine.isUp && registry.allocations.byMachine[machine.id]
                    ?.values
                    ?.any { it.isInherited } == true
            if (inherited || (machine.isListed && machine.listedAgeSeconds > lag * OLDEST_LIST)) {
                workers.onMachineGone(machine, LossReason.NOT_LISTED)
            }
        }
    }

    // --- the plan

    private fun plan() {
        val types = catalog ?: return
        demand.observe()
        returns.discard(types)
        if (demand.keepsAllMachines) rentEverything(types) else rentNeeded(types)
    }

    private fun rentEverything(types: Catalog) {
        for (type in types.types.values) {
            for (zone in type.zones) {
                for (spot in listOf(true, false)) {
                    val offering = InstanceOffering(type.name, zone, spot)
                    if (rentals.isOpen(offering)) rentals.rent(offering, MOST_PER_CALL, "every machine counts for the aims")
                }
            }
        }
    }

    private fun rentNeeded(types: Catalog) {
        val slots = coming(types)
        val wanted = LinkedHashMap<InstanceOffering, Int>()
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
                val offering =
                    PriceSelector
                        .cheapest(types, spec, scarce, { rentals.refused(it) }) {
                            !presses(need, left, behind[spec.jobClass] ?: 0, given[spec.jobClass] ?: 0)
                        }?.takeIf { (wanted[it] ?: 0) < MOST_PER_CALL * (ScaleOut.MOST_STEPS - rentals.stepsOf(it)) && rentals.isOpen(it) }
                        ?: break
                val whole = types.types.getValue(offering.type).size
                wanted.merge(offering, 1, Int::plus)
                val slot = FreeCapacity(offering.type, offering.zone, offering.spot, whole)
                left -= slot.take(spec.size, left).coerceAtLeast(1)
                slots += slot
            }
            behind.merge(spec.jobClass, left, Int::plus)
            given.merge(spec.jobClass, need.tasks - left, Int::plus)
        }
        wanted.forEach { (offering, count) ->
            for (rented in 0 until count step MOST_PER_CALL) {
                rentals.rent(
                    offering,
                    count - rented,
                    "waiting and expected tasks have no room",
                )
            }
        }
        returns.returnIdle(slots, types)
    }

    /** A gang that must be in one zone finds its room, and what is rented for it, in the zone that has most of it already. */
    private fun together(
        need: CapacityDemand.Need,
        slots: List<FreeCapacity>,
        types: Catalog,
    ): JobSpec {
        val spec = need.spec
        if (!spec.gang || !spec.oneZone || spec.zone != null) return spec
        val zones = types.allowed(spec).flatMap { it.zones }.distinct()
        if (zones.size < 2) return spec
        val seats = zones.associateWith { zone -> slots.sumOf { if (it.zone == zone && it.allows(spec)) it.seats(spec.size) else 0 } }
        return spec.copy(zone = zones.maxBy { minOf(need.tasks, seats.getValue(it)) })
    }

    /**
     * Whether [left] tasks would wait too long, [behind] others of their job class, for the room that others of it have or were
     * [given].
     */
    private fun presses(
        need: CapacityDemand.Need,
        left: Int,
        behind: Int,
        given: Int,
    ): Boolean {
        val servers = need.held + given + need.tasks - left
        val waitSeconds = if (servers <= 0) Double.MAX_VALUE else need.spec.estimateSeconds * (behind + left) / servers
        return waitSeconds * UNSURE > need.slackSeconds
    }

    /** What is free, now or soon, of every machine that will take tasks; the fullest first. */
    private fun coming(types: Catalog): MutableList<FreeCapacity> {
        val slots = ArrayList<FreeCapacity>()
        for (m in workers.machines.values) {
            if (m.isDraining || m.reclaimAt != null || (m.isUp && (m.isLeaseExpired || !m.isResponsive || workers.isSilent(m)))) continue
            val whole = types.types[m.type]?.size ?: continue
            val free = whole - registry.allocations.usageOn(m.id)
            if (free.cpus > 0) slots += FreeCapacity(m.type, m.zone, m.spot, free)
        }
        for (r in rentals.open) {
            val type = types.types[r.offering.type] ?: continue
            repeat(r.expected) { slots += FreeCapacity(type.name, r.offering.zone, r.offering.spot, type.size) }
        }
        slots.sortWith(compareBy({ it.free.cpus }, { it.free.memoryGb }))
        return slots
    }

    internal companion object {
        const val CLOUD_TIMEOUT_SECONDS = 3.0
        const val MOST_PER_CALL = 50

        /** A list is at most twice its usual lag old; the rest is margin. */
        const val OLDEST_LIST = 3.0
        private const val PLAN_SECONDS = 1.0
        private const val PAGE = 500
        private const val LAGS_PER_PAGE = 0.5

        /** Estimates are often wrong by half, and what runs does not end evenly. */
        private const val UNSURE = 2.0
    }
}
