package burlridge.fleet

import burlridge.job.JobSpec
import burlridge.job.Resources

/** Free resources of one machine, which may not have joined yet. */
internal class FreeCapacity(
    val offering: InstanceOffering,
    free: Resources,
) {
    var free: Resources = free
        private set

    /** Whether [spec] allows machines of this offering. */
    fun allows(spec: JobSpec): Boolean = spec.allows(offering.type, offering.zone, offering.spot)

    /** Number of tasks of [size] that fit. */
    fun fitCount(size: Resources): Int = free.fitCount(size)

    /** Takes the resources of up to [maxTasks] tasks of [size]; returns the number of tasks that fit. */
    fun take(
        size: Resources,
        maxTasks: Int,
    ): Int {
        var taken = 0
        while (taken < maxTasks && size.fits(free)) {
            free -= size
            taken++
        }
        return taken
    }
}
