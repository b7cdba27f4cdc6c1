package burlridge.allocation

import burlridge.job.InvalidJobException
import burlridge.job.JobSpecCodec
import burlridge.json.Json
import burlridge.store.Row
import com.fasterxml.jackson.databind.JsonNode

/** Reads and writes the rows of active and finished jobs. */
internal object JobRowCodec {
    /** The value of the row of an active job. */
    fun encodeActive(row: ActiveJobRow): JsonNode =
        Json.obj {
            set<JsonNode>("job", JobSpecCodec.encode(row.spec))
            put("fp", row.spec.fingerprint)
            put("at", row.submittedMillis)
        }

    /** Throws [InvalidJobException] if [row] holds no job that this version can run. */
    fun decodeActive(row: Row): ActiveJobRow = ActiveJobRow(JobSpecCodec.decode(row.value.path("job")), submittedMillis(row))

    /** The fingerprint in the active job's [row], which can be read even if the job cannot. */
    fun activeFingerprint(row: Row): String = row.value.path("fp").asText()

    /** The time at which the active job's [row] was written, in milliseconds; it can be read even if the job cannot. */
    fun submittedMillis(row: Row): Long = row.value.path("at").asLong()

    /** The value of the row of a finished job. */
    fun encodeFinished(row: FinishedJobRow): JsonNode =
        Json.obj {
            put("st", row.jobState.wireName)
            put("fp", row.fingerprint)
            put("n", row.taskCount)
        }

    /** Returns null if the state in [row] is unknown to this version. */
    fun decodeFinished(row: Row): FinishedJobRow? {
        val jobState = JobState.entries.firstOrNull { it.wireName == row.value.path("st").asText() } ?: return null
        return FinishedJobRow(jobState, row.value.path("fp").asText(), row.value.path("n").asInt())
    }
}
