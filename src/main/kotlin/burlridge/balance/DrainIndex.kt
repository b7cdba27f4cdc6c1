package burlridge.balance

import burlridge.worker.Machine

/** Finds the active drain that covers a machine. Lookups are cheap, because every placement round looks up every machine. */
internal class DrainIndex {
    private var byMachine: Map<String, Drain> = emptyMap()
    private var byZone: Map<String, Drain> = emptyMap()
    private var networks: List<Drain> = emptyList()

    /** Cached results of network lookups by host, including hosts that are in no drained network. */
    private val byHost = HashMap<String, Drain?>()

    /** Whether no drain is active. */
    val isEmpty: Boolean get() = byMachine.isEmpty() && byZone.isEmpty() && networks.isEmpty()

    /** Rebuilds the index from the active drains among [drains]. */
    fun rebuild(drains: List<Drain>) {
        val active = drains.filter { it.isActive }
        byMachine = active.filter { it.target is DrainTarget.SingleMachine }.associateBy { it.target.value }
        byZone = active.filter { it.target is DrainTarget.Zone }.associateBy { it.target.value }
        networks = active.filter { it.target is DrainTarget.Network }
        byHost.clear()
    }

    /** Whether an active drain covers the whole [zone]. */
    fun isDrained(zone: String): Boolean = zone in byZone

    /** Returns the active drain that covers [machine]: by machine, else by zone, else by network; null if there is none. */
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
