package burlridge.api

import burlridge.allocation.FinishedJobRow
import burlridge.allocation.Job
import burlridge.allocation.JobRegistry
import burlridge.allocation.JobState
import burlridge.core.HttpResponse
import burlridge.core.HttpStatus
import burlridge.json.Json

/** The answers to users, and the JSON of their bodies. */
internal class JobResponses(
    private val registry: JobRegistry,
) {
    /** The job is accepted by this request. */
    fun accepted(id: String): HttpResponse = HttpResponse(HttpStatus.CREATED, encodeState(id, JobState.QUEUED))

    /** The state of a job that was accepted before. */
    fun state(
        id: String,
        jobState: JobState,
    ): HttpResponse = HttpResponse(HttpStatus.OK, encodeState(id, jobState))

    /** How far a job is that has not ended. */
    fun progress(job: Job): HttpResponse = HttpResponse(HttpStatus.OK, encodeProgress(job))

    /** How a job has ended. */
    fun finished(
        id: String,
        row: FinishedJobRow,
    ): HttpResponse = HttpResponse(HttpStatus.OK, encodeFinished(id, row))

    /** The id is taken by a job with another specification. */
    fun idTaken(id: String): HttpResponse = HttpResponse.error(HttpStatus.CONFLICT, "$id has been submitted with another description")

    /** No job of that id was ever accepted. */
    fun notFound(): HttpResponse = HttpResponse.error(HttpStatus.NOT_FOUND, "no such job")

    /** The rows cannot be read. */
    fun storeUnavailable(): HttpResponse = HttpResponse.unavailable("the state service does not answer")

    /** The outcome of a write is not known. */
    fun outcomeUnknown(): HttpResponse = HttpResponse.unavailable("the state service has not answered")

    private fun encodeState(
        id: String,
        jobState: JobState,
    ): String =
        Json.write(
            Json.obj {
                put("id", id)
                put("standing", jobState.wireName)
                registry.finishedJob(id)?.let { put("fp", it.fingerprint) }
            },
        )

    private fun encodeProgress(job: Job): String =
        Json.write(
            Json.obj {
                put("id", job.spec.id)
                put("standing", job.jobState.wireName)
                put("done", job.done.cardinality())
                put("running", job.runningCount)
            },
        )

    private fun encodeFinished(
        id: String,
        row: FinishedJobRow,
    ): String =
        Json.write(
            Json.obj {
                put("id", id)
                put("standing", row.jobState.wireName)
                put("done", if (row.jobState == JobState.DONE) row.taskCount else 0)
                put("running", 0)
                put("fp", row.fingerprint)
            },
        )

    internal companion object {
        /** The states in which a job has ended. */
        private val END_STATES = listOf(JobState.DONE, JobState.CANCELLED)

        /** How a job has ended, as another member's answer says; null where it does not say so. */
        fun decodeFinished(response: HttpResponse): FinishedJobRow? {
            val body = Json.parseOrNull(response.body) ?: return null
            val jobState = END_STATES.firstOrNull { it.wireName == body.path("standing").asText() } ?: return null
            if (response.status != HttpStatus.OK || !body.path("fp").isTextual) return null
            return FinishedJobRow(jobState, body.path("fp").asText(), body.path("done").asInt())
        }
    }
}
