package burlridge.balance

import burlridge.worker.Machine

/** Which active drain, if any, covers a machine; machines by the thousand are asked about in every placement round. */
internal class DrainIndex {
    private var byMachine: Map<String, Drain> = emptyMap()
    private var byZone: Map<String, Drain> = emptyMap()
    private var networks: List<Drain> = emptyList()

    /** Addresses that were looked up; of those that are in no drained network as well. */
    private val byHost = HashMap<String, Drain?>()
    val isEmpty: Boolean get() = byMachine.isEmpty() && byZone.isEmpty() && networks.isEmpty()

    fun rebuild(drains: List<Drain>) {
        val active = drains.filter { it.active }
        byMachine = active.filter { it.target is DrainTarget.SingleMachine }.associateBy { it.target.value }
        byZone = active.filter { it.target is DrainTarget.Zone }.associateBy { it.target.value }
        networks = active.filter { it.target is DrainTarget.Network }
        byHost.clear()
    }

    fun isDrained(zone: String): Boolean = zone in byZone

    fun covering(machine: Machine): Drain? = byMachine[machine.id] ?: byZone[machine.zone] ?: inNetwork(machine)

    private fun inNetwork(machine: Machine): Drain? {
        if (networks.isEmpty()) return null
        val host = machine.address?.host ?: return null
        if (byHost.size >= MOST_HOSTS) byHost.clear()
        if (host !in byHost) byHost[host] = networks.firstOrNull { it.target.matches(machine) }
        return byHost[host]
    }

    private companion object {
        const val MOST_HOSTS = 20_000
    }
}
