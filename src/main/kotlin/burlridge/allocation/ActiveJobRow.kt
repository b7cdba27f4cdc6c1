package burlridge.allocation

import burlridge.job.JobSpec
import burlridge.store.Condition

/** The row of an accepted job that has not ended. */
internal data class ActiveJobRow(
    val spec: JobSpec,
    val submittedMillis: Long,
) {
    internal companion object {
        /** The prefix of the rows of all jobs that have not ended. */
        const val KEY_PREFIX: String = "live/"

        fun key(job: String): String = KEY_PREFIX + job

        /** The id of the job whose row has [key]. */
        fun jobOf(key: String): String = key.substringAfter('/')

        /** Condition that the row of [job] is unchanged since the job was admitted, which it is until the job ends. */
        fun condition(job: Job): Condition = Condition(key(job.spec.id), job.modRevision)
    }
}
