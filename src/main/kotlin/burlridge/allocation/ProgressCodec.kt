package burlridge.allocation

import burlridge.json.Json
import burlridge.store.Row
import com.fasterxml.jackson.databind.JsonNode
import java.util.Base64
import java.util.BitSet

/** One progress row of a job: its key, and the tasks that it covers, from [first] (inclusive) to [end] (exclusive). */
internal data class ProgressRange(
    val key: String,
    val first: Int,
    val end: Int,
)

/**
 * Reads and writes progress rows, which hold one bit per task. If a value of [valueBytes] can hold the bits of [TASKS_PER_ROW] tasks, or of
 * all tasks of a smaller job, each row covers [TASKS_PER_ROW] tasks and its key ends with the number of the row. Otherwise each row covers
 * fewer tasks and its key ends with the letter b and its first task. The previous version does not read that second form; at worst it
 * starts done tasks again, which then end at once.
 */
internal class ProgressCodec(
    valueBytes: Int,
) {
    private val tasksPerSmallRow: Int =
        minOf(TASKS_PER_ROW, (valueBytes - ENVELOPE_BYTES) / BASE64_GROUP * BITS_PER_GROUP / BITS_PER_BYTE * BITS_PER_BYTE)

    /** The row of [job] that covers [task]. */
    fun rangeOf(
        job: Job,
        task: Int,
    ): ProgressRange {
        val fitsLargeRow = minOf(job.spec.taskCount, TASKS_PER_ROW) <= tasksPerSmallRow
        val tasksPerRow = if (fitsLargeRow) TASKS_PER_ROW else tasksPerSmallRow
        val first = task / tasksPerRow * tasksPerRow
        val name = if (fitsLargeRow) "${first / TASKS_PER_ROW}" else "$SMALL_ROW_PREFIX$first"
        return ProgressRange("$KEY_PREFIX${job.spec.id}/$name", first, first + tasksPerRow)
    }

    /** The value of the row that records which tasks in [range] are [done]. */
    fun encode(
        done: BitSet,
        range: ProgressRange,
    ): JsonNode =
        Json.obj {
            put("bits", Base64.getEncoder().encodeToString(done.get(range.first, range.end).toByteArray()))
        }

    /** The done tasks in [row], whose key may have either form; null if it has neither. */
    fun decode(row: Row): BitSet? {
        val name = row.key.substringAfterLast('/')
        val isSmallRow = name.startsWith(SMALL_ROW_PREFIX)
        val number = name.removePrefix(SMALL_ROW_PREFIX).toIntOrNull() ?: return null
        val first = if (isSmallRow) number else number * TASKS_PER_ROW
        val bits = BitSet.valueOf(Base64.getDecoder().decode(row.value.path("bits").asText()))
        val done = BitSet()
        bits.stream().forEach { done.set(first + it) }
        return done
    }

    internal companion object {
        const val TASKS_PER_ROW = 32_768

        /** The prefix of the progress rows of all jobs. */
        const val KEY_PREFIX: String = "prog/"
        private const val SMALL_ROW_PREFIX = "b"
        private const val ENVELOPE_BYTES = 32
        private const val BASE64_GROUP = 4
        private const val BITS_PER_GROUP = 24
        private const val BITS_PER_BYTE = 8

        /** The id of the job that [row] belongs to. */
        fun jobOf(row: Row): String = row.key.substringAfter('/').substringBefore('/')
    }
}
