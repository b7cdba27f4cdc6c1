package burlridge.fleet

import burlridge.job.JobSpec
import burlridge.job.Resources

/** The free resources of one machine, which may be still to come. */
internal class FreeCapacity(
    val offering: InstanceOffering,
    free: Resources,
) {
    var free: Resources = free
        private set

    /** Whether tasks of [spec] may run there at all. */
    fun allows(spec: JobSpec): Boolean = spec.allows(offering.type, offering.zone, offering.spot)

    /** How many tasks of [size] fit. */
    fun fitCount(size: Resources): Int = free.fitCount(size)

    /** Takes the resources of up to [maxTasks] tasks of [size]; returns of how many. */
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
