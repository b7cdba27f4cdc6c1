package burlridge.allocation

import burlridge.job.JobSpec
import burlridge.job.Resources
import it.unimi.dsi.fastutil.ints.Int2DoubleOpenHashMap
import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap
import java.util.BitSet

internal enum class JobState(
    val wire: String,
) {
    QUEUED("queued"),
    RUNNING("running"),
    DONE("done"),
    CANCELLED("withdrawn"),
}

/** An accepted job that is not over, as its leader knows it. */
internal class Job(
    val spec: JobSpec,
    val modRevision: Long,
    val submittedMillis: Long,
) {
    val done: BitSet = BitSet()
    val durable: BitSet = BitSet()

    /** Done or claimed: what no placement round need look at. */
    val taken: BitSet = BitSet()

    /** Keys of the progress rows there are, or may be, with the stamp of each; 0 for one not yet written. */
    val progress: LinkedHashMap<String, Long> = LinkedHashMap()
    val allocations: Int2ObjectOpenHashMap<Allocation> = Int2ObjectOpenHashMap()
    val lastAttempt: Int2IntOpenHashMap = Int2IntOpenHashMap()

    /** The highest run number of any task; to a gang, the number of its last attempt. */
    var highestAttempt: Int = 0
    val notBefore: Int2DoubleOpenHashMap = Int2DoubleOpenHashMap()

    /** When a task of it was last claimed, in this leader's time; null where none was. */
    var allocatedAt: Double? = null

    /** Set while the claims of a broken attempt are let go. */
    var breaking: Boolean = false
    val endListeners: ArrayList<(JobState) -> Unit> = ArrayList()
    var failures: Int = 0
    var flushing: Boolean = false

    /** When the oldest of the ends that are not durable yet was heard of. */
    var unwrittenSince: Double = 0.0

    /** The end that is being written, and once written, told. */
    var ending: JobState? = null
    var over: JobState? = null

    /** Its end may have been written without our knowing: until that is settled only the rows can say whether it is over. */
    var inDoubt: Boolean = false

    val jobState: JobState
        get() = over ?: if (running > 0) JobState.RUNNING else JobState.QUEUED

    val running: Int get() = allocations.values.count { it.phase == AllocationPhase.RUNNING }

    val complete: Boolean get() = done.cardinality() == spec.tasks

    /** Tasks that are neither done nor claimed. */
    val waiting: Int get() = spec.tasks - taken.cardinality()

    /** How long its done tasks ran, of those seen to start and to end. */
    var ranSeconds: Double = 0.0
    var ran: Int = 0

    /** A usual run of its tasks; null until a few have ended. */
    val usualRunSeconds: Double? get() = if (ran >= minOf(FEW, (spec.tasks + 1) / 2)) ranSeconds / ran else null

    /** Whether any of its tasks has ever been claimed. */
    val begun: Boolean get() = !done.isEmpty || lastAttempt.isNotEmpty()

    fun note(allocation: Allocation) {
        lastAttempt.put(allocation.task, maxOf(allocation.attempt, lastAttempt.get(allocation.task)))
        highestAttempt = maxOf(highestAttempt, allocation.attempt)
    }

    fun waits(
        task: Int,
        now: Double,
    ): Boolean = !done.get(task) && !allocations.containsKey(task) && notBefore.getOrDefault(task, 0.0) <= now

    /** Nothing of [task] is tried again before [until]; a gang waits as a whole. */
    fun holdOff(
        task: Int,
        until: Double,
    ) {
        notBefore.put(if (spec.gang) 0 else task, until)
    }

    private companion object {
        const val FEW = 4
    }
}

internal enum class AllocationPhase {
    /** The row's outcome is not known yet. */
    COMMITTING,

    /** Claimed, and no command has left. */
    COMMITTED,

    /** A command has left, its outcome open. */
    DISPATCHED,

    /** The machine has it, fetching its image. */
    FETCHING,

    /** It has its image and waits for the others of its gang. */
    AWAITING_GANG,
    RUNNING,
    CHECKPOINTING,
    ENDED,
}

/** The intent to run one task once: job, task and run number are its key. */
internal class Allocation(
    val job: String,
    val task: Int,
    val attempt: Int,
    val machine: String,
    val agentEpoch: Long,
    /** Kept with the claim: a new leader must know it before the machine's first report, or spread and one-zone jobs go astray. */
    val zone: String,
    val charge: QuotaCharge,
    var phase: AllocationPhase = AllocationPhase.COMMITTING,
) {
    val taskName: String get() = "$job/$task"
    var batch: AllocationBatch? = null
    var lost: Boolean = false

    /** Its row has been written. */
    var durable: Boolean = false

    /** Claimed by an earlier leader. */
    var inherited: Boolean = false
    var allocatedAt: Double = 0.0

    /** When it was first reported running; null where that was before this leader's time. */
    var startedAt: Double? = null

    /** Set once the task is to be stopped, with the time it is given. */
    var stopGraceSeconds: Double? = null
    var stopSentAt: Double = -1e9

    /** Its worker has answered the command to stop. */
    var stopTold: Boolean = false
    val ended: Boolean get() = phase == AllocationPhase.ENDED
}

/** What a claim takes, and whose limit it counts against; kept with the row since a claim can outlive its job's row. */
internal data class QuotaCharge(
    val team: String,
    val size: Resources,
)

/** One row: the starts claimed in one placement round. [slot] is its key, claimed anew once [number] is settled. */
internal class AllocationBatch(
    val slot: String,
    val number: String,
    val allocations: List<Allocation>,
) {
    var modRevision: Long = 0

    /** Since when nothing in it needs remembering any more. */
    var settledAt: Double? = null
    var stale: Boolean = false
    var writing: Boolean = false
}
