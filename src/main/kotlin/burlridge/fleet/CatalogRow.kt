package burlridge.fleet

import burlridge.job.Resources
import burlridge.json.Json
import burlridge.json.isValidUnicode
import com.fasterxml.jackson.databind.JsonNode

/** The cloud's catalog together with its JSON, which is stored unchanged. */
internal class CatalogRow private constructor(
    val catalog: Catalog,
    val value: JsonNode,
) {
    internal companion object {
        /** The key of the stored catalog. */
        const val KEY: String = "catalog"

        /** Returns null if [body] is not a catalog. */
        fun decode(body: String): CatalogRow? = Json.parseOrNull(body)?.let { decode(it) }

        /** Returns null if [value] is not a catalog. Entries without a valid name or a number of CPUs are skipped. */
        fun decode(value: JsonNode): CatalogRow? {
            val entries = value.get("breeds")?.takeIf { it.isArray && it.size() > 0 } ?: return null
            val types = entries.mapNotNull { decodeType(it) }
            return if (types.isEmpty()) null else CatalogRow(Catalog(types.associateBy { it.name }), value)
        }

        private fun decodeType(entry: JsonNode): MachineType? {
            val name = entry.path("sku").asText("")
            if (name.isEmpty() || !name.isValidUnicode() || !entry.path("vcpus").isNumber) return null
            return MachineType(
                name,
                Resources(entry.path("vcpus").asDouble(), entry.path("gpus").asDouble(0.0), entry.path("ramGb").asDouble()),
                entry.path("cacheGb").asDouble(0.0),
                entry.path("pullGbPerS").asDouble(1.0),
                entry.path("price").asDouble(1.0),
                entry.path("spotPrice").asDouble(1.0),
                entry.path("bootS").asDouble(DEFAULT_BOOT_SECONDS),
                entry.path("yards").map { it.asText() }.filter { it.isValidUnicode() },
            )
        }

        private const val DEFAULT_BOOT_SECONDS = 30.0
    }
}
