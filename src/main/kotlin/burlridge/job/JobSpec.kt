package burlridge.job

import burlridge.json.Json
import com.fasterxml.jackson.databind.JsonNode
import com.google.common.hash.Hashing

internal enum class Priority(
    val wire: String,
) {
    PRODUCTION("prod"),
    HIGH("high"),
    NORMAL("normal"),
    LOW("best_effort"),
    ;

    internal companion object {
        fun of(wire: String): Priority? = entries.firstOrNull { it.wire == wire }
    }
}

/** What one task takes of its machine. */
internal data class Resources(
    val cpus: Double,
    val gpus: Double,
    val memoryGb: Double,
) {
    fun fits(free: Resources): Boolean = cpus <= free.cpus + SLACK && gpus <= free.gpus + SLACK && memoryGb <= free.memoryGb + SLACK

    /** How many tasks of [size] it has room for. */
    fun holds(size: Resources): Int {
        fun part(
            free: Double,
            asked: Double,
        ): Double = if (asked > 0) (free + SLACK) / asked else MANY
        return minOf(part(cpus, size.cpus), part(gpus, size.gpus), part(memoryGb, size.memoryGb)).toInt().coerceAtLeast(0)
    }

    operator fun minus(other: Resources): Resources = Resources(cpus - other.cpus, gpus - other.gpus, memoryGb - other.memoryGb)

    operator fun times(tasks: Int): Resources = Resources(cpus * tasks, gpus * tasks, memoryGb * tasks)

    operator fun plus(other: Resources): Resources = Resources(cpus + other.cpus, gpus + other.gpus, memoryGb + other.memoryGb)

    internal companion object {
        private const val SLACK = 1e-9
        private const val MANY = 1e6
        val NONE = Resources(0.0, 0.0, 0.0)
    }
}

/** A job as its owner described it. */
internal data class JobSpec(
    val id: String,
    val jobClass: String,
    val team: String,
    val priority: Priority,
    val tasks: Int,
    val size: Resources,
    val image: String,
    val imageGb: Double,
    val types: List<String>?,
    val zone: String?,
    val oneZone: Boolean,
    val spread: Boolean,
    val spot: Boolean,
    val estimateSeconds: Double,
    val checkpointSeconds: Double,
    val saveSeconds: Double,
    val deadlineSeconds: Double?,
    /** All tasks run at the same time or none does. */
    val gang: Boolean = false,
) {
    /** The same for every repeat of the same submission. */
    val fingerprint: String by lazy {
        Hashing
            .sha256()
            .hashUnencodedChars(Json.write(encode()))
            .toString()
            .take(FINGERPRINT_CHARS)
    }

    /** Whether its tasks may run on a machine of this type, zone and kind. */
    fun allows(
        machineType: String,
        machineZone: String,
        onSpot: Boolean,
    ): Boolean = (types == null || machineType in types) && (zone == null || zone == machineZone) && (spot || !onSpot)

    fun encode(): JsonNode =
        Json.obj {
            put("id", id)
            put("lane", jobClass)
            put("crew", team)
            put("shape", if (gang) GANG else ARRAY)
            put("urgency", priority.wire)
            put("pieces", tasks)
            put("vcpus", size.cpus)
            put("gpus", size.gpus)
            put("ramGb", size.memoryGb)
            put("bundle", image)
            put("pullGb", imageGb)
            types?.let { all -> putArray("breeds").also { array -> all.forEach(array::add) } }
            zone?.let { put("yard", it) }
            put("together", oneZone)
            put("spread", spread)
            put("loaners", spot)
            put("guessS", estimateSeconds)
            put("markEveryS", checkpointSeconds)
            put("markCostS", saveSeconds)
            deadlineSeconds?.let { put("dueS", it) }
        }

    internal companion object {
        const val ARRAY = "array"
        const val GANG = "ensemble"
        private const val FINGERPRINT_CHARS = 16
        const val MOST_TASKS = 100_000
        private const val LONGEST_TEXT = 200
        private const val MOST_TYPES = 30
        private val ID = Regex("j-[0-9]{1,18}")

        fun isId(text: String): Boolean = ID.matches(text)

        fun parse(body: JsonNode?): JobSpec {
            if (body == null) throw InvalidJobException("the body is not JSON")
            if (!body.isObject) throw InvalidJobException("the body is not an object")
            val id = body.string("id")
            if (!isId(id)) throw InvalidJobException("id must look like j-000412")
            val shape = body.string("shape")
            if (shape != ARRAY && shape != GANG) throw InvalidJobException("shape must be \"$ARRAY\" or \"$GANG\"")
            val tasks = body.whole("pieces")
            if (tasks !in 1..MOST_TASKS) throw InvalidJobException("pieces must be from 1 to $MOST_TASKS")
            val size = Resources(body.amount("vcpus"), body.amount("gpus"), body.amount("ramGb"))
            return JobSpec(
                id = id,
                jobClass = body.string("lane"),
                team = body.string("crew"),
                priority =
                    Priority.of(
                        body.string("urgency"),
                    ) ?: throw InvalidJobException("urgency must be one of ${Priority.entries.map { it.wire }}"),
                tasks = tasks.toInt(),
                size = size,
                image = body.string("bundle"),
                imageGb = body.amount("pullGb"),
                types = body.types(),
                zone = body.present("yard")?.let { body.string("yard") },
                oneZone = body.flag("together"),
                spread = body.flag("spread"),
                spot = body.flag("loaners"),
                estimateSeconds = body.amount("guessS"),
                checkpointSeconds = body.amount("markEveryS"),
                saveSeconds = body.amount("markCostS"),
                deadlineSeconds = body.present("dueS")?.let { body.amount("dueS") },
                gang = shape == GANG,
            )
        }

        private fun JsonNode.present(name: String): JsonNode? = get(name)?.takeIf { !it.isNull }

        private fun JsonNode.need(name: String): JsonNode = present(name) ?: throw InvalidJobException("$name is missing")

        private fun JsonNode.string(name: String): String {
            val node = need(name)
            if (!node.isTextual) throw InvalidJobException("$name must be a text")
            val text = node.asText()
            if (text.isEmpty() || text.length > LONGEST_TEXT) throw InvalidJobException("$name must have 1 to $LONGEST_TEXT characters")
            return text
        }

        private fun JsonNode.amount(name: String): Double {
            val node = need(name)
            if (!node.isNumber || !node.asDouble().isFinite() ||
                node.asDouble() < 0
            ) {
                throw InvalidJobException("$name must be a number from 0")
            }
            return node.asDouble()
        }

        private fun JsonNode.whole(name: String): Long {
            val node = need(name)
            val value = node.asDouble()
            if (!node.isNumber || value != Math.rint(value) || !value.isFinite()) throw InvalidJobException("$name must be a whole number")
            return node.asLong()
        }

        private fun JsonNode.flag(name: String): Boolean =
            need(name).takeIf { it.isBoolean }?.asBoolean() ?: throw InvalidJobException("$name must be true or false")

        private fun JsonNode.types(): List<String>? {
            val node = present("breeds") ?: return null
            if (!node.isArray || node.size() > MOST_TYPES || node.any { !it.isTextual || it.asText().length > LONGEST_TEXT }) {
                throw InvalidJobException("breeds must be null or a list of at most $MOST_TYPES names")
            }
            return node.map { it.asText() }
        }
    }
}

internal class InvalidJobException(
    reason: String,
) : Exception(reason)
