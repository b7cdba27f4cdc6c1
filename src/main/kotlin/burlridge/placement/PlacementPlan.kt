package burlridge.placement

import burlridge.intake.JobSpec
import burlridge.intake.Size
import burlridge.intent.Claim
import burlridge.worker.Machine

/** A machine with room, and what of it is free. */
internal class Room(
    val machine: Machine,
    val whole: Size,
    var free: Size,
) {
    /** How many tasks of [size] find room. */
    fun seats(size: Size): Int = free.holds(size)
}

/** The machines with room of one type, zone and kind. */
internal class Pool(
    val whole: Size,
    val first: Machine,
    val rooms: ArrayList<Room> = ArrayList(),
) {
    /** Its machines, full ones as well. */
    var machines: Int = 0
}

/** What a job asks of a machine; where one job found no room, another that asks for no less need not look. */
internal data class ResourceRequest(
    val types: List<String>?,
    val zone: String?,
    val spot: Boolean,
    val size: Size,
)

/** What one round has used up and found out. */
internal class PlacementPlan(
    val pools: List<Pool>,
    val used: HashMap<String, Size>,
) {
    val claims = ArrayList<Claim>()
    val jobs = HashSet<String>()
    val unplaceable = ArrayList<ResourceRequest>()

    fun isUnplaceable(spec: JobSpec): Boolean =
        unplaceable.any { it.types == spec.types && it.zone == spec.zone && (it.spot || !spec.spot) && it.size.fits(spec.size) }

    fun used(team: String): Size = used[team] ?: Size.NONE

    /** The pools whose machines [spec] may use and that are large enough. */
    fun poolsFor(spec: JobSpec): List<Pool> = pools.filter { spec.size.fits(it.whole) && allows(spec, it.first) }

    private fun allows(
        spec: JobSpec,
        machine: Machine,
    ): Boolean =
        (spec.types == null || machine.type in spec.types) && (spec.zone == null || spec.zone == machine.zone) &&
            (spec.spot || !machine.spot)
}
