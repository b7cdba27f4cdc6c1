package burlridge.allocation

import burlridge.job.JobSpec
import it.unimi.dsi.fastutil.ints.Int2DoubleOpenHashMap
import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap
import java.util.BitSet

/**
 * An accepted job that has not ended, as its leader knows it. Tasks are numbered from 0. A job may have 100,000 tasks, so what is kept for
 * each task is a bit or an entry of a primitive map.
 */
internal class Job(
    val spec: JobSpec,
    /** The mod revision of its row. */
    val modRevision: Long,
    val submittedMillis: Long,
) {
    /** Tasks that are done. */
    val done: BitSet = BitSet()

    /** Tasks that are done, and whose progress row says so. */
    val persistedDone: BitSet = BitSet()

    /** Tasks that are done or allocated: those that placement need not look at. */
    val doneOrAllocated: BitSet = BitSet()

    /** The keys of its progress rows, each with the mod revision that the row is known to have; 0 for one not known to be written. */
    val progressRevisions: LinkedHashMap<String, Long> = LinkedHashMap()

    /** The open allocation of each task that has one. */
    val allocations: Int2ObjectOpenHashMap<Allocation> = Int2ObjectOpenHashMap()

    /** The highest attempt number of each task that was ever allocated. */
    val lastAttemptByTask: Int2IntOpenHashMap = Int2IntOpenHashMap()

    /** The highest attempt number of any task; for a gang, the number of its latest attempt. */
    var highestAttempt: Int = 0

    /** The earliest time, in this leader's seconds, at which a task may be tried again. */
    val notBeforeByTask: Int2DoubleOpenHashMap = Int2DoubleOpenHashMap()

    /** When one of its tasks was last allocated, in this leader's seconds; null where none was. */
    var allocatedAt: Double? = null

    /** The allocations of a broken gang attempt are being released; guards against doing so recursively. */
    var isAbortingAttempt: Boolean = false

    private val endListeners = ArrayList<(JobState) -> Unit>()

    /** How many attempts of its tasks have failed. */
    var failures: Int = 0

    /** A progress row is being written or read. */
    var isPersistingProgress: Boolean = false

    /** When the oldest task end that is not persisted yet became known, in this leader's seconds. */
    var unpersistedSince: Double = 0.0

    /** The final state that this leader is writing, or has written; null where there is none. */
    var pendingEndState: JobState? = null

    /** Whether this leader is writing a final state, or has. */
    val isEnding: Boolean get() = pendingEndState != null

    /** Whether the final state that this leader is writing, or has written, is [JobState.CANCELLED]. */
    val isCancelling: Boolean get() = pendingEndState == JobState.CANCELLED

    /** The final state that is stored, which may be another than [pendingEndState]; null while none is known to be. */
    var endState: JobState? = null

    /** A transaction that ends the job may have been applied unseen: until that is settled only the rows can say whether it has ended. */
    var isEndUncertain: Boolean = false

    val jobState: JobState
        get() = endState ?: if (runningCount > 0) JobState.RUNNING else JobState.QUEUED

    val runningCount: Int get() = allocations.values.count { it.phase == AllocationPhase.RUNNING }

    /** Whether all tasks are done. */
    val isComplete: Boolean get() = done.cardinality() == spec.tasks

    /** How many tasks are neither done nor allocated. */
    val unallocatedCount: Int get() = spec.tasks - doneOrAllocated.cardinality()

    /** The total run time of the tasks that this leader saw both start and finish, and their number. */
    var finishedRunSeconds: Double = 0.0
    var finishedRunCount: Int = 0

    /** The mean run time of its tasks; null until enough of them have finished. */
    val meanRunSeconds: Double?
        get() = if (finishedRunCount >= minOf(MIN_RUNS_FOR_MEAN, (spec.tasks + 1) / 2)) finishedRunSeconds / finishedRunCount else null

    /** Whether any of its tasks has ever been allocated. */
    val hasBeenAllocated: Boolean get() = !done.isEmpty || lastAttemptByTask.isNotEmpty()

    /** The time since its submission at [wallMillis]; it spans changes of leader. */
    fun ageSeconds(wallMillis: Long): Double = (wallMillis - submittedMillis) / MILLIS_PER_SECOND

    /** Calls [listener] with the final state, once, when the job has ended. */
    fun onEnd(listener: (JobState) -> Unit) {
        endListeners += listener
    }

    /** Calls the listeners with [finalState], which is stored. */
    fun notifyEnd(finalState: JobState) {
        endListeners.forEach { it(finalState) }
        endListeners.clear()
    }

    /** Remembers the attempt number of [allocation], so that it is not used again. */
    fun recordAttempt(allocation: Allocation) {
        lastAttemptByTask.put(allocation.task, maxOf(allocation.attempt, lastAttemptByTask.get(allocation.task)))
        highestAttempt = maxOf(highestAttempt, allocation.attempt)
    }

    /** Whether [task] may be allocated at [now]. */
    fun isEligible(
        task: Int,
        now: Double,
    ): Boolean = !done.get(task) && !allocations.containsKey(task) && notBeforeByTask.getOrDefault(task, 0.0) <= now

    /** Keeps [task] from being tried again before [until]; a gang is delayed as a whole. */
    fun delayRetry(
        task: Int,
        until: Double,
    ) {
        notBeforeByTask.put(if (spec.gang) 0 else task, until)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0

        /** A mean of fewer runs says too little, except in a small job, where half of its tasks do. */
        const val MIN_RUNS_FOR_MEAN = 4
    }
}
