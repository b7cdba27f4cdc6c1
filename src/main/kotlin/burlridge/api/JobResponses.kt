package burlridge.api

import burlridge.allocation.FinishedJobRow
import burlridge.allocation.Job
import burlridge.allocation.JobRegistry
import burlridge.allocation.JobState
import burlridge.core.HttpResponse
import burlridge.core.HttpStatus
import burlridge.json.Json
import com.fasterxml.jackson.databind.JsonNode

/** The responses to users, with the JSON of their bodies. */
internal class JobResponses(
    private val registry: JobRegistry,
) {
    /** 201: this request created the job. */
    fun accepted(id: String): HttpResponse = HttpResponse(HttpStatus.CREATED, encodeState(id, JobState.QUEUED))

    /** 200 with the state of a job that had been accepted before. */
    fun state(
        id: String,
        jobState: JobState,
    ): HttpResponse = HttpResponse(HttpStatus.OK, encodeState(id, jobState))

    /** 200 with the progress of a job that has not ended and is known to be in [state]. */
    fun progress(
        job: Job,
        state: JobState,
    ): HttpResponse = HttpResponse(HttpStatus.OK, encodeProgress(job, state))

    /** 200 with the final state of a job that has ended. */
    fun finished(
        id: String,
        row: FinishedJobRow,
    ): HttpResponse = HttpResponse(HttpStatus.OK, encodeFinished(id, row))

    /** 409: the id belongs to a job with another specification. */
    fun idTaken(id: String): HttpResponse = HttpResponse.error(HttpStatus.CONFLICT, "$id has been submitted with another description")

    /** 404: no job with that id was ever accepted, or the id is invalid. */
    fun notFound(): HttpResponse = HttpResponse.error(HttpStatus.NOT_FOUND, "no such job")

    /** 503: the rows cannot be read. */
    fun storeUnavailable(): HttpResponse = HttpResponse.unavailable("the state service does not answer")

    /** 504: no report of a worker that is recent enough tells whether tasks of the job run. */
    fun stateUnknown(): HttpResponse =
        HttpResponse.error(HttpStatus.GATEWAY_TIMEOUT, "the state of the job is not known at the moment").copy(retryAfterSeconds = 1)

    /** 503: the outcome of a write is unknown. */
    fun outcomeUnknown(): HttpResponse = HttpResponse.unavailable("the state service has not answered")

    /** Records that the job [id] has ended if the [response] of another member says so and describes all of its end. */
    fun recordEnd(
        id: String,
        response: HttpResponse,
    ) {
        decodeFinished(id, response)?.let { registry.recordFinished(id, it) }
    }

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

    private fun encodeProgress(
        job: Job,
        state: JobState,
    ): String =
        Json.write(
            Json.obj {
                put("id", job.spec.id)
                put("standing", state.wireName)
                put("done", job.done.cardinality())
                put("running", if (state == JobState.RUNNING) job.runningCount else 0)
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
        /** The final states of a job. */
        private val END_STATES = listOf(JobState.DONE, JobState.CANCELLED)

        /**
         * Decodes the end of the job [id] from another member's [response]; null if the response does not describe all of it. The response
         * to a cancellation or a repeated submission of a job that is done does not say how many tasks it had.
         */
        private fun decodeFinished(
            id: String,
            response: HttpResponse,
        ): FinishedJobRow? {
            val body = Json.parseOrNull(response.body) ?: return null
            val jobState = END_STATES.firstOrNull { it.wireName == body.path("standing").asText() } ?: return null
            if (response.status != HttpStatus.OK || body.path("id").asText() != id || !body.path("fp").isTextual) return null
            val taskCount = if (jobState == JobState.DONE) taskCountIn(body) ?: return null else 0
            return FinishedJobRow(jobState, body.path("fp").asText(), taskCount)
        }

        /** Returns the number of tasks of a job that is done; null if [body] has none that is possible. */
        private fun taskCountIn(body: JsonNode): Int? = body.path("done").takeIf { it.isInt && it.intValue() > 0 }?.intValue()
    }
}
