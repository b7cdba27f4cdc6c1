package burlridge.fleet

import burlridge.allocation.JobRegistry
import burlridge.core.StepContext
import burlridge.leadership.Leadership
import burlridge.worker.DrainReason
import burlridge.worker.LossReason
import burlridge.worker.Machine
import burlridge.worker.WorkerManager
import burlridge.worker.hasAllocationsOn

/** The offering that a machine is of. */
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

    /** Returns machines that are dead, cut off, overdue, or drained and empty. */
    fun returnLost(catalog: Catalog) {
        val reportingZones = reportingZones()
        for (machine in workers.machines.values) {
            val type = catalog.types[machine.type] ?: continue
            val isZoneReporting = machine.zone in reportingZones
            val isOverdue = isOverdue(machine, type)
            if (isZoneReporting) {
                if (isSilentAndUnreachable(machine)) giveUpSilent(machine)
                giveUpIfUnresponsive(machine)
            }
            if (isOverdue && !machine.isDraining) drainOverdue(machine)
        }
        // Hundreds may be due at once, and each second counts for the tasks on them.
        workers.machines.values
            .filter { !it.isReturning && (it.isDead || isDrainedEmpty(it)) }
            .chunked(MAX_MACHINES_PER_CALL)
            .take(MAX_CALLS_PER_PLAN)
            .forEach { returnMachines(it) }
    }

    /** To a new leader every machine is silent at first, so only one that the cloud still calls starting is overdue. */
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

    private fun giveUpSilent(machine: Machine) {
        context.infoLimited(
            "machine silent and unreachable, returning it",
            "machine" to machine.id,
            "silentSeconds" to secondsSince(machine.silentSince),
        )
        machine.isDead = true
    }

    private fun giveUpIfUnresponsive(machine: Machine) {
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

    /** A drain by operators waits until the ends of tasks that only the worker keeps are stored. */
    private fun isDrainedEmpty(machine: Machine): Boolean {
        if (!machine.isDraining || registry.hasAllocationsOn(machine)) return false
        return machine.drainReason != DrainReason.OPERATOR || machine.reportedTasks.isEmpty() || machine.isLeaseExpired
    }

    /**
     * Whether [machine] has fallen silent and does not answer commands: it is dead or cut off, and returning it ends its tasks for certain,
     * well before its worker's lease would.
     */
    private fun isSilentAndUnreachable(machine: Machine): Boolean {
        val isExpected = machine.isUp || registry.hasAllocationsOn(machine)
        if (!isExpected || machine.isDead || machine.isLeaseExpired || machine.isStarting) return false
        if (machine.consecutiveCommandFailures < MIN_COMMAND_FAILURES) return false
        val silentUntil = machine.silentSince + workerSettings.reportSeconds * MAX_SILENT_REPORTS
        return workers.receivesHeartbeatsFrom(machine.zone) && context.now > silentUntil
    }

    /** The zones most of whose machines report. Elsewhere the fault is more likely this member's or the network's than a machine's. */
    private fun reportingZones(): Set<String> =
        workers.machines.values
            .filter { it.isUp && !it.isLeaseExpired }
            .groupBy { it.zone }
            .filterValues { machines -> machines.count { isReporting(it) } >= machines.size * MIN_REPORTING_SHARE }
            .keys

    private fun isReporting(machine: Machine): Boolean =
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
                machines.forEach { onReturned(it, isRentedAgain = it !in drainedByOperator) }
            } else {
                machines.forEach { machine -> context.schedule(RETRY_SECONDS) { machine.isReturning = false } }
            }
        }
    }

    private fun onReturned(
        machine: Machine,
        isRentedAgain: Boolean,
    ) {
        workers.removeMachine(machine, LossReason.RETURNED)
        if (isRentedAgain) scaleOut.onReturned(machine.offering)
    }

    /** Returns idle machines that the expected tasks leave empty; [remaining] is what is free once those tasks have their capacity. */
    fun returnIdle(
        remaining: List<FreeCapacity>,
        catalog: Catalog,
    ) {
        val inService = workers.machines.values.filter { it.isUp && !it.isDraining }
        val patienceSeconds = patienceSeconds(inService.size)
        val idle = inService.filter { isIdle(it, patienceSeconds) }
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
        patienceSeconds: Double,
    ): Boolean {
        val priceFactor = if (machine.spot) 1.0 else PriceSelector.EXPENSIVE_FACTOR
        return machine.idleSince > 0 && context.now > machine.idleSince + patienceSeconds / priceFactor &&
            !registry.hasAllocationsOn(machine)
    }

    /**
     * How long a machine may be idle. The more machines there are, the less the work on them varies against its mean, and the sooner an
     * idle one is not needed.
     */
    private fun patienceSeconds(machineCount: Int): Double {
        val factor = PATIENCE_SHORTENS_FROM_ROOT / Math.sqrt(machineCount.coerceAtLeast(1).toDouble())
        return idleSeconds * minOf(1.0, factor)
    }

    private companion object {
        const val RETRY_SECONDS = 2.0
        const val MAX_MACHINES_PER_CALL = 100
        const val MAX_CALLS_PER_PLAN = 4
        const val MAX_SILENT_REPORTS = 2.2
        const val MIN_COMMAND_FAILURES = 2
        const val MIN_REPORTING_SHARE = 0.5

        /** A boot that takes so many times its type's figure is given up. */
        const val OVERDUE_BOOT_FACTOR = 3.0

        /** The square root of the number of machines from which on the patience gets shorter. */
        const val PATIENCE_SHORTENS_FROM_ROOT = 5.0
    }
}
