package burlridge.simulation

/**
 * Synchronizes the tasks of a gang as we understand the protocol: they start together when the last one has its image, fail within
 * [SimulationEnvironment.gangPeerSeconds] of the loss of one, save together and complete together.
 */
internal class GangBarrier(
    private val cluster: SimulationEnvironment,
) {
    /** A task of a gang on its machine. */
    internal interface GangTask {
        val taskName: String

        /** Factor by which tasks on its machine take longer than usual. */
        val slowness: Double

        fun updateState(state: String)

        fun markExited(
            cause: String,
            progressSaved: Boolean = false,
        )
    }

    private class Attempt {
        val tasks = LinkedHashSet<GangTask>()
        var runningSince: Double? = null
        var slowness = 1.0
        var hasFailed = false
        var firstStopAt: Double? = null
        val stopping = HashSet<GangTask>()
        var isFinished = false
    }

    private val attempts = HashMap<Pair<String, Int>, Attempt>()

    /** Saved progress in seconds of run time, by job. */
    private val savedSecondsByJob = HashMap<String, Double>()

    /** Job, attempt number and start time of each attempt. */
    val attemptStarts = ArrayList<Triple<String, Int, Double>>()

    fun savedSeconds(job: String): Double = savedSecondsByJob[job] ?: 0.0

    /** Called when [task] has its image. It exits if the gang is still incomplete after [SimulationEnvironment.gangWaitSeconds]. */
    fun enter(
        job: String,
        attemptNumber: Int,
        task: GangTask,
    ) {
        val spec = cluster.invariants.spec(job) ?: return
        val attempt = attempts.getOrPut(job to attemptNumber) { Attempt() }
        task.updateState("gathering")
        attempt.tasks += task
        if (attempt.runningSince == null && !attempt.hasFailed &&
            attempt.tasks.size == spec.taskCount
        ) {
            return startAttempt(job, attemptNumber, attempt)
        }
        cluster.clock.after(cluster.gangWaitSeconds) {
            if (attempt.runningSince == null && task in attempt.tasks) {
                attempt.tasks -= task
                task.markExited("incomplete")
            }
        }
    }

    private fun startAttempt(
        job: String,
        attemptNumber: Int,
        attempt: Attempt,
    ) {
        val spec = cluster.invariants.spec(job) ?: return
        attempt.runningSince = cluster.clock.now
        attempt.slowness = attempt.tasks.maxOf { it.slowness }
        attemptStarts += Triple(job, attemptNumber, cluster.clock.now)
        attempt.tasks.forEach { it.updateState("running") }
        cluster.clock.after((spec.estimatedRunSeconds - savedSeconds(job)) * attempt.slowness) {
            if (!attempt.hasFailed && !attempt.isFinished && attempt.firstStopAt == null) {
                attempt.isFinished = true
                attempt.tasks.toList().forEach { it.markExited("done") }
            }
        }
    }

    private fun ranSeconds(attempt: Attempt): Double = (cluster.clock.now - (attempt.runningSince ?: cluster.clock.now)) / attempt.slowness

    /** Called when [task] is lost with its machine, or is stopped without a save. */
    fun leave(
        job: String,
        attemptNumber: Int,
        task: GangTask,
    ) {
        val attempt = attempts[job to attemptNumber] ?: return
        if (!attempt.tasks.remove(task) || attempt.isFinished || attempt.runningSince == null) return
        fail(job, attempt)
    }

    private fun fail(
        job: String,
        attempt: Attempt,
    ) {
        if (attempt.hasFailed) return
        attempt.hasFailed = true
        val spec = cluster.invariants.spec(job) ?: return
        if (spec.checkpointIntervalSeconds > 0 && attempt.firstStopAt == null) {
            savedSecondsByJob[job] =
                Math.floor((savedSeconds(job) + ranSeconds(attempt)) / spec.checkpointIntervalSeconds) * spec.checkpointIntervalSeconds
        }
        attempt.tasks.toList().forEach { task ->
            cluster.clock.after(cluster.random.nextDouble() * cluster.gangPeerSeconds) {
                if (attempt.tasks.remove(task)) task.markExited("peers")
            }
        }
    }

    /**
     * Called when [task] receives a stop command that leaves enough time to save. Returns true if it runs on until the save. The progress
     * is saved only if all tasks of the gang have received a stop command by then.
     */
    fun requestSave(
        job: String,
        attemptNumber: Int,
        task: GangTask,
    ): Boolean {
        val attempt = attempts[job to attemptNumber] ?: return false
        val spec = cluster.invariants.spec(job) ?: return false
        if (attempt.runningSince == null || attempt.hasFailed || attempt.isFinished) return false
        attempt.stopping += task
        if (attempt.firstStopAt != null) return true
        attempt.firstStopAt = cluster.clock.now
        val reached = savedSeconds(job) + ranSeconds(attempt)
        cluster.clock.after(maxOf(spec.saveSeconds, cluster.gangPeerSeconds)) {
            if (!attempt.hasFailed && !attempt.isFinished) {
                attempt.isFinished = true
                val allStopping = attempt.stopping.containsAll(attempt.tasks)
                if (allStopping) savedSecondsByJob[job] = reached
                attempt.tasks.toList().forEach {
                    it.markExited(if (it in attempt.stopping) "stopped" else "peers", progressSaved = allStopping)
                }
            }
        }
        return true
    }
}
