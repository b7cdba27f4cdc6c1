package burlridge.allocation

import burlridge.job.InvalidJobException
import burlridge.job.JobSpecCodec
import burlridge.json.Json
import burlridge.store.Row
import com.fasterxml.jackson.databind.JsonNode

/** Reads and writes the rows of active and finished jobs. */
internal object JobRowCodec {
    /** The value of the row of an unfinished job. */
    fun encodeActive(row: ActiveJobRow): JsonNode =
        Json.obj {
            set<JsonNode>("job", JobSpecCodec.encode(row.spec))
            put("fp", row.spec.fingerprint)
            put("at", row.submittedMillis)
        }

    /** Throws [InvalidJobException] where [row] holds no job that this version can run. */
    fun decodeActive(row: Row): ActiveJobRow = ActiveJobRow(JobSpecCodec.decode(row.value.path("job")), row.value.path("at").asLong())

    /** The fingerprint in the active job's [row], which can be read even where the job cannot. */
    fun activeFingerprint(row: Row): String = row.value.path("fp").asText()

    /** The value of the row of a finished job. */
    fun encodeFinished(row: FinishedJobRow): JsonNode =
        Json.obj {
            put("st", row.jobState.wire)
            put("fp", row.fingerprint)
            put("n", row.tasks)
        }

    /** Null where [row] names a state that this version does not know. */
    fun decodeFinished(row: Row): FinishedJobRow? {
        val jobState = JobState.entries.firstOrNull { it.wire == row.value.path("st").asText() } ?: return null
        return FinishedJobRow(jobState, row.value.path("fp").asText(), row.value.path("n").asInt())
    }
}
