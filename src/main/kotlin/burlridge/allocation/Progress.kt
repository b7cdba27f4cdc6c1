package burlridge.allocation

import burlridge.json.Json
import burlridge.store.Row
import com.fasterxml.jackson.databind.JsonNode
import java.util.Base64
import java.util.BitSet

/**
 * The rows of done tasks, a bit each. A row covers [CHUNK] tasks and is keyed by the chunk's number, as it always was, where a
 * value holds what the job needs of that. Where values are smaller a row covers fewer and is keyed by the letter b and its first
 * task: a form that the version before passes over, which at worst starts done tasks again, and they end at once.
 */
internal class Progress(
    valueBytes: Int,
) {
    private val span: Int = minOf(CHUNK, (valueBytes - ENVELOPE_BYTES) / BASE64_GROUP * BITS_PER_GROUP / BITS_PER_BYTE * BITS_PER_BYTE)

    /** One row of a job's progress: its key, and the tasks from [first] on that it covers. */
    data class Part(
        val key: String,
        val first: Int,
        val end: Int,
    )

    fun partOf(
        job: Job,
        task: Int,
    ): Part {
        val whole = minOf(job.spec.tasks, CHUNK) <= span
        val first = task / (if (whole) CHUNK else span) * (if (whole) CHUNK else span)
        val name = if (whole) "${first / CHUNK}" else "$SMALL$first"
        return Part(key(job.spec.id, name), first, first + (if (whole) CHUNK else span))
    }

    fun encode(
        done: BitSet,
        part: Part,
    ): JsonNode =
        Json.obj {
            put("bits", Base64.getEncoder().encodeToString(done.get(part.first, part.end).toByteArray()))
        }

    /** The done tasks in [row], of either form; null for what is neither. */
    fun decode(row: Row): BitSet? {
        val name = row.key.substringAfterLast('/')
        val first = name.removePrefix(SMALL).toIntOrNull()?.let { if (name.startsWith(SMALL)) it else it * CHUNK } ?: return null
        val bits = BitSet.valueOf(Base64.getDecoder().decode(row.value.path("bits").asText()))
        val done = BitSet()
        bits.stream().forEach { done.set(first + it) }
        return done
    }

    internal companion object {
        const val CHUNK = 32_768
        private const val SMALL = "b"
        private const val ENVELOPE_BYTES = 32
        private const val BASE64_GROUP = 4
        private const val BITS_PER_GROUP = 24
        private const val BITS_PER_BYTE = 8

        fun jobOf(row: Row): String = row.key.substringAfter('/').substringBefore('/')

        private fun key(
            job: String,
            name: String,
        ) = "prog/$job/$name"
    }
}
