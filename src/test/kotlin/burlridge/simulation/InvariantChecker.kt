package burlridge.simulation

import burlridge.job.JobSpec
import burlridge.job.Resources

/** Every rule of the protocol, checked against what really happened on the stand-ins. */
internal class InvariantChecker(
    private val clock: Clock,
    private val cancelSeconds: Double,
    private val teamCpus: Map<String, Double>,
    private val teamGpus: Map<String, Double> = emptyMap(),
) {
    private class On(
        val machine: Worker,
    )

    val broken = ArrayList<String>()

    /** Told of each start and end on a machine. */
    var onStart: (String, Worker) -> Unit = { _, _ -> }
    var onEnd: (String, Worker) -> Unit = { _, _ -> }

    /** Told of each task that was stopped by command though nobody wanted it cancelled. */
    var onStop: (String) -> Unit = {}

    /** Seconds of its run that each task has saved. */
    val savedSeconds = HashMap<String, Double>()

    /** Seconds of runs that were stopped and not saved. */
    var lostSeconds = 0.0

    fun stopped(taskName: String) {
        if (taskName.substringBefore('/') !in abortAsked) onStop(taskName)
    }

    var starts = 0
        private set
    private val jobs = HashMap<String, JobSpec>()
    private val acceptedAt = HashMap<String, Double>()
    private val told = HashMap<String, String>()
    private val toldAt = HashMap<String, Double>()

    /** Starts after their job's cancellation was confirmed, and how long after. */
    val startsAfterCancellation = ArrayList<Pair<String, Double>>()
    private val cancelledAt = HashMap<String, Double>()
    private val abortAsked = HashSet<String>()
    private val completed = HashMap<String, HashSet<Int>>()
    private val on = HashMap<String, ArrayList<On>>()

    private fun breach(
        rule: String,
        what: String,
    ) {
        broken += "%s at %.3f: %s".format(rule, clock.now, what)
    }

    fun submitted(spec: JobSpec) {
        jobs[spec.id] = spec
    }

    fun spec(job: String): JobSpec? = jobs[job]

    fun answered(
        job: String,
        status: Int,
        standing: String?,
        submission: Boolean,
        /** What was asked before another answer came may be answered as things stood then. */
        askedAt: Double = clock.now,
    ) {
        if (status == 200 && job !in jobs) breach("invented", job)
        val known = acceptedAt[job]?.let { it <= askedAt } == true
        if (known && status == 404) breach("forgotten", "$job is answered 404")
        if (known && submission && (status == 400 || status == 422)) breach("forgotten", "repeat of $job is answered $status")
        if (known && status == 201) breach("went_back", "$job is accepted a second time")
        if (status == 200 || status == 201 || status == 404) lastAnswer[job] = clock.now
        if (status == 200 || status == 201) {
            acceptedAt.putIfAbsent(job, clock.now)
            if (standing != null) heard(job, standing, askedAt)
        }
    }

    /** A submission that lacks a field or can never run has been answered. */
    fun answeredWrongOne(
        job: String,
        status: Int,
    ) {
        if (status == 200 || status == 201) breach("accepted_wrong", "$job is answered $status")
    }

    private val waitingSince = HashMap<String, Double>()

    /** Jobs that wait although there is [room] for them: none may for longer than 90 s. */
    fun waiting(room: (JobSpec) -> Boolean) {
        for (job in acceptedAt.keys) {
            val spec = jobs[job] ?: continue
            val limit = teamCpus[spec.team] ?: 0.0
            val atLimit = limit > 0 && teamUse(spec.team).cpus + spec.taskResources.cpus > limit + 1e-6
            val waits = told[job] == null && on.keys.none { it.substringBefore('/') == job } && !atLimit && room(spec)
            if (!waits) {
                waitingSince.remove(job)
            } else if (clock.now > waitingSince.getOrPut(job) { clock.now } + MOST_WAIT_SECONDS) {
                breach("left_waiting", "$job waits for ${clock.now - waitingSince.getValue(job)} s beside room")
                waitingSince.remove(job)
            }
        }
    }

    private companion object {
        const val MOST_WAIT_SECONDS = 90.0
    }

    private val lastAnswer = HashMap<String, Double>()

    /** Accepted jobs about which no question has been answered since [since]. */
    fun unanswered(since: Double): List<String> = acceptedAt.keys.filter { (lastAnswer[it] ?: 0.0) < since }

    private fun heard(
        job: String,
        standing: String,
        askedAt: Double,
    ) {
        val before = told[job]
        val final = standing == "done" || standing == "withdrawn"
        val older = (toldAt[job] ?: Double.MAX_VALUE) <= askedAt || final
        if (before != null && before != standing && older) breach("went_back", "$job was $before, now $standing")
        if (final) toldAt.putIfAbsent(job, clock.now)
        when (standing) {
            "done" -> {
                if ((completed[job]?.size ?: 0) <
                    (jobs[job]?.taskCount ?: 0)
                ) {
                    breach("not_done", "$job has ${completed[job]?.size ?: 0} tasks done")
                }
                told[job] = standing
            }

            "withdrawn" -> {
                if (job !in abortAsked) breach("went_back", "$job is cancelled without its user's wish")
                told[job] = standing
                cancelledAt.putIfAbsent(job, clock.now)
            }
        }
    }

    fun askedToAbort(job: String) {
        abortAsked += job
    }

    fun finished(job: String): Boolean = told[job] != null

    fun started(
        taskName: String,
        worker: Worker,
    ) {
        starts++
        onStart(taskName, worker)
        val job = taskName.substringBefore('/')
        firstStarts.putIfAbsent(job, clock.now)
        val spec = jobs[job] ?: return breach("wrong_place", "$taskName belongs to no job")
        val others = on.values.flatten()
        on[taskName]?.firstOrNull()?.let { breach("ran_twice", "$taskName starts on ${worker.id} while on ${it.machine.id}") }
        if (spec.machineTypes != null && worker.type !in spec.machineTypes) breach("wrong_place", "$taskName on type ${worker.type}")
        if (spec.zone != null && worker.zone != spec.zone) breach("wrong_place", "$taskName in zone ${worker.zone}")
        if (worker.spot && !spec.allowsSpot) breach("wrong_place", "$taskName on a spot machine")
        val siblings =
            on
                .filterKeys { it.substringBefore('/') == job }
                .values
                .flatten()
                .map { it.machine.zone }
        if (spec.oneZone && siblings.any { it != worker.zone }) breach("wrong_place", "$taskName apart from its job's other tasks")
        if (spec.spread &&
            siblings.count { it == worker.zone } + 1 > (spec.taskCount + 1) / 2
        ) {
            breach("wrong_place", "$taskName crowds ${worker.zone}")
        }
        on.getOrPut(taskName) { ArrayList() } += On(worker)
        val use = teamUse(spec.team)
        val cpus = teamCpus[spec.team] ?: 0.0
        val gpus = teamGpus[spec.team] ?: 0.0
        val over = (cpus > 0 && use.cpus > cpus + 1e-6) || (gpus > 0 && use.gpus > gpus + 1e-6)
        if (over) breach("quota", "${spec.team} uses $use with ${others.size + 1} tasks")
        cancelledAt[job]?.let {
            startsAfterCancellation += taskName to clock.now - it
            if (clock.now >
                it + cancelSeconds
            ) {
                breach("ran_cancelled", "$taskName starts ${clock.now - it} s after its cancellation")
            }
        }
    }

    private fun teamUse(team: String): Resources =
        on.entries.fold(Resources.NONE) { sum, (taskName, machines) ->
            val spec = jobs[taskName.substringBefore('/')]?.takeIf { it.team == team }
            if (spec == null) sum else machines.fold(sum) { s, _ -> s + spec.taskResources }
        }

    fun ended(
        taskName: String,
        worker: Worker,
        done: Boolean,
    ) {
        onEnd(taskName, worker)
        on[taskName]?.let { list ->
            list.removeIf { it.machine === worker }
            if (list.isEmpty()) on.remove(taskName)
        }
        if (done) completed.getOrPut(taskName.substringBefore('/')) { HashSet() } += taskName.substringAfter('/').toInt()
    }

    private val firstStarts = HashMap<String, Double>()

    /** When the first task of [job] started; -1 if none has. */
    fun firstStart(job: String): Double = firstStarts[job] ?: -1.0

    fun hasCompleted(taskName: String): Boolean =
        completed[taskName.substringBefore('/')]?.contains(taskName.substringAfter('/').toInt()) == true

    /** Called now and then: tasks of cancelled jobs must be gone in time. */
    fun sweep() {
        for ((taskName, machines) in on) {
            val at = cancelledAt[taskName.substringBefore('/')] ?: continue
            if (clock.now > at + cancelSeconds &&
                machines.isNotEmpty()
            ) {
                breach("ran_cancelled", "$taskName is on ${machines[0].machine.id} ${clock.now - at} s after")
            }
        }
    }
}
