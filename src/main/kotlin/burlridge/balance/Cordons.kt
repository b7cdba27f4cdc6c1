package burlridge.balance

import burlridge.fleet.Fleet
import burlridge.worker.DrainReason
import burlridge.worker.Machine
import burlridge.worker.WorkerManager

/** Takes machines out of service while a drain covers them, and puts them back. */
internal class Cordons(
    private val index: DrainIndex,
    private val workers: WorkerManager,
    private val fleet: Fleet,
    private val decisions: DecisionLog,
) {
    /** Machines of a drained network that were seen to join; each holds off new rentals of its kind once. */
    private val backedOffMachines = HashSet<String>()

    /** Forgets what this term has seen. */
    fun clear() {
        backedOffMachines.clear()
    }

    /** Compares all machines with the drains. */
    fun apply() {
        for (machine in workers.machines.values) {
            val drain = if (index.isEmpty) null else index.covering(machine)
            if (drain != null) cordon(machine, drain) else uncordon(machine)
        }
    }

    private fun cordon(
        machine: Machine,
        drain: Drain,
    ) {
        if (machine.drainReason == null) {
            decisions.add(Decision.MachineCordoned(machine.id, drain))
            if (drain.cause == DrainCause.SLOW) workers.evictStraggler(machine) else machine.drainReason = DrainReason.OPERATOR
        }
        // The cloud cannot be told in which network to put machines, so its kind is not rented again for a while.
        if (drain.target is DrainTarget.Network && machine.idleSince >= machine.knownSince && backedOffMachines.add(machine.id)) {
            fleet.backOff(machine)
        }
    }

    private fun uncordon(machine: Machine) {
        if (machine.drainReason != DrainReason.OPERATOR) return
        machine.drainReason = null
        decisions.add(Decision.MachineUncordoned(machine.id))
    }
}
