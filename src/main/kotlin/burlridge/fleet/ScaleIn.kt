package burlridge.fleet

import burlridge.allocation.JobRegistry
import burlridge.core.CallOutcome
import burlridge.core.StepContext
import burlridge.json.Json
import burlridge.leadership.Leadership
import burlridge.worker.DrainReason
import burlridge.worker.LossReason
import burlridge.worker.Machine
import burlridge.worker.WorkerManager

/** Machines that go back to the cloud: the failed, the overdue, the silent, the deaf and the idle. */
internal class ScaleIn(
    private val context: StepContext,
    private val leadership: Leadership,
    private val registry: JobRegistry,
    private val workers: WorkerManager,
    private val rentals: ScaleOut,
) {
    private val idleSeconds = context.settings.workers.reportSeconds * context.settings.operator.idleReports

    /** Machines that failed, or whose boot has taken far too long, go back. */
    fun discard(types: Catalog) {
        val heard = zonesWithHeartbeats()
        for (machine in workers.machines.values) {
            val boot = types.types[machine.type]?.bootSeconds ?: continue
            // To a new leader every machine is silent at first: only one that the cloud still calls starting is overdue.
            val overdue =
                machine.isStarting && !machine.isUp && machine.rentedAt > 0 && context.now > machine.rentedAt + boot * OVERDUE_BOOTS
            if (machine.zone in heard && isConfirmedDead(machine)) {
                context.infoRateLimited(
                    "silent machines returned",
                    "machine ${machine.id} is silent for ${(context.now - machine.silentSince).toInt()} s and " +
                        "cannot be reached; returning it to be certain",
                )
                machine.isDead = true
            }
            val unresponsiveSince = machine.unresponsiveSince
            if (machine.zone in heard && !machine.isDead && unresponsiveSince != null &&
                context.now > unresponsiveSince + context.settings.workers.leaseSeconds / 2
            ) {
                context.infoRateLimited(
                    "deaf machines returned",
                    "machine ${machine.id} reports but has heard nothing for ${(context.now - unresponsiveSince).toInt()} s; returning it",
                )
                machine.isDead = true
            }
            if (overdue && !machine.isDraining) {
                context.info("machine ${machine.id} has not come up in ${(context.now - machine.rentedAt).toInt()} s; returning it")
                machine.drainReason = DrainReason.OVERDUE
            }
        }
        // Hundreds may be due at once, and each second counts for the tasks on them.
        workers.machines.values
            .filter { !it.isReturning && (it.isDead || isEmptied(it)) }
            .chunked(MOST_PER_RETURN)
            .take(MOST_RETURNS)
            .forEach { giveBack(it) }
    }

    /** An operator's drain can wait until the ends that only its worker keeps are durable. */
    private fun isEmptied(machine: Machine): Boolean {
        if (!machine.isDraining || !registry.allocations.byMachine[machine.id].isNullOrEmpty()) return false
        return machine.drainReason != DrainReason.OPERATOR || machine.reportedTasks.isEmpty() || machine.isLeaseExpired
    }

    /**
     * A machine that reported to this leader and fell silent is dead or cut off. Returning it settles which, well before its
     * worker's lease would. Not where many are silent at once: then the fault is more likely ours or the network's.
     */
    private fun isConfirmedDead(machine: Machine): Boolean {
        val wanted = machine.isUp || !registry.allocations.byMachine[machine.id].isNullOrEmpty()
        if (!wanted || machine.isDead || machine.isLeaseExpired || machine.isStarting ||
            machine.consecutiveCommandFailures < TRIES_TO_BURY
        ) {
            return false
        }
        return workers.receivesHeartbeatsFrom(machine.zone) &&
            context.now > machine.silentSince + context.settings.workers.reportSeconds * DEAD_REPORTS
    }

    /** The zones most of whose machines are heard from, so that the silence of one is its own. */
    private fun zonesWithHeartbeats(): Set<String> {
        val up = workers.machines.values.filter { it.isUp && !it.isLeaseExpired }
        return up
            .groupBy { it.zone }
            .filterValues { there ->
                there.count {
                    it.isResponsive &&
                        context.now < it.lastMessageAt + context.settings.workers.reportSeconds * 2
                } >= there.size * MOST_HEARD
            }.keys
    }

    private fun giveBack(list: List<Machine>) {
        if (list.isEmpty()) return
        val drained = list.filterTo(HashSet()) { it.drainReason == DrainReason.OPERATOR }
        list.forEach {
            it.isReturning = true
            it.drainReason = DrainReason.RETURNED
        }
        val body = Json.obj { putArray("drovers").also { names -> list.forEach { m -> names.add(m.id) } } }
        val mine = leadership.whileLeading(leadership.term)
        context.info("returning ${list.joinToString { it.id }}")
        val timeoutSeconds = Fleet.CLOUD_TIMEOUT_SECONDS * 2
        context.call(
            context.settings.cloud,
            "POST",
            "/rentals/return",
            Json.write(body),
            timeoutSeconds,
            leadership.commandDeadline,
        ) { outcome ->
            if (!mine()) return@call
            if ((outcome as? CallOutcome.Responded)?.status == 200) {
                list.forEach {
                    workers.onMachineGone(it, LossReason.RETURNED)
                    if (it !in drained) rentals.returned(InstanceOffering(it.type, it.zone, it.spot))
                }
            } else {
                list.forEach { m -> context.schedule(RETRY_SECONDS) { m.isReturning = false } }
            }
        }
    }

    /**
     * How long a machine may be idle. The more machines, the less the work on them varies against its mean, and the sooner one
     * that is idle will not be missed.
     */
    private fun patienceSeconds(up: Int): Double = idleSeconds * minOf(1.0, SMOOTH_MACHINES / Math.sqrt(up.coerceAtLeast(1).toDouble()))

    fun returnIdle(
        after: List<FreeCapacity>,
        types: Catalog,
    ) {
        val up = workers.machines.values.filter { it.isUp && !it.isDraining }
        val patience = patienceSeconds(up.size)
        val idle =
            up.filter { m ->
                val dear = if (m.spot) 1.0 else PriceSelector.DEAR_FACTOR
                m.idleSince > 0 && context.now > m.idleSince + patience / dear && registry.allocations.byMachine[m.id].isNullOrEmpty()
            }
        if (idle.isEmpty()) return
        // Only machines that the expected tasks leave wholly free are spare.
        val spare =
            after
                .filter { s ->
                    types.types[s.type]?.size == s.free
                }.groupingBy { InstanceOffering(it.type, it.zone, it.spot) }
                .eachCount()
                .toMutableMap()
        val back =
            idle.sortedWith(compareBy({ it.spot }, { it.idleSince })).filter { m ->
                val offering = InstanceOffering(m.type, m.zone, m.spot)
                val left = spare[offering] ?: 0
                if (left > 0) spare[offering] = left - 1
                left > 0
            }
        giveBack(back.take(MOST_PER_RETURN))
    }

    private companion object {
        const val RETRY_SECONDS = 2.0
        const val MOST_PER_RETURN = 100

        /** Calls for returns in one plan. */
        const val MOST_RETURNS = 4
        const val DEAD_REPORTS = 2.2
        const val TRIES_TO_BURY = 2
        const val MOST_HEARD = 0.5
        const val OVERDUE_BOOTS = 3.0

        /** The square root of the fleet from which on patience gets shorter. */
        const val SMOOTH_MACHINES = 5.0
    }
}
