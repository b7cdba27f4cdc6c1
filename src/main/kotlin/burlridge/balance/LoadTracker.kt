package burlridge.balance

import burlridge.allocation.Job
import burlridge.settings.BalanceSettings
import burlridge.worker.Machine
import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap

/** How loaded a machine is, as far as its reports tell. */
internal enum class Load {
    /** Not heard lately, or nothing has run there yet: neither idle nor hot. */
    UNKNOWN,
    NORMAL,

    /** Its tasks take clearly longer than others of their jobs and classes. */
    HOT,
}

/**
 * How fast tasks progress on each machine against the same jobs and classes elsewhere, learned from reports alone: an exponentially
 * weighted mean of the slowdown, which fades while nothing new is learned, with one threshold to become hot and a lower one to stop.
 * Each end of a task and each report costs a constant amount of work for each task on the machine.
 */
internal class LoadTracker(
    private val settings: BalanceSettings,
    /** After this time without evidence half of what was learned of a machine still counts, in seconds. */
    private val halfLifeSeconds: Double,
) {
    private class MachineLoad {
        var slowdown = 1.0
        var samples = 0
        var learnedAt = 0.0
        var hot = false
    }

    /** How long tasks of a class run, as a ratio to their owners' estimates. */
    private class ClassPace {
        var ratio = 1.0
        var samples = 0
    }

    private val machines = Object2ObjectOpenHashMap<String, MachineLoad>()
    private val classes = Object2ObjectOpenHashMap<String, ClassPace>()

    /** Samples taken in so far. */
    var samples: Long = 0
        private set

    /** What the picture takes at the most, in bytes. */
    val sizeBytes: Long get() = machines.size * BYTES_PER_MACHINE + classes.size * BYTES_PER_MACHINE

    fun clear() {
        machines.clear()
        classes.clear()
    }

    /** Forgets machines that are gone, once there are many of them. */
    fun keepOnly(known: Set<String>) {
        if (machines.size > known.size * 2 + FEW) machines.keys.retainAll(known)
    }

    /** A task of [job] has run to its end on [machine] in [ranSeconds]. */
    fun ended(
        machine: String,
        job: Job,
        ranSeconds: Double,
        now: Double,
    ) {
        if (!isPlausible(ranSeconds)) return
        expectedRunSeconds(job)?.let { learn(machine, ranSeconds / it, END_WEIGHT, now) }
        val pace = classes.getOrPut(job.spec.jobClass) { ClassPace() }
        val ratio = ranSeconds / job.spec.estimateSeconds.coerceAtLeast(1.0)
        pace.samples++
        pace.ratio += (ratio - pace.ratio) * maxOf(END_WEIGHT, 1.0 / pace.samples)
    }

    /** A task of [job] still runs on [machine] after [ranSeconds]; news only once it is overdue. */
    fun runs(
        machine: String,
        job: Job,
        ranSeconds: Double,
        now: Double,
    ) {
        if (!isPlausible(ranSeconds)) return
        val ratio = ranSeconds / (expectedRunSeconds(job) ?: return)
        if (ratio > 1.0) learn(machine, ratio, OVERDUE_WEIGHT, now)
    }

    /** A clock that jumped, or a start that was never seen, teaches nothing. */
    private fun isPlausible(ranSeconds: Double): Boolean = ranSeconds.isFinite() && ranSeconds > 0.0 && ranSeconds < LONGEST_RUN_SECONDS

    /** By others of the same job, else by its class; null where neither is known yet. */
    fun expectedRunSeconds(job: Job): Double? {
        job.meanRunSeconds?.let { return it.coerceAtLeast(1.0) }
        val pace = classes[job.spec.jobClass]?.takeIf { it.samples >= FEW } ?: return null
        return (job.spec.estimateSeconds * pace.ratio).coerceAtLeast(1.0)
    }

    private fun learn(
        machine: String,
        ratio: Double,
        weight: Double,
        now: Double,
    ) {
        val load = machines.getOrPut(machine) { MachineLoad() }
        val faded = faded(load, now)
        samples++
        load.samples++
        load.learnedAt = now
        load.slowdown = (faded + (ratio.coerceAtMost(MOST_SLOWDOWN) - faded) * weight)
        if (load.slowdown > settings.hotFactor && load.samples >= FEW) load.hot = true
    }

    private fun faded(
        load: MachineLoad,
        now: Double,
    ): Double = 1.0 + (load.slowdown - 1.0) * Math.pow(0.5, (now - load.learnedAt) / halfLifeSeconds)

    /** How many times as long as elsewhere tasks take on [machine], as far as is known. */
    fun slowdown(
        machine: String,
        now: Double,
    ): Double = machines[machine]?.let { faded(it, now) } ?: 1.0

    fun load(
        machine: Machine,
        silent: Boolean,
        now: Double,
    ): Load {
        val known = machines[machine.id] ?: return Load.UNKNOWN
        if (known.hot && faded(known, now) < settings.coolFactor) known.hot = false
        return when {
            silent -> Load.UNKNOWN
            known.hot -> Load.HOT
            known.samples < FEW -> Load.UNKNOWN
            else -> Load.NORMAL
        }
    }

    internal companion object {
        /** Fewer samples than these say nothing. */
        const val FEW: Int = 3
        private const val END_WEIGHT = 0.3
        private const val OVERDUE_WEIGHT = 0.15

        /** More than this is one and the same: such a machine is left for being slow. */
        private const val MOST_SLOWDOWN = 4.0
        private const val LONGEST_RUN_SECONDS = 1e6

        /** An entry with its key, object and place in the table, generously. */
        private const val BYTES_PER_MACHINE = 200L
    }
}
