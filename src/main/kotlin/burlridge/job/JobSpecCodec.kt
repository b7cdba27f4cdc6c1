package burlridge.job

import burlridge.json.Json
import com.fasterxml.jackson.databind.JsonNode

/** The JSON of a job's specification, in submissions and in rows. */
internal object JobSpecCodec {
    /** The shape of a job whose tasks are independent. */
    const val ARRAY: String = "array"

    /** The shape of a gang. */
    const val GANG: String = "ensemble"
    private const val MAX_TEXT_LENGTH = 200
    private const val MAX_TYPES = 30

    /** The fields are always in this order: the fingerprint is a hash of the text. */
    fun encode(spec: JobSpec): JsonNode =
        Json.obj {
            put("id", spec.id)
            put("lane", spec.jobClass)
            put("crew", spec.team)
            put("shape", if (spec.gang) GANG else ARRAY)
            put("urgency", spec.priority.wire)
            put("pieces", spec.tasks)
            put("vcpus", spec.size.cpus)
            put("gpus", spec.size.gpus)
            put("ramGb", spec.size.memoryGb)
            put("bundle", spec.image)
            put("pullGb", spec.imageGb)
            spec.types?.let { types -> putArray("breeds").also { array -> types.forEach(array::add) } }
            spec.zone?.let { put("yard", it) }
            put("together", spec.oneZone)
            put("spread", spec.spread)
            put("loaners", spec.spot)
            put("guessS", spec.estimateSeconds)
            put("markEveryS", spec.checkpointSeconds)
            put("markCostS", spec.saveSeconds)
            spec.deadlineSeconds?.let { put("dueS", it) }
        }

    /** Throws [InvalidJobException], with a reason for the user, where [body] is not a valid job; null stands for what is not JSON. */
    fun decode(body: JsonNode?): JobSpec {
        if (body == null) throw InvalidJobException("the body is not JSON")
        if (!body.isObject) throw InvalidJobException("the body is not an object")
        // The fields are read in the order in which their errors are to be reported.
        return JobSpec(
            id = body.id(),
            gang = body.isGang(),
            tasks = body.taskCount(),
            size = Resources(body.amount("vcpus"), body.amount("gpus"), body.amount("ramGb")),
            jobClass = body.text("lane"),
            team = body.text("crew"),
            priority = body.priority(),
            image = body.text("bundle"),
            imageGb = body.amount("pullGb"),
            types = body.machineTypes(),
            zone = body.fieldOrNull("yard")?.let { body.text("yard") },
            oneZone = body.flag("together"),
            spread = body.flag("spread"),
            spot = body.flag("loaners"),
            estimateSeconds = body.amount("guessS"),
            checkpointSeconds = body.amount("markEveryS"),
            saveSeconds = body.amount("markCostS"),
            deadlineSeconds = body.fieldOrNull("dueS")?.let { body.amount("dueS") },
        )
    }

    private fun JsonNode.id(): String {
        val id = text("id")
        if (!JobSpec.isId(id)) throw InvalidJobException("id must look like j-000412")
        return id
    }

    private fun JsonNode.isGang(): Boolean =
        when (text("shape")) {
            ARRAY -> false
            GANG -> true
            else -> throw InvalidJobException("shape must be \"$ARRAY\" or \"$GANG\"")
        }

    private fun JsonNode.taskCount(): Int {
        val tasks = wholeNumber("pieces")
        if (tasks !in 1..JobSpec.MAX_TASKS) throw InvalidJobException("pieces must be from 1 to ${JobSpec.MAX_TASKS}")
        return tasks.toInt()
    }

    private fun JsonNode.priority(): Priority =
        Priority.of(text("urgency")) ?: throw InvalidJobException("urgency must be one of ${Priority.entries.map { it.wire }}")

    private fun JsonNode.machineTypes(): List<String>? {
        val types = fieldOrNull("breeds") ?: return null
        val isValid = types.isArray && types.size() <= MAX_TYPES && types.all { it.isTextual && it.asText().length <= MAX_TEXT_LENGTH }
        if (!isValid) throw InvalidJobException("breeds must be null or a list of at most $MAX_TYPES names")
        return types.map { it.asText() }
    }

    // --- fields

    private fun JsonNode.fieldOrNull(name: String): JsonNode? = get(name)?.takeIf { !it.isNull }

    private fun JsonNode.field(name: String): JsonNode = fieldOrNull(name) ?: throw InvalidJobException("$name is missing")

    private fun JsonNode.text(name: String): String {
        val node = field(name)
        if (!node.isTextual) throw InvalidJobException("$name must be a text")
        val text = node.asText()
        if (text.isEmpty() || text.length > MAX_TEXT_LENGTH) {
            throw InvalidJobException("$name must have 1 to $MAX_TEXT_LENGTH characters")
        }
        return text
    }

    private fun JsonNode.amount(name: String): Double {
        val node = field(name)
        val value = node.asDouble()
        if (!node.isNumber || !value.isFinite() || value < 0) throw InvalidJobException("$name must be a number from 0")
        return value
    }

    private fun JsonNode.wholeNumber(name: String): Long {
        val node = field(name)
        val value = node.asDouble()
        if (!node.isNumber || value != Math.rint(value) || !value.isFinite()) throw InvalidJobException("$name must be a whole number")
        return node.asLong()
    }

    private fun JsonNode.flag(name: String): Boolean {
        val node = field(name)
        if (!node.isBoolean) throw InvalidJobException("$name must be true or false")
        return node.asBoolean()
    }
}
