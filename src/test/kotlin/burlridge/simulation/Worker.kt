package burlridge.simulation

import burlridge.job.JobSpec
import burlridge.json.Json
import com.fasterxml.jackson.databind.JsonNode

/** A fake worker: sends heartbeats, executes commands, and ends its tasks when its lease expires. */
internal class Worker(
    private val cluster: SimulationEnvironment,
    val id: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val address: String,
) {
    private inner class Task(
        override val taskName: String,
        val attemptNumber: Int,
        var state: String,
        var cause: String? = null,
        var progressSaved: Boolean = false,
    ) : GangBarrier.GangTask {
        val job: String get() = taskName.substringBefore('/')
        var startedAt = 0.0
        val onMachine: Boolean get() = state == "running" || state == "gathering" || state == "saving"
        override val slowness: Double get() = this@Worker.slowness

        override fun updateState(state: String) {
            this.state = state
            changed = true
        }

        override fun markExited(
            cause: String,
            progressSaved: Boolean,
        ) {
            if (!alive || tasks["$taskName@$attemptNumber"] !== this || state == "exited") return
            this.progressSaved = progressSaved
            cluster.invariants.ended(taskName, this@Worker, cause == "done")
            exit(this, cause)
        }
    }

    private var agentEpoch = 1L
    private var sequence = 0L
    private var token = 0L
    private val tasks = LinkedHashMap<String, Task>()
    private var memberIndex = cluster.random.nextInt(cluster.members.size)

    /** Time at which the last answered heartbeat was sent, from which the lease runs. */
    private var lastAnsweredSentAt = cluster.clock.now
    private var alive = true

    /** Factor by which its tasks take longer than usual. */
    var slowness = 1.0
    private var heartbeatInFlight = false
    private var changed = false

    /** Images that have been fetched to this machine. */
    val images = HashSet<String>()

    /** Term of the highest fencing token that it has seen. */
    val term: Long get() = token shr TERM_SHIFT

    fun boot() {
        heartbeat()
        watchLease()
    }

    /** Restarts at once without its tasks, before a missing heartbeat could reveal it. */
    fun restart() {
        tasks.values.forEach { releaseTask(it, false) }
        tasks.clear()
        agentEpoch++
        lastAnsweredSentAt = cluster.clock.now
        changed = true
    }

    /** Number of times that the machine has come back; what an earlier incarnation had begun has no effect. */
    private var incarnation = 0

    /** Comes back at once as a new worker, which remembers neither tasks nor tokens, and begins with its first agent epoch. */
    fun comeBackAsNew() {
        tasks.values.forEach { releaseTask(it, false) }
        tasks.clear()
        incarnation++
        agentEpoch = 1
        sequence = 0
        token = 0
        heartbeatInFlight = false
        lastAnsweredSentAt = cluster.clock.now
        heartbeat()
    }

    private var reclaimAt: Double? = null

    /** Announces that the cloud reclaims the machine in [seconds], and lets it do so. */
    fun announceReclaim(seconds: Double) {
        reclaimAt = cluster.clock.now + seconds
        changed = true
        cluster.clock.after(seconds) { cluster.cloud.reclaim(id) }
    }

    fun hasTask(taskName: String): Boolean = tasks.values.any { it.taskName == taskName && it.state != "exited" }

    /** Returns whether a task of [spec] could start on this machine now. */
    fun hasRoomFor(spec: JobSpec): Boolean {
        val active = tasks.values.filter { it.state != "exited" }
        val used =
            active.sumOf { t ->
                cluster.invariants
                    .spec(t.job)
                    ?.taskResources
                    ?.cpus ?: 0.0
            }
        val fits = used + spec.taskResources.cpus <= cluster.types.getValue(type).cpus + 1e-6
        return alive && !hung && token > 0 && reclaimAt == null && fits && (spec.allowsSpot || !spot) &&
            (spec.zone == null || spec.zone == zone)
    }

    private var hungUntil = 0.0
    private val hung: Boolean get() = cluster.clock.now < hungUntil
    private val heldActions = ArrayList<() -> Unit>()

    /** Suspends the machine and its tasks for [seconds]. Actions that become due meanwhile run afterwards, after a check of the lease. */
    fun hang(seconds: Double) {
        hungUntil = cluster.clock.now + seconds
        cluster.clock.after(seconds + 0.001) {
            if (alive) {
                expireLease()
                heldActions.toList().also { heldActions.clear() }.forEach { it() }
            }
        }
    }

    /** Runs [action] now, or after the end of a hang. */
    private fun whenNotHung(action: () -> Unit) {
        if (hung) heldActions += action else action()
    }

    fun kill() {
        alive = false
        tasks.values.forEach { releaseTask(it, false) }
        tasks.clear()
    }

    private fun watchLease() {
        cluster.clock.after(0.1) {
            if (alive) {
                if (!hung) expireLease()
                watchLease()
            }
        }
    }

    private fun expireLease() {
        if (cluster.clock.now <= lastAnsweredSentAt + cluster.leaseSeconds) return
        tasks.values.forEach { releaseTask(it, false) }
        tasks.clear()
        agentEpoch++
        lastAnsweredSentAt = cluster.clock.now
    }

    private fun releaseTask(
        task: Task,
        done: Boolean,
    ) {
        if (task.onMachine) cluster.invariants.ended(task.taskName, this, done)
        if (task.onMachine && isGang(task)) cluster.gangBarrier.leave(task.job, task.attemptNumber, task)
    }

    private fun isGang(task: Task): Boolean = cluster.invariants.spec(task.job)?.gang == true

    private fun heartbeatBody(): JsonNode =
        Json.obj {
            put("drover", id)
            put("addr", address)
            put("breed", type)
            put("yard", zone)
            put("loaners", spot)
            put("stint", agentEpoch)
            put("tally", ++sequence)
            put("baton", token)
            reclaimAt?.let { put("recallS", it - cluster.clock.now) }
            val list = putArray("pieces")
            tasks.values.forEach { t ->
                list.addObject().put("piece", t.taskName).put("try", t.attemptNumber).put("standing", cluster.wireName(t.state)).also { o ->
                    t.cause?.let { o.put("cause", cluster.wireName(it)) }
                    if (t.progressSaved) o.put("kept", true)
                }
            }
        }

    private fun heartbeat() {
        if (!alive || heartbeatInFlight) return
        if (hung) return whenNotHung { heartbeat() }
        heartbeatInFlight = true
        changed = false
        val sentAt = cluster.clock.now
        val sentEpoch = agentEpoch
        val sentIncarnation = incarnation
        val name = cluster.members[memberIndex]
        cluster.request(id, name, "POST", "/agent/beat", heartbeatBody().toString(), 4.0) { status, body ->
            if (!alive || incarnation != sentIncarnation) return@request
            heartbeatInFlight = false
            if (hung) return@request whenNotHung { scheduleNextHeartbeat() }
            val response = Json.parseOrNull(body)
            when (status) {
                200 -> {
                    if (sentEpoch == agentEpoch && response != null && response.path("baton").asLong(-1) >= token) {
                        token = response.path("baton").asLong()
                        lastAnsweredSentAt = sentAt
                        response.path("orders").forEach { execute(it) }
                    }
                    scheduleNextHeartbeat()
                }

                421 -> {
                    val leader = cluster.members.indexOf(response?.path("herder")?.asText(""))
                    val leaderIsKnown = leader >= 0 && leader != memberIndex
                    memberIndex = if (leaderIsKnown) leader else (memberIndex + 1) % cluster.members.size
                    retryAfter(if (leaderIsKnown) cluster.random.nextDouble() * 0.5 else 1.0)
                }

                else -> {
                    memberIndex = (memberIndex + 1) % cluster.members.size
                    retryAfter(1.0)
                }
            }
        }
    }

    private fun retryAfter(seconds: Double) {
        val current = incarnation
        cluster.clock.after(seconds) { if (incarnation == current) heartbeat() }
    }

    private fun scheduleNextHeartbeat() {
        val current = incarnation
        val at = cluster.clock.now + cluster.reportSeconds * (0.75 + cluster.random.nextDouble() * 0.5)

        fun wait() {
            cluster.clock.after(0.5) {
                if (alive && !heartbeatInFlight && incarnation == current) {
                    if (changed || cluster.clock.now >= at) {
                        heartbeat()
                    } else {
                        wait()
                    }
                }
            }
        }
        wait()
    }

    fun handle(
        path: String,
        body: String,
    ): Pair<Int, String>? {
        if (!alive) return null
        if (hung) {
            heldActions += { handle(path, body) }
            return null
        }
        if (path == "/inspect") return 200 to heartbeatBody().toString()
        val command = Json.parse(body)
        if (!command.has("baton") || !command.has("stint")) return 400 to "{}"
        if (command.path("baton").asLong() < token || command.path("stint").asLong() != agentEpoch) return 409 to heartbeatBody().toString()
        token = command.path("baton").asLong()
        command.path("orders").forEach { execute(it) }
        return 200 to heartbeatBody().toString()
    }

    private fun execute(command: JsonNode) {
        val taskName = command.path("piece").asText()
        val attemptNumber = command.path("try").asInt()
        val key = "$taskName@$attemptNumber"
        when (command.path("verb").asText()) {
            "run" -> {
                if (key !in tasks) start(key, taskName, attemptNumber)
            }

            "halt" -> {
                tasks[key]?.takeIf { it.state != "exited" }?.let { handleStop(it, command.path("windDownS").asDouble()) }
            }

            "reap" -> {
                tasks[key]?.takeIf { it.state == "exited" }?.let { tasks.remove(key) }
            }
        }
    }

    private fun handleStop(
        task: Task,
        graceSeconds: Double,
    ) {
        val saveSeconds = cluster.invariants.spec(task.job)?.saveSeconds ?: 0.0
        val savesWithGang =
            isGang(task) && saveSeconds > 0 && graceSeconds >= saveSeconds &&
                cluster.gangBarrier.requestSave(task.job, task.attemptNumber, task)
        if (savesWithGang || (task.state == "saving" && graceSeconds > 0)) return
        if (!isGang(task) && task.state == "running" && saveSeconds > 0 && graceSeconds >= saveSeconds) return save(task, saveSeconds)
        stop(task)
    }

    /** Saves the progress of [task] outside the machine, unless saves fail, and then stops the task. */
    private fun save(
        task: Task,
        saveSeconds: Double,
    ) {
        task.state = "saving"
        changed = true
        val ranSeconds = cluster.clock.now - task.startedAt
        cluster.clock.after(saveSeconds) {
            whenNotHung {
                if (alive && task.state == "saving" && tasks["${task.taskName}@${task.attemptNumber}"] === task) {
                    task.progressSaved = !cluster.savesFail
                    if (task.progressSaved) cluster.invariants.savedSeconds.merge(task.taskName, ranSeconds / slowness, Double::plus)
                    stop(task)
                }
            }
        }
    }

    private fun stop(task: Task) {
        if (task.state == "running" ||
            (task.state == "saving" && !task.progressSaved)
        ) {
            cluster.invariants.lostSeconds += cluster.clock.now - task.startedAt
        }
        releaseTask(task, false)
        exit(task, "stopped")
        cluster.invariants.stopped(task.taskName)
    }

    private fun exit(
        task: Task,
        cause: String,
    ) {
        task.state = "exited"
        task.cause = cause
        changed = true
    }

    private fun start(
        key: String,
        taskName: String,
        attemptNumber: Int,
    ) {
        val task = Task(taskName, attemptNumber, "fetching")
        tasks[key] = task
        val spec = cluster.invariants.spec(taskName.substringBefore('/'))
        if (spec == null) return exit(task, "unknown")
        if (tasks.values.any { it !== task && it.taskName == taskName && it.state != "exited" }) return exit(task, "in_use")
        val active = tasks.values.filter { it.state != "exited" }
        val cpus =
            active.sumOf {
                cluster.invariants
                    .spec(it.taskName.substringBefore('/'))
                    ?.taskResources
                    ?.cpus ?: 0.0
            }
        if (cpus > cluster.types.getValue(type).cpus + 1e-6) return exit(task, "full")
        cluster.clock.after(cluster.fetchSeconds(this, spec)) {
            images += spec.image
            whenNotHung { fetched(key, task, spec.estimatedRunSeconds) }
        }
    }

    private fun fetched(
        key: String,
        task: Task,
        runSeconds: Double,
    ) {
        if (!alive || tasks[key] !== task || task.state != "fetching") return
        cluster.invariants.started(task.taskName, this)
        if (isGang(task) &&
            !cluster.invariants.hasCompleted(task.taskName)
        ) {
            return cluster.gangBarrier.enter(task.job, task.attemptNumber, task)
        }
        task.state = "running"
        task.startedAt = cluster.clock.now
        changed = true
        val leftSeconds = (runSeconds - (cluster.invariants.savedSeconds[task.taskName] ?: 0.0)).coerceAtLeast(0.0)
        val remainingSeconds = if (cluster.invariants.hasCompleted(task.taskName)) 0.0 else leftSeconds * slowness
        cluster.clock.after(remainingSeconds) { whenNotHung { complete(key, task) } }
    }

    private fun complete(
        key: String,
        task: Task,
    ) {
        if (alive && tasks[key] === task && task.state == "running") {
            releaseTask(task, true)
            exit(task, "done")
        }
    }

    private companion object {
        const val TERM_SHIFT = 20
    }
}
