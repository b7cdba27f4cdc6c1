package burlridge.job

import burlridge.json.Json
import burlridge.json.isValidUnicode
import com.fasterxml.jackson.databind.JsonNode

/** The JSON of a job's specification, in submissions and in rows. */
internal object JobSpecCodec {
    /** The shape of a job whose tasks are independent. */
    const val ARRAY: String = "array"

    /** The shape of a gang. */
    const val GANG: String = "ensemble"
    private const val MAX_TEXT_LENGTH = 200
    private const val MAX_TYPES = 30

    /** Writes the fields in a fixed order, since the fingerprint is a hash of the text. */
    fun encode(spec: JobSpec): JsonNode =
        Json.obj {
            put("id", spec.id)
            put("lane", spec.jobClass)
            put("crew", spec.team)
            put("shape", if (spec.gang) GANG else ARRAY)
            put("urgency", spec.priority.wireName)
            put("pieces", spec.taskCount)
            put("vcpus", spec.taskResources.cpus)
            put("gpus", spec.taskResources.gpus)
            put("ramGb", spec.taskResources.memoryGb)
            put("bundle", spec.image)
            put("pullGb", spec.imageGb)
            spec.machineTypes?.let { types -> putArray("breeds").also { array -> types.forEach(array::add) } }
            spec.zone?.let { put("yard", it) }
            put("together", spec.oneZone)
            put("spread", spec.spread)
            put("loaners", spec.allowsSpot)
            put("guessS", spec.estimatedRunSeconds)
            put("markEveryS", spec.checkpointIntervalSeconds)
            put("markCostS", spec.saveSeconds)
            spec.deadlineSeconds?.let { put("dueS", it) }
        }

    /** Throws [InvalidJobException], with a reason for the user, if [body] is not a valid job; null stands for input that is not JSON. */
    fun decode(body: JsonNode?): JobSpec {
        if (body == null) throw InvalidJobException("the body is not JSON")
        if (!body.isObject) throw InvalidJobException("the body is not an object")
        // The fields are read in the order in which their errors are to be reported.
        return JobSpec(
            id = body.id(),
            gang = body.isGang(),
            taskCount = body.taskCount(),
            taskResources = Resources(body.nonNegativeNumber("vcpus"), body.nonNegativeNumber("gpus"), body.nonNegativeNumber("ramGb")),
            jobClass = body.text("lane"),
            team = body.text("crew"),
            priority = body.priority(),
            image = body.text("bundle"),
            imageGb = body.nonNegativeNumber("pullGb"),
            machineTypes = body.machineTypes(),
            zone = body.fieldOrNull("yard")?.let { body.text("yard") },
            oneZone = body.flag("together"),
            spread = body.flag("spread"),
            allowsSpot = body.flag("loaners"),
            estimatedRunSeconds = body.nonNegativeNumber("guessS"),
            checkpointIntervalSeconds = body.nonNegativeNumber("markEveryS"),
            saveSeconds = body.nonNegativeNumber("markCostS"),
            deadlineSeconds = body.fieldOrNull("dueS")?.let { body.nonNegativeNumber("dueS") },
        )
    }

    private fun JsonNode.id(): String {
        val id = text("id")
        if (!JobSpec.isValidId(id)) throw InvalidJobException("id must look like j-000412")
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
        Priority.of(text("urgency")) ?: throw InvalidJobException("urgency must be one of ${Priority.entries.map { it.wireName }}")

    private fun JsonNode.machineTypes(): List<String>? {
        val types = fieldOrNull("breeds") ?: return null
        val isValid = types.isArray && types.size() <= MAX_TYPES && types.all { it.isTextual && it.asText().length <= MAX_TEXT_LENGTH }
        if (!isValid) throw InvalidJobException("breeds must be null or a list of at most $MAX_TYPES names")
        return types.map { validUnicode("breeds", it.asText()) }
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
        return validUnicode(name, text)
    }

    /** Returns [text], a value of the field [name], unless no row could hold it. */
    private fun validUnicode(
        name: String,
        text: String,
    ): String = if (text.isValidUnicode()) text else throw InvalidJobException("$name must be valid Unicode")

    private fun JsonNode.nonNegativeNumber(name: String): Double {
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
