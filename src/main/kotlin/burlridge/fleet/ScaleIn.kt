package burlridge.fleet

import burlridge.allocation.JobRegistry
import burlridge.core.StepContext
import burlridge.leadership.Leadership
import burlridge.worker.DrainReason
import burlridge.worker.LossReason
import burlridge.worker.Machine
import burlridge.worker.WorkerManager
import burlridge.worker.hasAllocationsOn

/** The offering that this machine was rented from. */
internal val Machine.offering: InstanceOffering get() = InstanceOffering(type, zone, spot)

/** Returns machines to the cloud: those that are lost or drained, and those that are idle and not needed. */
internal class ScaleIn(
    private val context: StepContext,
    private val leadership: Leadership,
    private val registry: JobRegistry,
    private val workers: WorkerManager,
    private val scaleOut: ScaleOut,
    private val cloud: CloudApi,
) {
    private val workerSettings = context.settings.workers
    private val idleSeconds = workerSettings.reportSeconds * context.settings.operator.idleReports

    /** Returns machines that are dead, partitioned, overdue, or drained and empty. */
    fun returnLost(catalog: Catalog) {
        val zonesWithHeartbeats = zonesWithHeartbeats()
        for (machine in workers.machines.values) {
            val type = catalog.types[machine.type] ?: continue
            val zoneHasHeartbeats = machine.zone in zonesWithHeartbeats
            val isOverdue = isOverdue(machine, type)
            if (zoneHasHeartbeats) {
                if (isSilentAndUnreachable(machine)) declareSilentDead(machine)
                declareDeadIfUnresponsive(machine)
            }
            if (isOverdue && !machine.isDraining) drainOverdue(machine)
        }
        // Hundreds of machines may be due at once, and every second of delay matters to the tasks on them.
        workers.machines.values
            .filter { !it.isReturning && (it.isDead || isDrainedAndEmpty(it)) }
            .chunked(MAX_MACHINES_PER_CALL)
            .take(MAX_CALLS_PER_PLAN)
            .forEach { returnMachines(it) }
    }

    /**
     * Whether [machine] has taken too long to boot. At first a new leader has received no heartbeat from any machine, so only a machine
     * that is still starting according to the cloud can be overdue.
     */
    private fun isOverdue(
        machine: Machine,
        type: MachineType,
    ): Boolean =
        machine.isStarting && !machine.isUp && machine.rentedAt > 0 &&
            context.now > machine.rentedAt + type.bootSeconds * OVERDUE_BOOT_FACTOR

    private fun drainOverdue(machine: Machine) {
        context.info("machine boot overdue, returning it", "machine" to machine.id, "sinceSeconds" to secondsSince(machine.rentedAt))
        machine.drainReason = DrainReason.OVERDUE
    }

    private fun declareSilentDead(machine: Machine) {
        context.infoLimited(
            "machine silent and unreachable, returning it",
            "machine" to machine.id,
            "silentSeconds" to secondsSince(machine.silentSince),
        )
        machine.isDead = true
    }

    private fun declareDeadIfUnresponsive(machine: Machine) {
        val unresponsiveSince = machine.unresponsiveSince
        if (machine.isDead || unresponsiveSince == null || context.now <= unresponsiveSince + workerSettings.leaseSeconds / 2) return
        context.infoLimited(
            "machine unresponsive, returning it",
            "machine" to machine.id,
            "unresponsiveSeconds" to secondsSince(unresponsiveSince),
        )
        machine.isDead = true
    }

    private fun secondsSince(time: Double): Int = (context.now - time).toInt()

    /**
     * Whether [machine] is drained and has no allocations. A machine that operators drain is kept until the outcomes of tasks that only its
     * worker knows are stored, or its lease has expired.
     */
    private fun isDrainedAndEmpty(machine: Machine): Boolean {
        if (!machine.isDraining || registry.hasAllocationsOn(machine)) return false
        return machine.drainReason != DrainReason.OPERATOR || machine.reportedTasks.isEmpty() || machine.isLeaseExpired
    }

    /**
     * Whether [machine] sends no heartbeats and does not answer commands: it is dead or partitioned. Returning it guarantees that its tasks
     * have ended, well before the lease of its worker expires.
     */
    private fun isSilentAndUnreachable(machine: Machine): Boolean {
        val isExpected = machine.isUp || registry.hasAllocationsOn(machine)
        if (!isExpected || machine.isDead || machine.isLeaseExpired || machine.isStarting) return false
        if (machine.consecutiveCommandFailures < MIN_COMMAND_FAILURES) return false
        val silentUntil = machine.silentSince + workerSettings.reportSeconds * MAX_SILENT_INTERVALS
        return workers.receivesHeartbeatsFrom(machine.zone) && context.now > silentUntil
    }

    /**
     * Zones in which at least half of the machines send heartbeats. In other zones the fault is more likely in this member or in the
     * network than in a machine.
     */
    private fun zonesWithHeartbeats(): Set<String> =
        workers.machines.values
            .filter { it.isUp && !it.isLeaseExpired }
            .groupBy { it.zone }
            .filterValues { machines -> machines.count { sendsHeartbeats(it) } >= machines.size * MIN_SHARE_WITH_HEARTBEATS }
            .keys

    private fun sendsHeartbeats(machine: Machine): Boolean =
        machine.isResponsive && context.now < machine.lastMessageAt + workerSettings.reportSeconds * 2

    private fun returnMachines(machines: List<Machine>) {
        if (machines.isEmpty()) return
        val drainedByOperator = machines.filterTo(HashSet()) { it.drainReason == DrainReason.OPERATOR }
        machines.forEach {
            it.isReturning = true
            it.drainReason = DrainReason.RETURNED
        }
        val ids = machines.map { it.id }
        val isStillLeading = leadership.whileLeading(leadership.term)
        context.info("returning machines", "machines" to ids.joinToString(","))
        cloud.returnMachines(ids) { isConfirmed ->
            if (!isStillLeading()) return@returnMachines
            if (isConfirmed) {
                machines.forEach { onReturned(it, mayRentAgain = it !in drainedByOperator) }
            } else {
                machines.forEach { machine -> context.schedule(RETRY_SECONDS) { machine.isReturning = false } }
            }
        }
    }

    private fun onReturned(
        machine: Machine,
        mayRentAgain: Boolean,
    ) {
        workers.removeMachine(machine, LossReason.RETURNED)
        if (mayRentAgain) scaleOut.onReturned(machine.offering)
    }

    /**
     * Returns idle machines that neither waiting nor expected tasks need; [remaining] is the capacity that is still free once these tasks
     * are fitted in.
     */
    fun returnIdle(
        remaining: List<FreeCapacity>,
        catalog: Catalog,
    ) {
        val inService = workers.machines.values.filter { it.isUp && !it.isDraining }
        val maxIdleSeconds = maxIdleSeconds(inService.size)
        val idle = inService.filter { isIdle(it, maxIdleSeconds) }
        if (idle.isEmpty()) return
        val unneeded =
            remaining
                .filter { catalog.types[it.offering.type]?.size == it.free }
                .groupingBy { it.offering }
                .eachCount()
                .toMutableMap()
        val returned =
            idle.sortedWith(compareBy({ it.spot }, { it.idleSince })).filter { machine ->
                val count = unneeded[machine.offering] ?: 0
                if (count > 0) unneeded[machine.offering] = count - 1
                count > 0
            }
        returnMachines(returned.take(MAX_MACHINES_PER_CALL))
    }

    private fun isIdle(
        machine: Machine,
        maxIdleSeconds: Double,
    ): Boolean {
        val priceFactor = if (machine.spot) 1.0 else PriceSelector.EXPENSIVE_PRICE_FACTOR
        return machine.idleSince > 0 && context.now > machine.idleSince + maxIdleSeconds / priceFactor &&
            !registry.hasAllocationsOn(machine)
    }

    /**
     * How long a machine may be idle before it is returned. The more machines there are, the less their load varies relative to its mean,
     * and the sooner an idle machine is known not to be needed.
     */
    private fun maxIdleSeconds(machineCount: Int): Double {
        val factor = SQRT_OF_MACHINES_AT_FULL_IDLE_TIME / Math.sqrt(machineCount.coerceAtLeast(1).toDouble())
        return idleSeconds * minOf(1.0, factor)
    }

    private companion object {
        const val RETRY_SECONDS = 2.0
        const val MAX_MACHINES_PER_CALL = 100
        const val MAX_CALLS_PER_PLAN = 4
        const val MAX_SILENT_INTERVALS = 2.2
        const val MIN_COMMAND_FAILURES = 2
        const val MIN_SHARE_WITH_HEARTBEATS = 0.5

        /** A boot is given up after this many times the boot time of the machine type. */
        const val OVERDUE_BOOT_FACTOR = 3.0

        /** Square root of the number of machines above which the allowed idle time gets shorter. */
        const val SQRT_OF_MACHINES_AT_FULL_IDLE_TIME = 5.0
    }
}
