package burlridge.simulation

/**
 * Where the tasks of a gang find each other, by our own reading of the page: they start together when the last one has its
 * image, notice a loss within a while, save together and complete together.
 */
internal class GangBarrier(
    private val cluster: SimulationEnvironment,
) {
    /** A gang task on its machine, as its attempt sees it. */
    internal interface Seat {
        val taskName: String

        /** How many times as long as usual its machine takes. */
        val slowness: Double

        fun becomes(standing: String)

        fun exits(
            cause: String,
            kept: Boolean = false,
        )
    }

    private class Attempt {
        val seats = LinkedHashSet<Seat>()
        var runningSince: Double? = null
        var slowness = 1.0
        var failed = false
        var firstHaltAt: Double? = null
        val told = HashSet<Seat>()
        var ended = false
    }

    private val attempts = HashMap<Pair<String, Int>, Attempt>()

    /** Progress that is safe, by job. */
    private val saved = HashMap<String, Double>()

    /** When each attempt of each job began to run. */
    val begun = ArrayList<Triple<String, Int, Double>>()

    fun progress(job: String): Double = saved[job] ?: 0.0

    /** [seat] has its image. */
    fun enter(
        job: String,
        run: Int,
        seat: Seat,
    ) {
        val spec = cluster.invariants.spec(job) ?: return
        val attempt = attempts.getOrPut(job to run) { Attempt() }
        seat.becomes("gathering")
        attempt.seats += seat
        if (attempt.runningSince == null && !attempt.failed && attempt.seats.size == spec.taskCount) return begin(job, run, attempt)
        cluster.clock.after(cluster.gangWaitSeconds) {
            if (attempt.runningSince == null && seat in attempt.seats) {
                attempt.seats -= seat
                seat.exits("incomplete")
            }
        }
    }

    private fun begin(
        job: String,
        run: Int,
        attempt: Attempt,
    ) {
        val spec = cluster.invariants.spec(job) ?: return
        attempt.runningSince = cluster.clock.now
        attempt.slowness = attempt.seats.maxOf { it.slowness }
        begun += Triple(job, run, cluster.clock.now)
        attempt.seats.forEach { it.becomes("running") }
        cluster.clock.after((spec.estimatedRunSeconds - progress(job)) * attempt.slowness) {
            if (!attempt.failed && !attempt.ended && attempt.firstHaltAt == null) {
                attempt.ended = true
                attempt.seats.toList().forEach { it.exits("done") }
            }
        }
    }

    private fun ranSeconds(attempt: Attempt): Double = (cluster.clock.now - (attempt.runningSince ?: cluster.clock.now)) / attempt.slowness

    /** [seat] is gone with its machine, or has ended at once by a command. */
    fun leaves(
        job: String,
        run: Int,
        seat: Seat,
    ) {
        val attempt = attempts[job to run] ?: return
        if (!attempt.seats.remove(seat) || attempt.ended || attempt.runningSince == null) return
        fail(job, attempt)
    }

    private fun fail(
        job: String,
        attempt: Attempt,
    ) {
        if (attempt.failed) return
        attempt.failed = true
        val spec = cluster.invariants.spec(job) ?: return
        if (spec.checkpointIntervalSeconds > 0 && attempt.firstHaltAt == null) {
            saved[job] = Math.floor((progress(job) + ranSeconds(attempt)) / spec.checkpointIntervalSeconds) * spec.checkpointIntervalSeconds
        }
        attempt.seats.toList().forEach { seat ->
            cluster.clock.after(cluster.random.nextDouble() * cluster.gangPeerSeconds) {
                if (attempt.seats.remove(seat)) seat.exits("peers")
            }
        }
    }

    /** Told to stop with enough time to save; true where it goes on until the others are told as well. */
    fun saves(
        job: String,
        run: Int,
        seat: Seat,
    ): Boolean {
        val attempt = attempts[job to run] ?: return false
        val spec = cluster.invariants.spec(job) ?: return false
        if (attempt.runningSince == null || attempt.failed || attempt.ended) return false
        attempt.told += seat
        if (attempt.firstHaltAt != null) return true
        attempt.firstHaltAt = cluster.clock.now
        val reached = progress(job) + ranSeconds(attempt)
        cluster.clock.after(maxOf(spec.saveSeconds, cluster.gangPeerSeconds)) {
            if (!attempt.failed && !attempt.ended) {
                attempt.ended = true
                val all = attempt.told.containsAll(attempt.seats)
                if (all) saved[job] = reached
                attempt.seats.toList().forEach { it.exits(if (it in attempt.told) "stopped" else "peers", kept = all) }
            }
        }
        return true
    }
}
