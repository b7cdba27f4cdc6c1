package burlridge.simulation

import burlridge.job.JobSpec
import burlridge.job.JobSpecCodec
import burlridge.job.Priority
import burlridge.job.Resources
import burlridge.json.Json

// The simulated users: they submit, query and cancel jobs, and pass every response to the invariant checker.

internal fun SimulatedCluster.job(
    number: Int,
    tasks: Int,
    cpus: Double = 1.0,
    runSeconds: Double = 10.0,
    team: String = "crew-y",
    jobClass: String = "urgent",
    spot: Boolean = true,
    zone: String? = null,
    oneZone: Boolean = false,
    spread: Boolean = false,
): JobSpec =
    JobSpec(
        "j-%06d".format(number),
        jobClass,
        team,
        if (jobClass == "urgent") Priority.HIGH else Priority.NORMAL,
        tasks,
        Resources(cpus, 0.0, cpus * 2),
        "img-1",
        1.0,
        null,
        zone,
        oneZone,
        spread,
        spot,
        runSeconds,
        0.0,
        0.0,
        null,
    )

internal fun SimulatedCluster.gang(
    number: Int,
    tasks: Int,
    cpus: Double = 1.0,
    runSeconds: Double = 20.0,
    team: String = "crew-y",
    spot: Boolean = false,
    oneZone: Boolean = true,
): JobSpec =
    job(number, tasks, cpus, runSeconds, team, jobClass = "gang", spot = spot, oneZone = oneZone)
        .copy(gang = true, checkpointIntervalSeconds = 5.0, saveSeconds = 2.0)

/** A burst of [count] jobs of 60 tasks, of which every [largeEvery]th has 500. Each task of every third job fills a small machine. */
internal fun SimulatedCluster.burst(
    count: Int,
    largeEvery: Int,
): List<JobSpec> =
    (0 until count).map {
        job(it, tasks = if (it % largeEvery == 0) 500 else 60, cpus = if (it % 3 == 0) 4.0 else 1.0, runSeconds = 20.0)
    }

/**
 * Submits [spec] until it is accepted, then polls it. Once three responses in a row have come after its end, it is submitted once more
 * and no longer polled.
 */
internal fun SimulatedCluster.submit(
    spec: JobSpec,
    abortAfter: Double? = null,
) {
    invariants.submitted(spec)
    trySubmit(spec)
    abortAfter?.let { clock.after(it) { abort(spec) } }
}

private fun SimulatedCluster.trySubmit(spec: JobSpec) {
    val askedAt = clock.now
    request("user", anyMember(), "POST", "/api/jobs", JobSpecCodec.encode(spec).toString(), 5.0) { status, body ->
        invariants.answered(spec.id, status, jobStateOf(body), submission = true, askedAt)
        if (status == 201) queryAllMembers(spec)
        if (status == 200 || status == 201) poll(spec, 0) else clock.after(1.0) { trySubmit(spec) }
    }
}

private fun SimulatedCluster.poll(
    spec: JobSpec,
    responsesAfterEnd: Int,
) {
    clock.after(2.0 + random.nextDouble()) {
        val askedAt = clock.now
        request("user", anyMember(), "GET", "/api/jobs/${spec.id}", "", 2.0) { status, body ->
            val wasFinished = invariants.finished(spec.id)
            invariants.answered(spec.id, status, jobStateOf(body), submission = false, askedAt)
            if (!wasFinished && invariants.finished(spec.id)) queryAllMembers(spec)
            val ended = if (invariants.finished(spec.id)) responsesAfterEnd + 1 else 0
            if (ended == 3) resubmit(spec) else poll(spec, ended)
        }
    }
}

private fun SimulatedCluster.resubmit(spec: JobSpec) = submitOnce(spec, anyMember())

internal fun SimulatedCluster.submitOnce(
    spec: JobSpec,
    member: String,
) {
    val askedAt = clock.now
    request("user", member, "POST", "/api/jobs", JobSpecCodec.encode(spec).toString(), 5.0) { status, body ->
        invariants.answered(spec.id, status, jobStateOf(body), submission = true, askedAt)
    }
}

/** Queries [spec] once at [member] and passes the response to the invariant checker. */
internal fun SimulatedCluster.queryJob(
    spec: JobSpec,
    member: String,
) {
    val askedAt = clock.now
    request("user", member, "GET", "/api/jobs/${spec.id}", "", 2.0) { status, body ->
        invariants.answered(spec.id, status, jobStateOf(body), submission = false, askedAt)
    }
}

/** Queries a job by its id alone; the response must be about that job. */
internal fun SimulatedCluster.queryJobById(
    id: String,
    member: String,
) {
    val askedAt = clock.now
    request("user", member, "GET", "/api/jobs/$id", "", 2.0) { status, body ->
        val named = Json.parseOrNull(body)?.path("id")?.asText()
        invariants.answered(if (status == 200) named ?: id else id, status, jobStateOf(body), submission = false, askedAt)
        if (status == 200 && named != id) invariants.violations += "went_back at ${clock.now}: asked for $id, told of $named"
    }
}

private fun SimulatedCluster.queryAllMembers(spec: JobSpec) {
    if (!queryAllMembersOnChange) return
    members.forEachIndexed { i, member ->
        listOf(0.0, 0.002, 0.02, 0.3, 1.5).forEach { delay -> clock.after(delay + i * 0.0007) { queryJob(spec, member) } }
        listOf(0.001, 0.4).forEach { delay -> clock.after(delay + i * 0.0007) { submitOnce(spec, member) } }
    }
}

internal fun SimulatedCluster.abort(
    spec: JobSpec,
    member: String? = null,
) {
    invariants.cancellationRequested(spec.id)
    val askedAt = clock.now
    request("user", member ?: anyMember(), "POST", "/api/jobs/${spec.id}/abort", "", 5.0) { status, body ->
        if (status == 200) {
            if (jobStateOf(body) == "withdrawn") onCancellationConfirmed(spec.id)
            invariants.answered(spec.id, status, jobStateOf(body), submission = false, askedAt)
            queryAllMembers(spec)
        } else {
            clock.after(1.0) { abort(spec, member) }
        }
    }
}

/** Sends a submission that lacks a field and one that fits no machine, every 4 s from now [until] the given time. */
internal fun SimulatedCluster.sendInvalidSubmissions(until: Double) {
    if (clock.now > until) return
    val number = 900_000 + (clock.now * 10).toInt()
    val withoutTeam = JobSpecCodec.encode(job(number, 1)).toString().replace("\"crew\":\"crew-y\",", "")
    val tooLarge = JobSpecCodec.encode(job(number + 1, 1, cpus = 1000.0)).toString()
    listOf(number to withoutTeam, number + 1 to tooLarge).forEach { (id, body) ->
        request(
            "user",
            anyMember(),
            "POST",
            "/api/jobs",
            body,
            5.0,
        ) { status, _ -> invariants.invalidSubmissionAnswered("j-%06d".format(id), status) }
    }
    clock.after(4.0) { sendInvalidSubmissions(until) }
}

/** Checks once a second from now on that no job waits too long beside a machine with room. Gang, one-zone and spread jobs are exempt. */
internal fun SimulatedCluster.checkWaitingJobsPeriodically() {
    invariants.checkWaitingJobs { spec ->
        !spec.gang && !spec.oneZone && !spec.spread &&
            cloud.machineIds().any { cloud.worker(it)?.hasRoomFor(spec) == true }
    }
    clock.after(1.0) { checkWaitingJobsPeriodically() }
}
