package burlridge.settings

import burlridge.json.Json
import burlridge.json.isValidUnicode
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.JsonNode
import java.io.IOException

/** Parses and validates the platform's settings file; no other code uses the names of its fields. */
internal object SettingsParser {
    /** Values outside these ranges are assumed to be mistakes in the file. */
    private val CPU_SHARE_RANGE = 0.001..100.0
    private val MEMORY_MB_RANGE = 32.0..1_000_000.0

    /** Fewer than 40 connections cannot be divided among users, workers, controllers and external services. */
    private val MAX_CONNECTIONS_RANGE = 40.0..1_000_000.0
    private const val BYTES_PER_KB = 1024

    /** Throws [InvalidSettingsException] with a one-line message that names the invalid field. */
    fun parse(text: String): Settings =
        try {
            read(Json.parse(text))
        } catch (e: JsonProcessingException) {
            throw InvalidSettingsException("the settings are not JSON: ${e.originalMessage}", e)
        } catch (e: IOException) {
            throw InvalidSettingsException("the settings are not JSON: ${e.message}", e)
        }

    private fun read(root: JsonNode): Settings {
        if (!root.isObject) throw InvalidSettingsException("the settings are not a JSON object")
        val params = root.required("params", "")
        val workers = params.required("workers", "params.")
        val state = params.required("state", "params.")
        val cloud = params.required("cloud", "params.")
        val services = root.required("services", "")
        return Settings(
            member = root.text("member", ""),
            zone = root.text("zone", ""),
            serveOn = root.endpoint("serve_on", ""),
            peerBind = root.endpoint("peer_bind", ""),
            others =
                root.elements("others").map {
                    PeerMember(it.text("member", "others."), it.text("zone", "others."), it.endpoint("endpoint", "others."))
                },
            cloudEndpoint = services.endpoint("cloud", "services."),
            stateEndpoint = services.endpoint("state", "services."),
            teams = params.elements("teams").map { team(it) }.associateBy { it.name },
            objectives = params.elements("objectives").map { objective(it) },
            workers =
                WorkerTimings(
                    workers.positiveNumber("report_s", "params.workers."),
                    workers.positiveNumber("lease_s", "params.workers."),
                    workers.positiveNumber("cancel_s", "params.workers."),
                    gangTimings(workers),
                ),
            storeLimits = storeLimits(state),
            cloudLimits = CloudLimits(cloud.positiveNumber("rps", "params.cloud."), cloud.positiveNumber("list_lag_s", "params.cloud.")),
            processLimits = processLimits(params.required("limits", "params.")),
            clockBoundMillis = params.path("time_bound_ms").takeIf { it.isNumber && it.asDouble() >= 0 }?.asDouble(),
        )
    }

    private fun processLimits(node: JsonNode): ProcessLimits {
        if (!node.isObject) throw InvalidSettingsException("params.limits must be an object")
        val connections = node.numberInRange("max_connections", "params.limits.", MAX_CONNECTIONS_RANGE)
        if (connections !=
            Math.rint(connections)
        ) {
            throw InvalidSettingsException("params.limits.max_connections must be a whole number")
        }
        return ProcessLimits(
            node.numberInRange("cpu_share", "params.limits.", CPU_SHARE_RANGE),
            node.numberInRange("memory_mb", "params.limits.", MEMORY_MB_RANGE),
            connections.toInt(),
        )
    }

    private fun gangTimings(workers: JsonNode): GangTimings? {
        if (!workers.hasNonNull("gang_wait_s") && !workers.hasNonNull("gang_peer_s")) return null
        return GangTimings(
            workers.positiveNumber("gang_wait_s", "params.workers."),
            workers.positiveNumber("gang_peer_s", "params.workers."),
        )
    }

    private fun storeLimits(state: JsonNode): StoreLimits {
        val next = state.path("next")
        if (!next.isMissingNode && !next.isNull && !next.isObject) throw InvalidSettingsException("params.state.next must be an object")

        fun lowerOf(name: String): Double {
            val now = state.positiveNumber(name, "params.state.")
            return if (next.hasNonNull(name)) minOf(now, next.positiveNumber(name, "params.state.next.")) else now
        }
        return StoreLimits(
            lowerOf("rps"),
            lowerOf("write_rps"),
            (lowerOf("value_kb") * BYTES_PER_KB).toInt(),
            lowerOf("txn_ops").toInt().coerceAtLeast(1),
        )
    }

    private fun team(node: JsonNode) =
        Team(
            node.text("name", "params.teams."),
            node.path("cpus").asDouble(0.0),
            node.path("cpus_max").asDouble(0.0),
            node.path("gpus").asDouble(0.0),
            node.path("gpus_max").asDouble(0.0),
        )

    private fun objective(node: JsonNode) =
        ServiceLevelObjective(
            node.path("kind").asText(""),
            node.path("class").takeIf { it.isTextual }?.asText(),
            node.path("within_s").takeIf { it.isNumber }?.asDouble(),
            node.path("share").takeIf { it.isNumber }?.asDouble(),
        )
}

private fun JsonNode.required(
    name: String,
    prefix: String,
): JsonNode = get(name)?.takeIf { !it.isNull } ?: throw InvalidSettingsException("$prefix$name is missing")

private fun JsonNode.text(
    name: String,
    prefix: String,
): String {
    val text =
        required(name, prefix).textValue()?.takeIf { it.isNotEmpty() }
            ?: throw InvalidSettingsException("$prefix$name must be a non-empty text")
    if (!text.isValidUnicode()) throw InvalidSettingsException("$prefix$name must be valid Unicode")
    return text
}

private fun JsonNode.positiveNumber(
    name: String,
    prefix: String,
): Double =
    required(name, prefix).takeIf { it.isNumber && it.asDouble().isFinite() && it.asDouble() > 0 }?.asDouble()
        ?: throw InvalidSettingsException("$prefix$name must be a number above 0")

private fun JsonNode.numberInRange(
    name: String,
    prefix: String,
    range: ClosedFloatingPointRange<Double>,
): Double =
    required(name, prefix).takeIf { it.isNumber && it.asDouble() in range }?.asDouble()
        ?: throw InvalidSettingsException("$prefix$name must be a number from ${range.start} to ${range.endInclusive}")

private fun JsonNode.elements(name: String): List<JsonNode> {
    val node = get(name) ?: return emptyList()
    if (node.isNull) return emptyList()
    if (!node.isArray) throw InvalidSettingsException("$name must be a list")
    return node.toList()
}

private fun JsonNode.endpoint(
    name: String,
    prefix: String,
): Endpoint {
    val text = text(name, prefix)
    val port = text.substringAfterLast(':', "").toIntOrNull()
    val host = text.substringBeforeLast(':')
    if (port == null || port !in 1..65535 ||
        host.isEmpty()
    ) {
        throw InvalidSettingsException("$prefix$name must be an address and a port, not \"$text\"")
    }
    return Endpoint(host, port)
}
