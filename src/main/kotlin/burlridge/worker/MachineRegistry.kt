package burlridge.worker

import burlridge.allocation.AllocationTable
import burlridge.core.BoundedMap
import burlridge.core.StepContext
import burlridge.leadership.Leadership
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap

/** Holds the machines known to this leader and the orphaned tasks on them, and issues fencing tokens. */
internal class MachineRegistry(
    private val context: StepContext,
    private val leadership: Leadership,
    private val allocations: AllocationTable,
) {
    /** Machines by id, in the order in which this leader registered them. */
    val byId: LinkedHashMap<String, Machine> = LinkedHashMap()

    /**
     * Whether the stored allocations have been read in this term. Until then heartbeats are recorded, but a task missing from one is not
     * considered lost.
     */
    var areAllocationsLoaded: Boolean = false

    /** Number of machines that run each task without an allocation. Until stopped, such an orphan blocks any other start of the task. */
    private val orphanCountByTask = Object2IntOpenHashMap<String>()

    /** Ids of removed machines, which a late heartbeat must not register again. */
    private val removedIds = BoundedMap<String, Unit>(context.settings.processLimits.maxConnections * REMOVED_PER_CONNECTION)
    private var issuedTokenCount = 0L

    /** Clears all state when a term begins or ends. */
    fun clear() {
        byId.clear()
        removedIds.clear()
        orphanCountByTask.clear()
        areAllocationsLoaded = false
        issuedTokenCount = 0
    }

    /** Issues a fencing token higher than all that this leader has issued before. */
    fun nextToken(): Long = FencingToken.first(leadership.term) + ++issuedTokenCount

    /** Returns the machine [id], and registers it if it is not known yet. */
    fun getOrRegister(id: String): Machine = byId.getOrPut(id) { register(id) }

    private fun register(id: String): Machine {
        val machine = Machine(id, context.now)
        machine.token = FencingToken.first(leadership.term)
        machine.unsettledToken = machine.token - 1
        // A heartbeat alone may be a delayed copy from a machine that no longer exists, so the worker must have seen a token of this term.
        machine.requiredToken = machine.token
        machine.leaseRenewedAt = context.now
        machine.idleSince = context.now
        return machine
    }

    /** Gives [machine] a new token, and prevents that tasks are placed on it until its worker has seen that token. */
    fun requireNewToken(machine: Machine) {
        machine.token = nextToken()
        machine.requiredToken = machine.token
    }

    /** Gives [machine] a token above those of all commands that were sent to it. */
    fun raiseToken(machine: Machine) {
        if (machine.token <= machine.lastCommandToken) machine.token = nextToken()
    }

    /** Gives [machine] a new token unless it has one that its worker has not been sent a start command with. */
    fun fenceStarts(machine: Machine) {
        if (machine.token <= machine.lastCommandToken) requireNewToken(machine)
    }

    /** Whether [machine] is still registered; it may have been removed while a command to it was in flight. */
    fun isRegistered(machine: Machine): Boolean = byId[machine.id] === machine

    /** Whether the machine [id] has been removed permanently. */
    fun isRemoved(id: String): Boolean = removedIds[id] != null

    /** Removes [machine] permanently, since it no longer exists. */
    fun remove(machine: Machine) {
        removedIds[machine.id] = Unit
        byId.remove(machine.id)
        setOrphans(machine, emptySet())
    }

    /** Whether the task [taskName] runs on any machine without an allocation. */
    fun hasOrphan(taskName: String): Boolean = orphanCountByTask.getInt(taskName) > 0

    /** Whether any task of [job] runs on any machine without an allocation. */
    fun hasOrphans(job: String): Boolean = orphanCountByTask.keys.any { it.substringBefore('/') == job }

    /** Replaces the names of the tasks that run on [machine] without an allocation by [orphans]. */
    fun setOrphans(
        machine: Machine,
        orphans: Set<String>,
    ) {
        if (machine.orphans.isEmpty() && orphans.isEmpty()) return
        machine.orphans.forEach { if (orphanCountByTask.addTo(it, -1) <= 1) orphanCountByTask.removeInt(it) }
        orphans.forEach { orphanCountByTask.addTo(it, 1) }
        machine.orphans = orphans
    }

    /** Whether the cloud, a rental or an allocation names the machine [id], so that its heartbeats cannot be invented. */
    fun isVouchedFor(id: String): Boolean = id in allocations.byMachine || byId[id]?.let { it.isListed || it.rentedAt > 0 } == true

    /** Counts the machines that may run tasks, and how many of them are up and have seen a token of this term. */
    fun responseCount(): WorkerResponseCount {
        val known = byId.values.filter { !it.isStarting && !it.isDead && !it.isLeaseExpired }
        return WorkerResponseCount(known.count { it.isUp && it.isResponsive }, known.size)
    }

    private companion object {
        /** Late heartbeats are minutes old, and far fewer machines are removed in that time. */
        const val REMOVED_PER_CONNECTION = 10
    }
}

/** Number of machines that may run tasks ([known]), and of those that are up and have seen a token of this leader's term ([answered]). */
internal data class WorkerResponseCount(
    val answered: Int,
    val known: Int,
)
