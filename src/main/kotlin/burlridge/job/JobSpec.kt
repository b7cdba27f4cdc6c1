package burlridge.job

import burlridge.json.Json
import com.google.common.hash.Hashing

/** A job as its owner specified it. */
internal data class JobSpec(
    val id: String,
    /** The class of jobs that it belongs to; the settings give the objectives of each. */
    val jobClass: String,
    /** The team whose quota the job counts against. */
    val team: String,
    val priority: Priority,
    /** Number of tasks; they are numbered from 0. */
    val taskCount: Int,
    /** Resources that each task uses on its machine. */
    val taskResources: Resources,
    val image: String,
    val imageGb: Double,
    /** The machine types that tasks may run on; null for all. */
    val machineTypes: List<String>?,
    /** The zone that tasks must run in; null for any. */
    val zone: String?,
    /** Whether all tasks must run in the same zone, whichever it is. */
    val oneZone: Boolean,
    /** Whether at most half of the tasks, rounded up, may run in one zone. */
    val spread: Boolean,
    /** Whether tasks may run on spot machines. */
    val allowsSpot: Boolean,
    /** Run time of a task as its owner estimates it. */
    val estimatedRunSeconds: Double,
    /** Seconds of progress after which a running task saves a checkpoint by itself; 0 if tasks never save. */
    val checkpointIntervalSeconds: Double,
    /** Time that a task needs to save when it is stopped. */
    val saveSeconds: Double,
    /** Time after its submission within which the job should be done; null for no deadline. */
    val deadlineSeconds: Double?,
    /** Whether the job is a gang: all tasks run at the same time or none does. */
    val gang: Boolean = false,
) {
    /** Hash of the specification, by which a repeated submission is recognized. */
    val fingerprint: String by lazy {
        Hashing
            .sha256()
            .hashUnencodedChars(Json.write(JobSpecCodec.encode(this)))
            .toString()
            .take(FINGERPRINT_CHARS)
    }

    /** Whether its tasks may run on machines of [machineType] in [machineZone] that are spot machines if [isSpot]. */
    fun allows(
        machineType: String,
        machineZone: String,
        isSpot: Boolean,
    ): Boolean = (machineTypes == null || machineType in machineTypes) && (zone == null || zone == machineZone) && (allowsSpot || !isSpot)

    internal companion object {
        const val MAX_TASKS: Int = 100_000
        private const val FINGERPRINT_CHARS = 16
        private val ID_PATTERN = Regex("j-[0-9]{1,18}")

        /** Whether [text] has the form of a job id. */
        fun isValidId(text: String): Boolean = ID_PATTERN.matches(text)
    }
}
