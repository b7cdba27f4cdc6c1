package burlridge.simulation

import burlridge.job.JobSpec
import burlridge.json.Json
import com.fasterxml.jackson.databind.JsonNode

/** A stand-in for a worker: reports, executes commands, keeps its lease. */
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
        val run: Int,
        var standing: String,
        var cause: String? = null,
        var kept: Boolean = false,
    ) : GangBarrier.Seat {
        val job: String get() = taskName.substringBefore('/')
        var startedAt = 0.0
        val onMachine: Boolean get() = standing == "running" || standing == "gathering" || standing == "saving"
        override val slowness: Double get() = this@Worker.slowness

        override fun becomes(standing: String) {
            this.standing = standing
            changed = true
        }

        override fun exits(
            cause: String,
            kept: Boolean,
        ) {
            if (!alive || tasks["$taskName@$run"] !== this || standing == "exited") return
            this.kept = kept
            cluster.invariants.ended(taskName, this@Worker, cause == "done")
            exit(this, cause)
        }
    }

    private var agentEpoch = 1L
    private var sequence = 0L
    private var token = 0L
    private val tasks = LinkedHashMap<String, Task>()
    private var node = cluster.random.nextInt(cluster.members.size)
    private var answeredSentAt = cluster.clock.now
    private var alive = true

    /** How many times as long as usual its tasks take. */
    var slowness = 1.0
    private var inFlight = false
    private var changed = false

    /** Images that it has fetched. */
    val images = HashSet<String>()

    /** The term of the highest token that it has seen. */
    val term: Long get() = token shr TERM_SHIFT

    fun boot() {
        heartbeat()
        watchLease()
    }

    /** Back at once with nothing on it, before anyone can have noticed. */
    fun restart() {
        tasks.values.forEach { leave(it, false) }
        tasks.clear()
        agentEpoch++
        answeredSentAt = cluster.clock.now
        changed = true
    }

    private var recalledAt: Double? = null

    /** The cloud takes the machine back after [seconds], and says so. */
    fun recall(seconds: Double) {
        recalledAt = cluster.clock.now + seconds
        changed = true
        cluster.clock.after(seconds) { cluster.cloud.take(id) }
    }

    fun has(taskName: String): Boolean = tasks.values.any { it.taskName == taskName && it.standing != "exited" }

    /** Whether [spec] might start here now. */
    fun hasRoomFor(spec: JobSpec): Boolean {
        val active = tasks.values.filter { it.standing != "exited" }
        val used =
            active.sumOf { t ->
                cluster.invariants
                    .spec(t.job)
                    ?.taskResources
                    ?.cpus ?: 0.0
            }
        val fits = used + spec.taskResources.cpus <= cluster.types.getValue(type).cpus + 1e-6
        return alive && !hung && token > 0 && recalledAt == null && fits && (spec.allowsSpot || !spot) &&
            (spec.zone == null || spec.zone == zone)
    }

    private var hungUntil = 0.0
    private val hung: Boolean get() = cluster.clock.now < hungUntil
    private val held = ArrayList<() -> Unit>()

    /** It stands still with all that is on it; what comes meanwhile is carried out when it goes on. */
    fun hang(seconds: Double) {
        hungUntil = cluster.clock.now + seconds
        cluster.clock.after(seconds + 0.001) {
            if (alive) {
                expire()
                held.toList().also { held.clear() }.forEach { it() }
            }
        }
    }

    /** Now, or when it goes on. */
    private fun whenAwake(work: () -> Unit) {
        if (hung) held += work else work()
    }

    fun kill() {
        alive = false
        tasks.values.forEach { leave(it, false) }
        tasks.clear()
    }

    private fun watchLease() {
        cluster.clock.after(0.1) {
            if (alive) {
                if (!hung) expire()
                watchLease()
            }
        }
    }

    private fun expire() {
        if (cluster.clock.now <= answeredSentAt + cluster.leaseSeconds) return
        tasks.values.forEach { leave(it, false) }
        tasks.clear()
        agentEpoch++
        answeredSentAt = cluster.clock.now
    }

    private fun leave(
        task: Task,
        done: Boolean,
    ) {
        if (task.onMachine) cluster.invariants.ended(task.taskName, this, done)
        if (task.onMachine && isGang(task)) cluster.gangBarrier.leaves(task.job, task.run, task)
    }

    private fun isGang(task: Task): Boolean = cluster.invariants.spec(task.job)?.gang == true

    private fun report(): JsonNode =
        Json.obj {
            put("drover", id)
            put("addr", address)
            put("breed", type)
            put("yard", zone)
            put("loaners", spot)
            put("stint", agentEpoch)
            put("tally", ++sequence)
            put("baton", token)
            recalledAt?.let { put("recallS", it - cluster.clock.now) }
            val list = putArray("pieces")
            tasks.values.forEach { t ->
                list.addObject().put("piece", t.taskName).put("try", t.run).put("standing", cluster.word(t.standing)).also { o ->
                    t.cause?.let { o.put("cause", cluster.word(it)) }
                    if (t.kept) o.put("kept", true)
                }
            }
        }

    private fun heartbeat() {
        if (!alive || inFlight) return
        if (hung) return whenAwake { heartbeat() }
        inFlight = true
        changed = false
        val sentAt = cluster.clock.now
        val sentSession = agentEpoch
        val name = cluster.members[node]
        cluster.request(id, name, "POST", "/agent/beat", report().toString(), 4.0) { status, body ->
            inFlight = false
            if (!alive) return@request
            if (hung) return@request whenAwake { nextBeat() }
            val answer = Json.parseOrNull(body)
            when (status) {
                200 -> {
                    if (sentSession == agentEpoch && answer != null && answer.path("baton").asLong(-1) >= token) {
                        token = answer.path("baton").asLong()
                        answeredSentAt = sentAt
                        answer.path("orders").forEach { execute(it) }
                    }
                    nextBeat()
                }

                421 -> {
                    val herder = cluster.members.indexOf(answer?.path("herder")?.asText(""))
                    val known = herder >= 0 && herder != node
                    node = if (known) herder else (node + 1) % cluster.members.size
                    cluster.clock.after(if (known) cluster.random.nextDouble() * 0.5 else 1.0) { heartbeat() }
                }

                else -> {
                    node = (node + 1) % cluster.members.size
                    cluster.clock.after(1.0) { heartbeat() }
                }
            }
        }
    }

    private fun nextBeat() {
        val at = cluster.clock.now + cluster.reportSeconds * (0.75 + cluster.random.nextDouble() * 0.5)

        fun wait() {
            cluster.clock.after(0.5) {
                if (alive && !inFlight) {
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
            held += { handle(path, body) }
            return null
        }
        if (path == "/inspect") return 200 to report().toString()
        val command = Json.parse(body)
        if (!command.has("baton") || !command.has("stint")) return 400 to "{}"
        if (command.path("baton").asLong() < token || command.path("stint").asLong() != agentEpoch) return 409 to report().toString()
        token = command.path("baton").asLong()
        command.path("orders").forEach { execute(it) }
        return 200 to report().toString()
    }

    private fun execute(order: JsonNode) {
        val taskName = order.path("piece").asText()
        val run = order.path("try").asInt()
        val key = "$taskName@$run"
        when (order.path("verb").asText()) {
            "run" -> {
                if (key !in tasks) start(key, taskName, run)
            }

            "halt" -> {
                tasks[key]?.takeIf { it.standing != "exited" }?.let { halt(it, order.path("windDownS").asDouble()) }
            }

            "reap" -> {
                tasks[key]?.takeIf { it.standing == "exited" }?.let { tasks.remove(key) }
            }
        }
    }

    private fun halt(
        task: Task,
        graceSeconds: Double,
    ) {
        val saveSeconds = cluster.invariants.spec(task.job)?.saveSeconds ?: 0.0
        val saves = isGang(task) && saveSeconds > 0 && graceSeconds >= saveSeconds && cluster.gangBarrier.saves(task.job, task.run, task)
        if (saves || (task.standing == "saving" && graceSeconds > 0)) return
        if (!isGang(task) && task.standing == "running" && saveSeconds > 0 && graceSeconds >= saveSeconds) return save(task, saveSeconds)
        stop(task)
    }

    /** How far a task had come is kept outside the machine, unless the save fails. */
    private fun save(
        task: Task,
        saveSeconds: Double,
    ) {
        task.standing = "saving"
        changed = true
        val ranSeconds = cluster.clock.now - task.startedAt
        cluster.clock.after(saveSeconds) {
            whenAwake {
                if (alive && task.standing == "saving" && tasks["${task.taskName}@${task.run}"] === task) {
                    task.kept = !cluster.savesFail
                    if (task.kept) cluster.invariants.savedSeconds.merge(task.taskName, ranSeconds / slowness, Double::plus)
                    stop(task)
                }
            }
        }
    }

    private fun stop(task: Task) {
        if (task.standing == "running" ||
            (task.standing == "saving" && !task.kept)
        ) {
            cluster.invariants.lostSeconds += cluster.clock.now - task.startedAt
        }
        leave(task, false)
        exit(task, "stopped")
        cluster.invariants.stopped(task.taskName)
    }

    private fun exit(
        task: Task,
        cause: String,
    ) {
        task.standing = "exited"
        task.cause = cause
        changed = true
    }

    private fun start(
        key: String,
        taskName: String,
        run: Int,
    ) {
        val task = Task(taskName, run, "fetching")
        tasks[key] = task
        val spec = cluster.invariants.spec(taskName.substringBefore('/'))
        if (spec == null) return exit(task, "unknown")
        if (tasks.values.any { it !== task && it.taskName == taskName && it.standing != "exited" }) return exit(task, "in_use")
        val active = tasks.values.filter { it.standing != "exited" }
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
            whenAwake { fetched(key, task, spec.estimatedRunSeconds) }
        }
    }

    private fun fetched(
        key: String,
        task: Task,
        runSeconds: Double,
    ) {
        if (!alive || tasks[key] !== task || task.standing != "fetching") return
        cluster.invariants.started(task.taskName, this)
        if (isGang(task) && !cluster.invariants.hasCompleted(task.taskName)) return cluster.gangBarrier.enter(task.job, task.run, task)
        task.standing = "running"
        task.startedAt = cluster.clock.now
        changed = true
        val leftSeconds = (runSeconds - (cluster.invariants.savedSeconds[task.taskName] ?: 0.0)).coerceAtLeast(0.0)
        val need = if (cluster.invariants.hasCompleted(task.taskName)) 0.0 else leftSeconds * slowness
        cluster.clock.after(need) { whenAwake { complete(key, task) } }
    }

    private fun complete(
        key: String,
        task: Task,
    ) {
        if (alive && tasks[key] === task && task.standing == "running") {
            leave(task, true)
            exit(task, "done")
        }
    }

    private companion object {
        const val TERM_SHIFT = 20
    }
}
