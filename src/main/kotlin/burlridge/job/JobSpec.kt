package burlridge.job

import burlridge.json.Json
import com.google.common.hash.Hashing

/** A job as its owner described it. */
internal data class JobSpec(
    val id: String,
    /** The class of jobs that it belongs to; the settings give the objectives of each. */
    val jobClass: String,
    /** The team whose quota the job counts against. */
    val team: String,
    val priority: Priority,
    /** How many tasks the job has; they are numbered from 0. */
    val tasks: Int,
    /** What each task takes of its machine. */
    val size: Resources,
    val image: String,
    val imageGb: Double,
    /** The machine types that tasks may run on; null for all. */
    val types: List<String>?,
    /** The zone that tasks must run in; null for any. */
    val zone: String?,
    /** All tasks run in the same zone, whichever it is. */
    val oneZone: Boolean,
    /** At most half of the tasks, rounded up, run in one zone. */
    val spread: Boolean,
    /** Tasks may run on spot machines. */
    val spot: Boolean,
    /** How long a task runs, as its owner estimates. */
    val estimateSeconds: Double,
    /** The progress after which a running task saves a checkpoint by itself; 0 for a task that never saves. */
    val checkpointSeconds: Double,
    /** How long a task needs to save when it is stopped. */
    val saveSeconds: Double,
    /** Within which the job should be done after its submission; null for no deadline. */
    val deadlineSeconds: Double?,
    /** All tasks run at the same time or none does. */
    val gang: Boolean = false,
) {
    /** A hash of the specification, the same for every repetition of the same submission. */
    val fingerprint: String by lazy {
        Hashing
            .sha256()
            .hashUnencodedChars(Json.write(JobSpecCodec.encode(this)))
            .toString()
            .take(FINGERPRINT_CHARS)
    }

    /** Whether its tasks may run on machines of [machineType] in [machineZone], spot machines or not. */
    fun allows(
        machineType: String,
        machineZone: String,
        isSpot: Boolean,
    ): Boolean = (types == null || machineType in types) && (zone == null || zone == machineZone) && (spot || !isSpot)

    internal companion object {
        const val MAX_TASKS: Int = 100_000
        private const val FINGERPRINT_CHARS = 16
        private val ID = Regex("j-[0-9]{1,18}")

        /** Whether [text] can be the id of a job. */
        fun isId(text: String): Boolean = ID.matches(text)
    }
}
