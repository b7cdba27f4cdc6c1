package burlridge.api

import burlridge.job.InvalidJobException
import burlridge.job.JobSpec
import burlridge.job.JobSpecCodec
import burlridge.json.Json

/** The body of a submission, valid or not. */
internal class SubmissionBody(
    text: String,
) {
    private val json = Json.parseOrNull(text)

    /** Whether the body describes a gang. */
    val isGang: Boolean get() = json?.path("shape")?.asText() == JobSpecCodec.GANG

    /** The job's id; null if there is no valid one. */
    val jobId: String? get() =
        json
            ?.path("id")
            ?.takeIf { it.isTextual }
            ?.asText()
            ?.takeIf(JobSpec::isValidId)

    /** Returns the job; throws [InvalidJobException] if the body does not describe a valid one. */
    fun parse(): JobSpec = JobSpecCodec.decode(json)
}
