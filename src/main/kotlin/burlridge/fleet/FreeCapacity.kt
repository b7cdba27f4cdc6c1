package burlridge.fleet

import burlridge.job.JobSpec
import burlridge.job.Size

/** What is free, now or soon, of one machine. */
internal class FreeCapacity(
    val type: String,
    val zone: String,
    val spot: Boolean,
    var free: Size,
) {
    fun allows(spec: JobSpec): Boolean = spec.allows(type, zone, spot)

    fun seats(size: Size): Int = free.holds(size)

    /** Takes room for up to [most] tasks of [size]; returns how many found some. */
    fun take(
        size: Size,
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
