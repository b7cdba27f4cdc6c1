package burlridge.loopback

import burlridge.core.CallOutcome
import burlridge.core.Effect
import burlridge.core.Input
import burlridge.job.JobSpec
import burlridge.job.JobSpecCodec
import burlridge.job.Priority
import burlridge.job.Resources
import burlridge.json.Json
import burlridge.net.ConnectionBudget
import burlridge.net.EventLoop
import burlridge.net.HttpClient
import burlridge.net.HttpServer
import burlridge.settings.Endpoint
import burlridge.simulation.Clock
import burlridge.simulation.CloudService
import burlridge.simulation.ExecutionHistory
import burlridge.simulation.GangBarrier
import burlridge.simulation.InvariantChecker
import burlridge.simulation.MachineTypeSpec
import burlridge.simulation.SimulationEnvironment
import burlridge.simulation.StateService
import burlridge.simulation.WorkerTimes
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.io.File
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.random.Random

/** Configuration of a [LoopbackCluster] and of the controllers that it runs. */
internal class LoopbackConfig(
    val controllers: Int,
    val machines: Int,
    val times: WorkerTimes,
    val operatorSettings: String?,
    val directory: File,
    val jvmFlags: List<String> = emptyList(),
    val classPath: String = System.getProperty("java.class.path"),
    val maxConnections: Int = 2000,
    val memoryMb: Double = 268.0,
    val writeRps: Double = 25.0,
)

/**
 * Controllers as real processes on loopback. The state service, the cloud, the workers and the users are the stand-ins of the simulation,
 * driven by the real clock. All stand-ins run on one event loop; other threads may access them only through [onLoop].
 */
