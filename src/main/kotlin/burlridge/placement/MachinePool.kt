package burlridge.placement

import burlridge.job.Resources
import burlridge.worker.Machine

/** The usable machines of one type, zone and billing model. */
internal class MachinePool(
    /** The resources of each machine. */
    val total: Resources,
    /** One of its machines, for what they have in common. */
    val first: Machine,
) {
    /** Its machines that have free resources. */
    val candidates: ArrayList<MachineCapacity> = ArrayList()

    /** The number of its machines, full ones included. */
    var machineCount: Int = 0
}
