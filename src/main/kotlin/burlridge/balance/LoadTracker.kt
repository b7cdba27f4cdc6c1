package burlridge.balance

import burlridge.allocation.Job
import burlridge.settings.BalanceSettings
import burlridge.worker.Machine
import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap

/** The load of a machine, derived from the progress of its tasks as reported by heartbeats. */
internal enum class LoadLevel {
    /** No recent heartbeats, or too few samples. */
    UNKNOWN,
    NORMAL,

    /** Its tasks take clearly longer than others of their jobs and classes. */
    HOT,
}

/**
 * Measures from heartbeats alone how fast tasks run on each machine, compared with the same jobs and job classes elsewhere. The slowdown is
 * an exponentially weighted mean, which decays towards 1 without new samples. A machine becomes hot above one threshold and cools down
 * below a lower one. A heartbeat costs constant work for each task on the machine.
 */
internal class LoadTracker(
    private val settings: BalanceSettings,
    /** Time after which half of a measured slowdown has decayed. */
    private val halfLifeSeconds: Double,
) {
    private class MachineRecord {
        var slowdown = 1.0
        var sampleCount = 0
        var sampledAt = 0.0
        var isHot = false
    }

    /** Mean run time of the tasks of a job class, as a ratio to their owners' estimates. */
    private class ClassRuntime {
        var ratio = 1.0
        var sampleCount = 0
    }

    private val machines = Object2ObjectOpenHashMap<String, MachineRecord>()
    private val classes = Object2ObjectOpenHashMap<String, ClassRuntime>()

    /** Number of samples recorded so far. */
    var sampleCount: Long = 0
        private set

    /** Upper bound of the memory used, in bytes. */
    val sizeBytes: Long get() = machines.size * BYTES_PER_ENTRY + classes.size * BYTES_PER_ENTRY

    /** Clears all measurements. */
    fun clear() {
        machines.clear()
        classes.clear()
    }

    /** Removes machines that are not in [machineIds], once there are many of them. */
    fun retainOnly(machineIds: Set<String>) {
        if (machines.size > machineIds.size * 2 + MIN_SAMPLES) machines.keys.retainAll(machineIds)
    }

    /** Records that a task of [job] completed on [machine] after [elapsedSeconds]. */
    fun recordCompleted(
        machine: String,
        job: Job,
        elapsedSeconds: Double,
        now: Double,
    ) {
        if (!isPlausible(elapsedSeconds)) return
        expectedRunSeconds(job)?.let { addSample(machine, elapsedSeconds / it, COMPLETION_WEIGHT, now) }
        val runtime = classes.getOrPut(job.spec.jobClass) { ClassRuntime() }
        val ratio = elapsedSeconds / job.spec.estimatedRunSeconds.coerceAtLeast(1.0)
        runtime.sampleCount++
        runtime.ratio += (ratio - runtime.ratio) * maxOf(COMPLETION_WEIGHT, 1.0 / runtime.sampleCount)
    }

    /** Records that a task of [job] still runs on [machine] after [elapsedSeconds]; this is a sample only if the task is overdue. */
    fun recordRunning(
        machine: String,
        job: Job,
        elapsedSeconds: Double,
        now: Double,
    ) {
        if (!isPlausible(elapsedSeconds)) return
        val ratio = elapsedSeconds / (expectedRunSeconds(job) ?: return)
        if (ratio > 1.0) addSample(machine, ratio, OVERDUE_WEIGHT, now)
    }

    /** Excludes run times that result from a clock jump or from an unobserved start. */
    private fun isPlausible(elapsedSeconds: Double): Boolean =
        elapsedSeconds.isFinite() && elapsedSeconds > 0.0 && elapsedSeconds < MAX_RUN_SECONDS

    /** Expected run time from other tasks of [job], else from its class; null if neither is known yet. */
    fun expectedRunSeconds(job: Job): Double? {
        job.meanRunSeconds?.let { return it.coerceAtLeast(1.0) }
        val runtime = classes[job.spec.jobClass]?.takeIf { it.sampleCount >= MIN_SAMPLES } ?: return null
        return (job.spec.estimatedRunSeconds * runtime.ratio).coerceAtLeast(1.0)
    }

    private fun addSample(
        machine: String,
        ratio: Double,
        weight: Double,
        now: Double,
    ) {
        val record = machines.getOrPut(machine) { MachineRecord() }
        val decayedSlowdown = decayedSlowdown(record, now)
        sampleCount++
        record.sampleCount++
        record.sampledAt = now
        record.slowdown = (decayedSlowdown + (ratio.coerceAtMost(MAX_SLOWDOWN) - decayedSlowdown) * weight)
        if (record.slowdown > settings.hotFactor && record.sampleCount >= MIN_SAMPLES) record.isHot = true
    }

    private fun decayedSlowdown(
        record: MachineRecord,
        now: Double,
    ): Double = 1.0 + (record.slowdown - 1.0) * Math.pow(HALF, (now - record.sampledAt) / halfLifeSeconds)

    /** Run time of tasks on [machine] as a multiple of the run time elsewhere; 1 if there are no samples. */
    fun slowdown(
        machine: String,
        now: Double,
    ): Double = machines[machine]?.let { decayedSlowdown(it, now) } ?: 1.0

    /** Returns the load of [machine]; [isSilent] says that no recent heartbeat has arrived from it. */
    fun load(
        machine: Machine,
        isSilent: Boolean,
        now: Double,
    ): LoadLevel {
        val record = machines[machine.id] ?: return LoadLevel.UNKNOWN
        if (record.isHot && decayedSlowdown(record, now) < settings.coolFactor) record.isHot = false
        return when {
            isSilent -> LoadLevel.UNKNOWN
            record.isHot -> LoadLevel.HOT
            record.sampleCount < MIN_SAMPLES -> LoadLevel.UNKNOWN
            else -> LoadLevel.NORMAL
        }
    }

    internal companion object {
        /** With fewer samples the load is unknown. */
        const val MIN_SAMPLES: Int = 3
        private const val HALF = 0.5
        private const val COMPLETION_WEIGHT = 0.3
        private const val OVERDUE_WEIGHT = 0.15

        /** Larger ratios are clamped to this value; a machine that slow is evicted as a straggler anyway. */
        private const val MAX_SLOWDOWN = 4.0
        private const val MAX_RUN_SECONDS = 1e6

        /** Upper bound for an entry with its key and its slot in the hash table. */
        private const val BYTES_PER_ENTRY = 200L
    }
}
