package burlridge.worker

import burlridge.core.StepContext
import burlridge.leadership.Leadership
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap

/** The machines that this leader knows, the tasks that run on them without an allocation, and the fencing tokens given out. */
internal class MachineRegistry(
    private val context: StepContext,
    private val leadership: Leadership,
) {
    /** By id, in the order in which this leader came to know them. */
    val byId: LinkedHashMap<String, Machine> = LinkedHashMap()

    /**
     * Whether the stored allocations of this term have been read. Until then heartbeats are recorded, and nothing is concluded from what
     * they lack.
     */
    var areAllocationsLoaded: Boolean = false

    /** How many machines run each task without an allocation; until it is stopped, such a task blocks any other start of it. */
    private val orphanCount = Object2IntOpenHashMap<String>()

    /** Ids of machines that are gone: a late heartbeat must not bring one back. */
    private val removed = HashSet<String>()
    private var tokensGiven = 0L

    /** Forgets everything, when leadership ends. */
    fun clear() {
        byId.clear()
        removed.clear()
        orphanCount.clear()
        areAllocationsLoaded = false
        tokensGiven = 0
    }

    /** A fencing token above all that this leader has given out. */
    fun nextToken(): Long = FencingToken.first(leadership.term) + ++tokensGiven

    /** The machine [id], which is registered if it is not known yet. */
    fun getOrRegister(id: String): Machine = byId.getOrPut(id) { register(id) }

    private fun register(id: String): Machine {
        val machine = Machine(id, context.now)
        machine.token = FencingToken.first(leadership.term)
        machine.unsettledToken = machine.token - 1
        // A heartbeat alone may be a late copy from a machine that is long gone: its worker must have seen a token of this term.
        machine.requiredToken = machine.token
        machine.answeredAt = context.now
        machine.idleSince = context.now
        return machine
    }

    /** Whether [machine] is still registered; it may have gone while a command to it was under way. */
    fun isRegistered(machine: Machine): Boolean = byId[machine.id] === machine

    /** Whether the machine [id] is gone for good. */
    fun isRemoved(id: String): Boolean = id in removed

    /** Takes out [machine], which is gone for good. */
    fun remove(machine: Machine) {
        removed += machine.id
        byId.remove(machine.id)
        setOrphans(machine, emptySet())
    }

    /** Whether the task runs on some machine without an allocation. */
    fun hasOrphan(taskName: String): Boolean = orphanCount.getInt(taskName) > 0

    /** Whether any task of [job] runs on some machine without an allocation. */
    fun hasOrphans(job: String): Boolean = orphanCount.keys.any { it.substringBefore('/') == job }

    /** Records [orphans] as the names of all tasks that run on [machine] without an allocation. */
    fun setOrphans(
        machine: Machine,
        orphans: Set<String>,
    ) {
        if (machine.orphans.isEmpty() && orphans.isEmpty()) return
        machine.orphans.forEach { if (orphanCount.addTo(it, -1) <= 1) orphanCount.removeInt(it) }
        orphans.forEach { orphanCount.addTo(it, 1) }
        machine.orphans = orphans
    }

    /** Of the machines that may run something, how many are up and have seen a token of this term. */
    fun responseCount(): WorkerResponseCount {
        val known = byId.values.filter { !it.isStarting && !it.isDead && !it.isLeaseExpired }
        return WorkerResponseCount(known.count { it.isUp && it.isResponsive }, known.size)
    }
}

/** Of the machines that may run something, how many are up and have seen a token of this leader's term. */
internal data class WorkerResponseCount(
    val answered: Int,
    val known: Int,
)
