package burlridge.fleet

import burlridge.job.JobSpec
import burlridge.job.Resources
import com.fasterxml.jackson.databind.JsonNode

internal data class MachineType(
    val name: String,
    val size: Resources,
    val cacheGb: Double,
    val fetchGbPerSecond: Double,
    val price: Double,
    val spotPrice: Double,
    val bootSeconds: Double,
    val zones: List<String>,
)

/** The machine types that the cloud rents out. */
internal class Catalog(
    val types: Map<String, MachineType>,
) {
    fun allowed(spec: JobSpec): List<MachineType> =
        types.values.filter {
            (spec.types == null || it.name in spec.types) && spec.size.fits(it.size) &&
                (spec.zone == null || spec.zone in it.zones)
        }

    internal companion object {
        /** Null for anything that is not a catalog. */
        fun parse(body: JsonNode?): Catalog? {
            val list = body?.get("breeds")?.takeIf { it.isArray && it.size() > 0 } ?: return null
            val types =
                list.mapNotNull { t ->
                    val name = t.path("sku").asText("")
                    if (name.isEmpty() || !t.path("vcpus").isNumber) return@mapNotNull null
                    MachineType(
                        name,
                        Resources(t.path("vcpus").asDouble(), t.path("gpus").asDouble(0.0), t.path("ramGb").asDouble()),
                        t.path("cacheGb").asDouble(0.0),
                        t.path("pullGbPerS").asDouble(1.0),
                        t.path("price").asDouble(1.0),
                        t.path("spotPrice").asDouble(1.0),
                        t.path("bootS").asDouble(30.0),
                        t.path("yards").map { it.asText() },
                    )
                }
            return if (types.isEmpty()) null else Catalog(types.associateBy { it.name })
        }
    }
}
