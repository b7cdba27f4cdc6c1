package burlridge.simulation

import burlridge.job.JobSpec
import burlridge.job.Resources

/** Checks every rule of the protocol against what happened on the fake workers and in the responses to users. */
internal class InvariantChecker(
    private val clock: Clock,
    private val cancelSeconds: Double,
    private val teamCpus: Map<String, Double>,
    private val teamGpus: Map<String, Double> = emptyMap(),
) {
    private class Placement(
        val machine: Worker,
    )

    val violations = ArrayList<String>()

    /** Called on each start of a task on a machine; [onEnd] on each end. */
    var onStart: (String, Worker) -> Unit = { _, _ -> }
    var onEnd: (String, Worker) -> Unit = { _, _ -> }

    /** Called for each task that was stopped by command although no user had cancelled its job. */
    var onStop: (String) -> Unit = {}

    /** Saved run time in seconds, by task. */
    val savedSeconds = HashMap<String, Double>()

    /** Run time that was lost because tasks were stopped without a save, in seconds. */
    var lostSeconds = 0.0

    fun stopped(taskName: String) {
        if (taskName.substringBefore('/') !in cancellationRequests) onStop(taskName)
    }

    var starts = 0
        private set
    private val jobs = HashMap<String, JobSpec>()
    private val acceptedAt = HashMap<String, Double>()
    private val finalStates = HashMap<String, String>()
    private val finalStateAt = HashMap<String, Double>()

    /** Task starts after the cancellation of their job was confirmed, with the seconds in between. */
    val startsAfterCancellation = ArrayList<Pair<String, Double>>()
    private val cancelledAt = HashMap<String, Double>()
    private val cancellationRequests = HashSet<String>()
    private val completed = HashMap<String, HashSet<Int>>()
    private val placements = HashMap<String, ArrayList<Placement>>()

    /** The number of tasks of a job on machines, and the time since which there have been some, or none. */
    private class RunPeriod {
        var tasks = 0
        var since = 0.0
    }

    private val runPeriods = HashMap<String, RunPeriod>()

    private fun addViolation(
        rule: String,
        detail: String,
    ) {
        violations += "%s at %.3f: %s".format(rule, clock.now, detail)
    }

    fun submitted(spec: JobSpec) {
        jobs[spec.id] = spec
    }

    fun spec(job: String): JobSpec? = jobs[job]

    fun answered(
        job: String,
        status: Int,
        jobState: String?,
        submission: Boolean,
        /** Time of the request. The response may describe an earlier state than the responses that arrived after that time. */
        askedAt: Double = clock.now,
    ) {
        if (status == 200 && job !in jobs) addViolation("invented", job)
        val wasAccepted = acceptedAt[job]?.let { it <= askedAt } == true
        if (wasAccepted && status == 404) addViolation("forgotten", "$job is answered 404")
        if (wasAccepted && submission && (status == 400 || status == 422)) addViolation("forgotten", "repeat of $job is answered $status")
        if (wasAccepted && status == 201) addViolation("went_back", "$job is accepted a second time")
        if (status == 200 || status == 201 || status == 404) lastResponseAt[job] = clock.now
        if (status == 200 || status == 201) {
            acceptedAt.putIfAbsent(job, clock.now)
            if (jobState != null) checkReportedState(job, jobState, askedAt)
        }
    }

    /** Called with the response to a submission that lacks a field or can never run. */
    fun invalidSubmissionAnswered(
        job: String,
        status: Int,
    ) {
        if (status == 200 || status == 201) addViolation("accepted_wrong", "$job is answered $status")
    }

    private val waitingSince = HashMap<String, Double>()

    /** Reports jobs that have waited for more than 90 s although [hasRoom] holds for them and their team is below its quota. */
    fun checkWaitingJobs(hasRoom: (JobSpec) -> Boolean) {
        for (job in acceptedAt.keys) {
            val spec = jobs[job] ?: continue
            val limit = teamCpus[spec.team] ?: 0.0
            val atLimit = limit > 0 && teamUse(spec.team).cpus + spec.taskResources.cpus > limit + 1e-6
            val isWaiting = finalStates[job] == null && placements.keys.none { it.substringBefore('/') == job } && !atLimit && hasRoom(spec)
            if (!isWaiting) {
                waitingSince.remove(job)
            } else if (clock.now > waitingSince.getOrPut(job) { clock.now } + MAX_WAIT_SECONDS) {
                addViolation("left_waiting", "$job waits for ${clock.now - waitingSince.getValue(job)} s beside room")
                waitingSince.remove(job)
            }
        }
    }

    private companion object {
        const val MAX_WAIT_SECONDS = 90.0

        /** The lag of the protocol, and the time that a response takes. */
        const val MAX_LAG_SECONDS = 3.01
    }

    private val lastResponseAt = HashMap<String, Double>()

    /** Returns accepted jobs for which no request has been answered since the time [since]. */
    fun unanswered(since: Double): List<String> = acceptedAt.keys.filter { (lastResponseAt[it] ?: 0.0) < since }

    private fun checkReportedState(
        job: String,
        jobState: String,
        askedAt: Double,
    ) {
        val previous = finalStates[job]
        val isFinal = jobState == "done" || jobState == "withdrawn"
        val mustMatch = (finalStateAt[job] ?: Double.MAX_VALUE) <= askedAt || isFinal
        if (previous != null && previous != jobState && mustMatch) addViolation("went_back", "$job was $previous, now $jobState")
        if (isFinal) finalStateAt.putIfAbsent(job, clock.now)
        if (!isFinal) checkLag(job, jobState)
        when (jobState) {
            "done" -> {
                if ((completed[job]?.size ?: 0) <
                    (jobs[job]?.taskCount ?: 0)
                ) {
                    addViolation("not_done", "$job has ${completed[job]?.size ?: 0} tasks done")
                }
                finalStates[job] = jobState
            }

            "withdrawn" -> {
                if (job !in cancellationRequests) addViolation("went_back", "$job is cancelled without its user's wish")
                finalStates[job] = jobState
                cancelledAt.putIfAbsent(job, clock.now)
            }
        }
    }

    /** Checks that tasks of [job] ran, or did not run, as [jobState] says, at some time within the lag that the protocol permits. */
    private fun checkLag(
        job: String,
        jobState: String,
    ) {
        val spec = jobs[job] ?: return
        // On its machine, a task of a gang may wait for the others, and a task that saves may be saving: neither counts as running.
        if (spec.gang || spec.saveSeconds > 0) return
        val period = runPeriods[job]
        val earliest = clock.now - MAX_LAG_SECONDS
        if (jobState == "queued" && period != null && period.tasks > 0 && period.since < earliest) {
            addViolation("state_lag", "$job is called queued and has run since ${period.since}")
        }
        if (jobState == "running" && (period == null || (period.tasks == 0 && period.since < earliest))) {
            addViolation("state_lag", "$job is called running and has not run since ${period?.since}")
        }
    }

    fun cancellationRequested(job: String) {
        cancellationRequests += job
    }

    fun finished(job: String): Boolean = finalStates[job] != null

    fun started(
        taskName: String,
        worker: Worker,
    ) {
        starts++
        onStart(taskName, worker)
        val job = taskName.substringBefore('/')
        firstStarts.putIfAbsent(job, clock.now)
        val spec = jobs[job] ?: return addViolation("wrong_place", "$taskName belongs to no job")
        val runningBefore = placements.values.flatten()
        placements[taskName]?.firstOrNull()?.let { addViolation("ran_twice", "$taskName starts on ${worker.id} while on ${it.machine.id}") }
        if (spec.machineTypes != null && worker.type !in spec.machineTypes) addViolation("wrong_place", "$taskName on type ${worker.type}")
        if (spec.zone != null && worker.zone != spec.zone) addViolation("wrong_place", "$taskName in zone ${worker.zone}")
        if (worker.spot && !spec.allowsSpot) addViolation("wrong_place", "$taskName on a spot machine")
        val siblings =
            placements
                .filterKeys { it.substringBefore('/') == job }
                .values
                .flatten()
                .map { it.machine.zone }
        if (spec.oneZone && siblings.any { it != worker.zone }) addViolation("wrong_place", "$taskName apart from its job's other tasks")
        if (spec.spread &&
            siblings.count { it == worker.zone } + 1 > (spec.taskCount + 1) / 2
        ) {
            addViolation("wrong_place", "$taskName crowds ${worker.zone}")
        }
        placements.getOrPut(taskName) { ArrayList() } += Placement(worker)
        val period = runPeriods.getOrPut(job) { RunPeriod() }
        if (period.tasks++ == 0) period.since = clock.now
        val use = teamUse(spec.team)
        val cpus = teamCpus[spec.team] ?: 0.0
        val gpus = teamGpus[spec.team] ?: 0.0
        val exceedsQuota = (cpus > 0 && use.cpus > cpus + 1e-6) || (gpus > 0 && use.gpus > gpus + 1e-6)
        if (exceedsQuota) addViolation("quota", "${spec.team} uses $use with ${runningBefore.size + 1} tasks")
        cancelledAt[job]?.let {
            startsAfterCancellation += taskName to clock.now - it
            if (clock.now >
                it + cancelSeconds
            ) {
                addViolation("ran_cancelled", "$taskName starts ${clock.now - it} s after its cancellation")
            }
        }
    }

    private fun teamUse(team: String): Resources =
        placements.entries.fold(Resources.NONE) { sum, (taskName, machines) ->
            val spec = jobs[taskName.substringBefore('/')]?.takeIf { it.team == team }
            if (spec == null) sum else machines.fold(sum) { s, _ -> s + spec.taskResources }
        }

    fun ended(
        taskName: String,
        worker: Worker,
        done: Boolean,
    ) {
        onEnd(taskName, worker)
        placements[taskName]?.let { list ->
            val count = list.size
            list.removeIf { it.machine === worker }
            val period = runPeriods.getValue(taskName.substringBefore('/'))
            period.tasks -= count - list.size
            if (period.tasks == 0 && count > list.size) period.since = clock.now
            if (list.isEmpty()) placements.remove(taskName)
        }
        if (done) completed.getOrPut(taskName.substringBefore('/')) { HashSet() } += taskName.substringAfter('/').toInt()
    }

    private val firstStarts = HashMap<String, Double>()

    /** Returns the time at which the first task of [job] started; -1 if none has. */
    fun firstStart(job: String): Double = firstStarts[job] ?: -1.0

    fun hasCompleted(taskName: String): Boolean =
        completed[taskName.substringBefore('/')]?.contains(taskName.substringAfter('/').toInt()) == true

    /** Reports what a leader counts as used and is not, or the reverse. Called periodically, for every member. */
    fun checkAllocations(audit: AllocationAudit) = audit.differences().forEach { addViolation("miscounted", it) }

    /** Reports tasks that still run [cancelSeconds] after the cancellation of their job. Called periodically. */
    fun checkCancelledTasks() {
        for ((taskName, machines) in placements) {
            val at = cancelledAt[taskName.substringBefore('/')] ?: continue
            if (clock.now > at + cancelSeconds &&
                machines.isNotEmpty()
            ) {
                addViolation("ran_cancelled", "$taskName is on ${machines[0].machine.id} ${clock.now - at} s after")
            }
        }
    }
}
