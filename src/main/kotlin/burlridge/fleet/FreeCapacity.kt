package burlridge.fleet

import burlridge.job.JobSpec
import burlridge.job.Resources

/** What is free, now or soon, of one machine. */
internal class FreeCapacity(
    val type: String,
    val zone: String,
    val spot: Boolean,
    var free: Resources,
) {
    fun allows(spec: JobSpec): Boolean = spec.allows(type, zone, spot)

    fun seats(size: Resources): Int = free.holds(size)

    /** Takes room for up to [most] tasks of [size]; returns how many found some. */
    fun take(
        size: Resources,
        most: Int,
    ): Int {
        var taken = 0
        while (taken < most && size.fits(free)) {
            free -= size
            taken++
        }
        return taken
    }
}
