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

/** The size of a [LoopbackCluster] and what its controllers run with. */
internal class LoopbackPlan(
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
 * Controllers as real processes on loopback, among the stand-ins of the simulation driven by the real clock. All stand-ins live on one
 * event loop; [onLoop] is the only way in from outside.
 */
internal class LoopbackCluster(
    private val plan: LoopbackPlan,
    seed: Int,
) : SimulationEnvironment,
    AutoCloseable {
    override val clock = Clock()
    override val random = Random(seed)
    override val members = (0 until plan.controllers).map { "drover-$it" }
    override val types = mapOf("small" to MachineTypeSpec(4.0, 16.0, (plan.machines + POOLS - 1) / POOLS))
    override val zones = listOf("a", "b")
    override val reportSeconds = plan.times.reportSeconds
    override val leaseSeconds = plan.times.leaseSeconds
    override val gangWaitSeconds = 30.0
    override val gangPeerSeconds = 4.0
    override val invariants = InvariantChecker(clock, plan.times.cancelSeconds, emptyMap())
    override val gangBarrier = GangBarrier(this)
    override val cloud = CloudService(this)
    override val word: (String) -> String = { it }
    val state = StateService(clock)
    val history = ExecutionHistory()
    private val loop = EventLoop()
    private val scope = CoroutineScope(loop + SupervisorJob())
    private val startedAt = System.nanoTime()
    private val commands = ConcurrentLinkedQueue<() -> Unit>()
    private val clients = HashMap<String, HttpClient>()
    private val ports = freePorts(plan.controllers * 2 + 2)
    private val stateAt = Endpoint(HOST, ports[plan.controllers * 2])
    private val cloudAt = Endpoint(HOST, ports[plan.controllers * 2 + 1])
    val controllers = members.mapIndexed { i, member -> ControllerProcess(planOf(member, i)) }

    /** When the first start of each term came to a worker, in seconds of [clock]. */
    val firstStarts = HashMap<Long, Double>()

    init {
        invariants.onStart = { task, worker ->
            history.started(task, worker.id, clock.now)
            firstStarts.putIfAbsent(worker.term, clock.now)
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

    private fun planOf(
        member: String,
        index: Int,
    ): ControllerPlan {
        val platform = File(plan.directory, "$member.json").also { it.writeText(platformSettings(member, index)) }
        val operator = plan.operatorSettings?.let { text -> File(plan.directory, "$member.ini").also { it.writeText(text) } }
        return ControllerPlan(member, serveOn(index), peerOn(index), platform, operator, plan.jvmFlags, plan.classPath)
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
            "services":{"cloud":"$cloudAt","state":"$stateAt"},
            "params":{"teams":[{"name":"crew","cpus":0,"cpus_max":0}],
            "objectives":[{"kind":"wait","class":"urgent","within_s":10.0,"share":0.9}],
            "workers":{"report_s":$reportSeconds,"lease_s":$leaseSeconds,"cancel_s":${plan.times.cancelSeconds}},
            "state":{"rps":200,"write_rps":${plan.writeRps},"value_kb":8,"txn_ops":8},"cloud":{"rps":8,"list_lag_s":3},
            "limits":{"cpu_share":0.25,"memory_mb":${plan.memoryMb},"max_connections":${plan.maxConnections}}}}"""
    }

    private fun runLoop() {
        serve(stateAt) { request, reply -> state.handle(request.method, target(request.path, request.query), request.body, reply) }
        serve(cloudAt) { request, reply -> cloud.handle(target(request.path, request.query), request.body, reply) }
        scope.launch {
            while (true) {
                clock.runUntil((System.nanoTime() - startedAt) / NANOS_PER_SECOND)
                while (true) commands.poll()?.invoke() ?: break
                invariants.sweep()
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
        at: Endpoint,
        handle: (Input.Request, (Int, String) -> Unit) -> Unit,
    ) {
        lateinit var server: HttpServer
        server =
            HttpServer(loop, ConnectionBudget(CONNECTIONS), IDLE_SECONDS) { request ->
                handle(request) { status, body -> server.respond(Effect.Respond(request.id, status, body, null)) }
            }
        server.serve(at, scope)
    }

    /** Runs [work] among the stand-ins and waits for what it gives. */
    fun <T> onLoop(work: () -> T): T {
        val result = CompletableFuture<T>()
        commands += {
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
        val at = Endpoint(HOST, port)
        serve(at) { request, reply ->
            cloud.workerAt(at.toString())?.handle(request.path, request.body)?.let { (status, body) -> reply(status, body) }
        }
        return at.toString()
    }

    /** Each worker has connections of its own; users share theirs. */
    private fun clientOf(from: String): HttpClient = clients.getOrPut(from) { HttpClient(loop, scope, AT_ONCE, KEPT, emptySet()) }

    override fun request(
        from: String,
        name: String,
        method: String,
        path: String,
        body: String,
        timeoutSeconds: Double,
        onResult: (Int, String) -> Unit,
    ) {
        val at = serveOn(members.indexOf(name))
        val askedAt = clock.now
        scope.launch {
            val outcome = clientOf(from).call(Effect.HttpCall(0, at, method, path, body.ifEmpty { null }, timeoutSeconds))
            val answer = outcome as? CallOutcome.Responded
            if (from == USER && answer != null) remember(name, path, body, askedAt, answer)
            onResult(answer?.status ?: 0, answer?.body.orEmpty())
        }
    }

    private fun remember(
        member: String,
        path: String,
        body: String,
        askedAt: Double,
        answer: CallOutcome.Responded,
    ) {
        val job = if (path == "/api/jobs") Json.parseOrNull(body)?.path("id")?.asText() else path.split('/').getOrNull(3)
        history.told += ExecutionHistory.Told(job.orEmpty(), member, answer.status, standing(answer.body), askedAt, clock.now)
    }

    private fun standing(body: String): String? =
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
        attempt(spec)
    }

    private fun attempt(spec: JobSpec) {
        request(USER, members.random(random), "POST", "/api/jobs", JobSpecCodec.encode(spec).toString(), SUBMIT_SECONDS) { status, _ ->
            if (status == 200 || status == 201) poll(spec) else clock.after(1.0) { attempt(spec) }
        }
    }

    private fun poll(spec: JobSpec) {
        clock.after(1.0 + random.nextDouble()) {
            request(USER, members.random(random), "GET", "/api/jobs/${spec.id}", "", POLL_SECONDS) { status, body ->
                if (status == 200 && standing(body) == "done") finished += spec.id else poll(spec)
            }
        }
    }

    /** Asks every controller about every job once more. */
    fun askEverywhere() {
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

    // --- what can be seen from outside

    /** The leader by the state service's row, with its term; null for none. */
    fun leader(): Pair<String, Long>? {
        val row = state.value("leader") ?: return null
        return row.path("member").asText() to row.path("term").asLong()
    }

    /** How many workers have seen [term] or a later one. */
    fun answered(term: Long): Int = cloud.names().count { (cloud.worker(it)?.term ?: 0L) >= term }

    fun process(member: String): ControllerProcess = controllers.first { it.plan.member == member }

    override fun close() {
        controllers.forEach { it.kill() }
        commands += { loop.stop() }
    }

    private companion object {
        const val HOST = "127.0.0.1"
        const val USER = "user"

        /** Types, zones and kinds between which the machines are divided. */
        const val POOLS = 4
        const val NANOS_PER_SECOND = 1e9
        const val STEP_MILLIS = 5L
        const val CONNECTIONS = 20_000
        const val IDLE_SECONDS = 600.0
        const val AT_ONCE = 2_000
        const val KEPT = 64
        const val SUBMIT_SECONDS = 5.0
        const val POLL_SECONDS = 2.0
    }
}
