package burlridge.balance

import burlridge.fleet.Fleet
import burlridge.worker.DrainReason
import burlridge.worker.Machine
import burlridge.worker.WorkerManager

/** Cordons machines while a drain covers them, and uncordons them afterwards. */
internal class Cordons(
    private val index: DrainIndex,
    private val workers: WorkerManager,
    private val fleet: Fleet,
    private val decisions: DecisionLog,
) {
    /** Machines that joined in a drained network; each one triggers the rental backoff of its offering only once. */
    private val backedOffMachines = HashSet<String>()

    /** Clears all state; called when a term begins or ends. */
    fun clear() {
        backedOffMachines.clear()
    }

    /** Cordons and uncordons all machines according to the active drains. */
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
        // The network of a machine cannot be chosen when it is rented, so its offering is not rented again for a while.
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
