package burlridge.balance

import burlridge.worker.Machine

/** Finds the active drain that covers a machine; asked for every machine in every scheduling cycle, so lookups are cheap. */
internal class DrainIndex {
    private var byMachine: Map<String, Drain> = emptyMap()
    private var byZone: Map<String, Drain> = emptyMap()
    private var networks: List<Drain> = emptyList()

    /** Results of address lookups, including addresses that are in no drained network. */
    private val byHost = HashMap<String, Drain?>()

    /** Whether no drain is active. */
    val isEmpty: Boolean get() = byMachine.isEmpty() && byZone.isEmpty() && networks.isEmpty()

    /** Replaces the index by the active ones of [drains]. */
    fun rebuild(drains: List<Drain>) {
        val active = drains.filter { it.isActive }
        byMachine = active.filter { it.target is DrainTarget.SingleMachine }.associateBy { it.target.value }
        byZone = active.filter { it.target is DrainTarget.Zone }.associateBy { it.target.value }
        networks = active.filter { it.target is DrainTarget.Network }
        byHost.clear()
    }

    /** Whether [zone] is drained as a whole. */
    fun isDrained(zone: String): Boolean = zone in byZone

    /** The active drain that covers [machine], a more specific one first; null for none. */
    fun covering(machine: Machine): Drain? = byMachine[machine.id] ?: byZone[machine.zone] ?: coveringNetwork(machine)

    private fun coveringNetwork(machine: Machine): Drain? {
        if (networks.isEmpty()) return null
        val host = machine.address?.host ?: return null
        if (byHost.size >= MAX_CACHED_HOSTS) byHost.clear()
        if (host !in byHost) byHost[host] = networks.firstOrNull { it.target.matches(machine) }
        return byHost[host]
    }

    private companion object {
        const val MAX_CACHED_HOSTS = 20_000
    }
}
