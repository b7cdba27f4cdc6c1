package burlridge.balance

import burlridge.allocation.Job
import burlridge.settings.BalanceSettings
import burlridge.worker.Machine
import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap

/** How loaded a machine is, judged by the progress that its heartbeats show. */
internal enum class LoadLevel {
    /** No recent heartbeats, or too few samples. */
    UNKNOWN,
    NORMAL,

    /** Its tasks take clearly longer than others of their jobs and classes. */
    HOT,
}

/**
 * Measures how fast tasks progress on each machine compared with the same jobs and job classes elsewhere, from heartbeats alone: an
 * exponentially weighted mean of the slowdown, which decays without new samples, with a threshold to become hot and a lower one to
 * cool down. Each heartbeat costs constant work for each task on the machine.
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

    /** How long tasks of a job class run, as a ratio to their owners' estimates. */
    private class ClassRuntime {
        var ratio = 1.0
        var sampleCount = 0
    }

    private val machines = Object2ObjectOpenHashMap<String, MachineRecord>()
    private val classes = Object2ObjectOpenHashMap<String, ClassRuntime>()

    /** Samples taken so far. */
    var sampleCount: Long = 0
        private set

    /** Upper bound of the memory taken, in bytes. */
    val sizeBytes: Long get() = machines.size * BYTES_PER_ENTRY + classes.size * BYTES_PER_ENTRY

    /** Forgets all measurements. */
    fun clear() {
        machines.clear()
        classes.clear()
    }

    /** Forgets machines that are gone, once there are many of them. */
    fun retainOnly(machineIds: Set<String>) {
        if (machines.size > machineIds.size * 2 + MIN_SAMPLES) machines.keys.retainAll(machineIds)
    }

    /** A task of [job] has run to its end on [machine] in [elapsedSeconds]. */
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

    /** A task of [job] still runs on [machine] after [elapsedSeconds]; a sample only once it is overdue. */
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

    /** A jump of the clock, or a start that was never seen, gives no sample. */
    private fun isPlausible(elapsedSeconds: Double): Boolean =
        elapsedSeconds.isFinite() && elapsedSeconds > 0.0 && elapsedSeconds < MAX_RUN_SECONDS

    /** Expected run time by other tasks of [job], else by its class; null where neither is known yet. */
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

    /** How many times as long as elsewhere tasks take on [machine]; 1 where nothing is known. */
    fun slowdown(
        machine: String,
        now: Double,
    ): Double = machines[machine]?.let { decayedSlowdown(it, now) } ?: 1.0

    /** The load of [machine], which is [isSilent] if it has sent no recent heartbeat. */
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
        /** Fewer samples than this are not judged. */
        const val MIN_SAMPLES: Int = 3
        private const val HALF = 0.5
        private const val COMPLETION_WEIGHT = 0.3
        private const val OVERDUE_WEIGHT = 0.15

        /** Larger ratios count as this: such a machine is evicted as a straggler anyway. */
        private const val MAX_SLOWDOWN = 4.0
        private const val MAX_RUN_SECONDS = 1e6

        /** Upper bound for an entry with its key and its place in the table. */
        private const val BYTES_PER_ENTRY = 200L
    }
}
