package burlridge.fleet

import burlridge.job.JobSpec
import burlridge.job.Resources

/** A machine type that the cloud rents out. Prices have the unit of the cloud's catalog, and are only compared with each other. */
internal data class MachineType(
    val name: String,
    val size: Resources,
    /** The size of its image cache. */
    val cacheGb: Double,
    val fetchGbPerSecond: Double,
    val price: Double,
    val spotPrice: Double,
    /** How long a machine usually takes to boot. */
    val bootSeconds: Double,
    val zones: List<String>,
)

/** The machine types that the cloud rents out, by name. */
internal class Catalog(
    val types: Map<String, MachineType>,
) {
    /** The machine types that [spec] allows, that a task of it fits on and that are available in a zone that it allows. */
    fun eligibleTypes(spec: JobSpec): List<MachineType> =
        types.values.filter {
            (spec.machineTypes == null || it.name in spec.machineTypes) && spec.taskResources.fits(it.size) &&
                (spec.zone == null || spec.zone in it.zones)
        }
}
