package burlridge.placement

import burlridge.job.Resources
import burlridge.worker.Machine

/** The usable machines of one type, zone and billing model. */
internal class MachinePool(
    /** The resources of each machine. */
    val total: Resources,
    /** One of its machines, to read the type, zone and billing model that they share. */
    val representative: Machine,
) {
    /** Its machines that have free resources. */
    val candidates: ArrayList<MachineCapacity> = ArrayList()

    /** Number of its machines, full ones included. */
    var machineCount: Int = 0
}