internal class LoopbackCluster(
    private val config: LoopbackConfig,
    seed: Int,
) : SimulationEnvironment,
    AutoCloseable {
    override val clock = Clock()
    override val random = Random(seed)
    override val members = (0 until config.controllers).map { "drover-$it" }
    override val types = mapOf("small" to MachineTypeSpec(4.0, 16.0, (config.machines + POOLS - 1) / POOLS))
    override val zones = listOf("a", "b")
    override val reportSeconds = config.times.reportSeconds
    override val leaseSeconds = config.times.leaseSeconds
    override val gangWaitSeconds = 30.0
    override val gangPeerSeconds = 4.0
    override val invariants = InvariantChecker(clock, config.times.cancelSeconds, emptyMap())
    override val gangBarrier = GangBarrier(this)
    override val cloud = CloudService(this)
    override val wireName: (String) -> String = { it }
    val state = StateService(clock)
    val history = ExecutionHistory()
    private val loop = EventLoop()
    private val scope = CoroutineScope(loop + SupervisorJob())
    private val startedAt = System.nanoTime()
    private val pendingTasks = ConcurrentLinkedQueue<() -> Unit>()
    private val clients = HashMap<String, HttpClient>()
    private val ports = freePorts(config.controllers * 2 + 2)
    private val stateEndpoint = Endpoint(HOST, ports[config.controllers * 2])
    private val cloudEndpoint = Endpoint(HOST, ports[config.controllers * 2 + 1])
    val controllers = members.mapIndexed { i, member -> ControllerProcess(configOf(member, i)) }

    /** Time at which a worker received the first task start of each term, in seconds of [clock], by term. */
    val firstStartSeconds = HashMap<Long, Double>()

    init {
        invariants.onStart = { task, worker ->
            history.started(task, worker.id, clock.now)
            firstStartSeconds.putIfAbsent(worker.term, clock.now)
        }
        invariants.onEnd = { task, worker -> history.ended(task, worker.id, clock.now) }
        invariants.onStop = { task -> history.stopped(task, clock.now) }
        cloud.bootSeconds = { random.nextDouble() }
        Thread({ runLoop() }, "stand-ins").also { it.isDaemon = true }.start()
        controllers.forEach { it.start() }
    }

    private fun freePorts(count: Int): List<Int> {
        val sockets = List(count) { ServerSocket(0, 1, InetAddress.getByName(HOST)) }
        return sockets.map { it.localPort }.also { sockets.forEach { it.close() } }
    }

    private fun configOf(
        member: String,
        index: Int,
    ): ControllerConfig {
        val platform = File(config.directory, "$member.json").also { it.writeText(platformSettings(member, index)) }
        val operator = config.operatorSettings?.let { text -> File(config.directory, "$member.ini").also { it.writeText(text) } }
        return ControllerConfig(member, serveOn(index), peerOn(index), platform, operator, config.jvmFlags, config.classPath)
    }

    private fun serveOn(index: Int) = Endpoint(HOST, ports[index * 2])

    private fun peerOn(index: Int) = Endpoint(HOST, ports[index * 2 + 1])

    private fun platformSettings(
        member: String,
        index: Int,
    ): String {
        val others =
            members.indices.filter { it != index }.joinToString(",") {
                """{"member":"${members[it]}","zone":"a","endpoint":"${peerOn(it)}"}"""
            }
        return """{"member":"$member","zone":"a","serve_on":"${serveOn(index)}","peer_bind":"${peerOn(index)}","others":[$others],
            "services":{"cloud":"$cloudEndpoint","state":"$stateEndpoint"},
            "params":{"teams":[{"name":"crew","cpus":0,"cpus_max":0}],
            "objectives":[{"kind":"wait","class":"urgent","within_s":10.0,"share":0.9}],
            "workers":{"report_s":$reportSeconds,"lease_s":$leaseSeconds,"cancel_s":${config.times.cancelSeconds}},
            "state":{"rps":200,"write_rps":${config.writeRps},"value_kb":8,"txn_ops":8},"cloud":{"rps":8,"list_lag_s":3},
            "limits":{"cpu_share":0.25,"memory_mb":${config.memoryMb},"max_connections":${config.maxConnections}}}}"""
    }

    private fun runLoop() {
        serve(stateEndpoint) { request, reply -> state.handle(request.method, target(request.path, request.query), request.body, reply) }
        serve(cloudEndpoint) { request, reply -> cloud.handle(target(request.path, request.query), request.body, reply) }
        scope.launch {
            while (true) {
                clock.runUntil((System.nanoTime() - startedAt) / NANOS_PER_SECOND)
                while (true) pendingTasks.poll()?.invoke() ?: break
                invariants.checkCancelledTasks()
                delay(STEP_MILLIS)
            }
        }
        loop.run()
    }

    private fun target(
        path: String,
        query: String,
    ) = if (query.isEmpty()) path else "$path?$query"

    private fun serve(
        endpoint: Endpoint,
        handle: (Input.Request, (Int, String) -> Unit) -> Unit,
    ) {
        lateinit var server: HttpServer
        server =
            HttpServer(loop, ConnectionBudget(MAX_CONNECTIONS), IDLE_TIMEOUT_SECONDS) { request ->
                handle(request) { status, body -> server.respond(Effect.Respond(request.id, status, body, null)) }
            }
        server.serve(endpoint, scope)
    }

    /** Runs [work] on the event loop of the stand-ins and waits for its result. */
    fun <T> onLoop(work: () -> T): T {
        val result = CompletableFuture<T>()
        pendingTasks += {
            try {
                result.complete(work())
            } catch (e: RuntimeException) {
                result.completeExceptionally(e)
            }
        }
        return result.get()
    }

    override fun addressOf(number: Int): String {
        val port = ServerSocket(0, 1, InetAddress.getByName(HOST)).use { it.localPort }
        val endpoint = Endpoint(HOST, port)
        serve(endpoint) { request, reply ->
            cloud.workerAt(endpoint.toString())?.handle(request.path, request.body)?.let { (status, body) -> reply(status, body) }
        }
        return endpoint.toString()
    }

    /** Each worker has its own connections; all users share theirs. */
    private fun clientOf(from: String): HttpClient =
        clients.getOrPut(from) { HttpClient(loop, scope, MAX_CONCURRENT_CALLS, MAX_IDLE_CONNECTIONS, emptySet()) }

    override fun request(
        from: String,
        name: String,
        method: String,
        path: String,
        body: String,
        timeoutSeconds: Double,
        onResult: (Int, String) -> Unit,
    ) {
        val endpoint = serveOn(members.indexOf(name))
        val sentAt = clock.now
        scope.launch {
            val outcome = clientOf(from).call(Effect.HttpCall(0, endpoint, method, path, body.ifEmpty { null }, timeoutSeconds))
            val response = outcome as? CallOutcome.Responded
            if (from == USER && response != null) recordResponse(name, path, body, sentAt, response)
            onResult(response?.status ?: 0, response?.body.orEmpty())
        }
    }

    private fun recordResponse(
        member: String,
        path: String,
        body: String,
        sentAt: Double,
        response: CallOutcome.Responded,
    ) {
        val job = if (path == "/api/jobs") Json.parseOrNull(body)?.path("id")?.asText() else path.split('/').getOrNull(3)
        history.userResponses +=
            ExecutionHistory.UserResponse(job.orEmpty(), member, response.status, jobStateOf(response.body), sentAt, clock.now)
    }

    private fun jobStateOf(body: String): String? =
        Json
            .parseOrNull(body)
            ?.path("standing")
            ?.takeIf { it.isTextual }
            ?.asText()

    // --- users

    private val finished = HashSet<String>()
    private val submitted = LinkedHashSet<String>()
    val unfinished: Set<String> get() = submitted - finished
    val jobs: Set<String> get() = submitted

    fun submit(spec: JobSpec) {
        invariants.submitted(spec)
        submitted += spec.id
        trySubmit(spec)
    }

    private fun trySubmit(spec: JobSpec) {
        request(USER, members.random(random), "POST", "/api/jobs", JobSpecCodec.encode(spec).toString(), SUBMIT_SECONDS) { status, _ ->
            if (status == 200 || status == 201) poll(spec) else clock.after(1.0) { trySubmit(spec) }
        }
    }

    private fun poll(spec: JobSpec) {
        clock.after(1.0 + random.nextDouble()) {
            request(USER, members.random(random), "GET", "/api/jobs/${spec.id}", "", POLL_SECONDS) { status, body ->
                if (status == 200 && jobStateOf(body) == "done") finished += spec.id else poll(spec)
            }
        }
    }

    /** Queries every controller once more for the state of every job. */
    fun queryAllControllers() {
        submitted.forEach { job -> members.forEach { request(USER, it, "GET", "/api/jobs/$job", "", POLL_SECONDS) { _, _ -> } } }
    }

    fun job(
        number: Int,
        tasks: Int,
        runSeconds: Double,
    ): JobSpec =
        JobSpec(
            "j-%06d".format(number),
            "urgent",
            "crew",
            Priority.HIGH,
            tasks,
            Resources(1.0, 0.0, 2.0),
            "img-1",
            1.0,
            null,
            null,
            oneZone = false,
            spread = false,
            allowsSpot = true,
            estimatedRunSeconds = runSeconds,
            checkpointIntervalSeconds = 0.0,
            saveSeconds = 0.0,
            deadlineSeconds = null,
        )

    // --- observation from outside

    /** Returns the leader according to the leader row, with its term; null if there is no such row. */
    fun leader(): Pair<String, Long>? {
        val row = state.value("leader") ?: return null
        return row.path("member").asText() to row.path("term").asLong()
    }

    /** Returns the number of workers that have seen [term] or a later one. */
    fun workersAtTerm(term: Long): Int = cloud.machineIds().count { (cloud.worker(it)?.term ?: 0L) >= term }

    fun process(member: String): ControllerProcess = controllers.first { it.config.member == member }

    override fun close() {
        controllers.forEach { it.kill() }
        pendingTasks += { loop.stop() }
    }

    private companion object {
        const val HOST = "127.0.0.1"
        const val USER = "user"

        /** Number of combinations of type, zone and kind among which the machines are divided. */
        const val POOLS = 4
        const val NANOS_PER_SECOND = 1e9
        const val STEP_MILLIS = 5L
        const val MAX_CONNECTIONS = 20_000
        const val IDLE_TIMEOUT_SECONDS = 600.0
        const val MAX_CONCURRENT_CALLS = 2_000
        const val MAX_IDLE_CONNECTIONS = 64
        const val SUBMIT_SECONDS = 5.0
        const val POLL_SECONDS = 2.0
    }
}
