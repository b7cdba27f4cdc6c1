package burlridge.allocation

import burlridge.job.JobSpec
import it.unimi.dsi.fastutil.ints.Int2DoubleOpenHashMap
import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap
import java.util.BitSet

/**
 * An accepted job that has not ended, as the leader holds it in memory. Tasks are numbered from 0. A job may have 100,000 tasks, so the
 * state of each task is a bit or an entry of a primitive map.
 */
internal class Job(
    val spec: JobSpec,
    /** The mod revision of its row. */
    val modRevision: Long,
    val submittedMillis: Long,
) {
    /** Tasks that are done. */
    val done: BitSet = BitSet()

    /** Done tasks that a stored progress row records as done. */
    val persistedDone: BitSet = BitSet()

    /** Tasks that are done or allocated; placement skips them. */
    val doneOrAllocated: BitSet = BitSet()

    /** The last known mod revision of each of its progress rows, by row key; 0 for a row that is not known to be written. */
    val progressRevisions: LinkedHashMap<String, Long> = LinkedHashMap()

    /** The open allocations, by task. */
    val allocations: Int2ObjectOpenHashMap<Allocation> = Int2ObjectOpenHashMap()

    /** The highest attempt number of each task that was ever allocated. */
    val lastAttemptByTask: Int2IntOpenHashMap = Int2IntOpenHashMap()

    /** The highest attempt number of any task; for a gang, the number of its latest attempt. */
    var highestAttempt: Int = 0

    /** The earliest time at which a task may be retried, in seconds of this leader's monotonic clock; task 0 stands for a whole gang. */
    val notBeforeByTask: Int2DoubleOpenHashMap = Int2DoubleOpenHashMap()

    /** When an allocation of one of its tasks was last made or loaded, in seconds of this leader's monotonic clock; null if none was. */
    var allocatedAt: Double? = null

    /**
     * Machines whose worker has removed tasks of this job that were done, with the highest token of a start command that the worker would
     * execute if a late copy of it arrived.
     */
    val unfencedRemovals: Object2LongOpenHashMap<String> = Object2LongOpenHashMap()

    /**
     * When one of its tasks may last have run whose end is known, in seconds of this leader's monotonic clock. Whether the other tasks ran
     * then is told by later reports only.
     */
    var lastEndAt: Double = Double.NEGATIVE_INFINITY

    /** Whether the allocations of a broken gang attempt are being released; prevents each release from aborting the attempt again. */
    var isAbortingAttempt: Boolean = false

    private val endListeners = ArrayList<(JobState) -> Unit>()

    /** Number of failed attempts of its tasks that this leader has seen. */
    var failures: Int = 0

    /** Whether a progress row is being written or read back. */
    var isPersistingProgress: Boolean = false

    /**
     * When the first task end that is not persisted yet became known, or when the latest progress write began if that is later, in seconds
     * of this leader's monotonic clock.
     */
    var unpersistedSince: Double = 0.0

    /** The final state that this leader is writing or has written; null if there is none. */
    var pendingFinalState: JobState? = null

    /** Whether this leader is writing or has written a final state. */
    val isEnding: Boolean get() = pendingFinalState != null

    /** Whether the final state that this leader is writing or has written is [JobState.CANCELLED]. */
    val isCancelling: Boolean get() = pendingFinalState == JobState.CANCELLED

    /** The stored final state, which may differ from [pendingFinalState]; null until one is known to be stored. */
    var finalState: JobState? = null

    /**
     * Whether a transaction that ends the job may have been applied without its result being known. Until the result is known, only the
     * stored rows show whether the job has ended.
     */
    var isEndUncertain: Boolean = false

    val jobState: JobState
        get() = finalState ?: if (runningCount > 0) JobState.RUNNING else JobState.QUEUED

    val runningCount: Int get() = allocations.values.count { it.phase == AllocationPhase.RUNNING }

    /** Whether all tasks are done. */
    val isComplete: Boolean get() = done.cardinality() == spec.taskCount

    /** Number of tasks that are neither done nor allocated. */
    val unallocatedCount: Int get() = spec.taskCount - doneOrAllocated.cardinality()

    /** The total run time of the tasks that this leader saw both start and finish, and their number. */
    var finishedRunSeconds: Double = 0.0
    var finishedRunCount: Int = 0

    /** The mean run time of its tasks; null until enough of them have finished. */
    val meanRunSeconds: Double?
        get() = if (finishedRunCount >= minOf(MIN_RUNS_FOR_MEAN, (spec.taskCount + 1) / 2)) finishedRunSeconds / finishedRunCount else null

    /** Whether any of its tasks has ever been allocated. */
    val hasBeenAllocated: Boolean get() = !done.isEmpty || lastAttemptByTask.isNotEmpty()

    /** The time from its submission to [wallMillis]; a wall-clock time, since it spans changes of leader. */
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

    /** Records the attempt number of [allocation], so that it is not reused. */
    fun recordAttempt(allocation: Allocation) {
        lastAttemptByTask.put(allocation.task, maxOf(allocation.attempt, lastAttemptByTask.get(allocation.task)))
        highestAttempt = maxOf(highestAttempt, allocation.attempt)
    }

    /** Whether [task] may be allocated at [now]. */
    fun isEligible(
        task: Int,
        now: Double,
    ): Boolean = !done.get(task) && !allocations.containsKey(task) && notBeforeByTask.getOrDefault(task, 0.0) <= now

    /** Prevents a retry of [task] before [until]; a gang is delayed as a whole. */
    fun delayRetry(
        task: Int,
        until: Double,
    ) {
        notBeforeByTask.put(if (spec.gang) 0 else task, until)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0

        /** A mean of fewer runs is not meaningful, except in a small job, for which half of its tasks are enough. */
        const val MIN_RUNS_FOR_MEAN = 4
    }
}
