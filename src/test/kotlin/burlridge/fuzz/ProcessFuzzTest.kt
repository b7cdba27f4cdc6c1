package burlridge.fuzz

import burlridge.loopback.ControllerProcess
import burlridge.loopback.LoopbackCluster
import burlridge.loopback.LoopbackConfig
import burlridge.loopback.await
import burlridge.message.PeerMessage
import burlridge.settings.Endpoint
import burlridge.simulation.WorkerTimes
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.io.File
import java.io.IOException
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.nio.ByteBuffer
import kotlin.concurrent.thread
import kotlin.random.Random

/**
 * Seeded fuzz of three real controllers with the heap of the deploy file. No input ends one, and a job accepted before is done. The long
 * form, by hand: `mvn test -Dtest=ProcessFuzzTest -Dfuzz.seconds=600 -Dfuzz.seed=2`.
 */
internal class ProcessFuzzTest {
    private val seconds = System.getProperty("fuzz.seconds")?.toInt() ?: 4
    private val random = Random(System.getProperty("fuzz.seed")?.toInt() ?: 1)
    private val mutator = InputMutator(random)

    private fun withCluster(
        directory: File,
        disturb: (LoopbackCluster) -> Unit,
    ) {
        val times = WorkerTimes(reportSeconds = 1.0, leaseSeconds = 6.0, cancelSeconds = 14.0)
        val flags = listOf("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xms24m", "-Xmx80m", "-Xss384k", "-XX:MaxMetaspaceSize=56m")
        val config = LoopbackConfig(3, machines = 8, times, operatorSettings = "[failover]\n[balance]\n", directory, flags)
        LoopbackCluster(config, 1).use { cluster ->
            await("the machines are up") { cluster.workersAtTerm(1) >= 6 }
            cluster.onLoop { cluster.submit(cluster.job(1, 2, runSeconds = 2.0)) }
            disturb(cluster)
            assertEquals(emptyList<String>(), cluster.controllers.filter { !it.isUp }.map { it.lastLines() }, "ended")
            cluster.onLoop { cluster.submit(cluster.job(2, 2, runSeconds = 2.0)) }
            await("the jobs are done") { cluster.onLoop { cluster.unfinished.isEmpty() && cluster.jobs.size == 2 }.takeIf { it } }
            assertEquals(emptyList<String>(), cluster.onLoop { cluster.invariants.violations })
            val errors =
                cluster.controllers
                    .flatMap { it.log }
                    .map { it.text }
                    .filter { it.contains("ERROR") }
            assertEquals(emptyList<String>(), errors)
        }
    }

    private fun ControllerProcess.lastLines() = config.member + ": " + log.toList().takeLast(SHOWN_LINES).joinToString("\n") { it.text }

    private fun connect(endpoint: Endpoint) =
        Socket().apply {
            soTimeout = TIMEOUT_MILLIS
            connect(InetSocketAddress(endpoint.host, endpoint.port), TIMEOUT_MILLIS)
        }

    /** Sends [bytes] and waits for an answer if [isAnswered]; a refusal, a reset or no answer are as good as one. */
    private fun exchange(
        endpoint: Endpoint,
        bytes: ByteArray,
        isAnswered: Boolean,
    ) {
        try {
            connect(endpoint).use { socket ->
                socket.soTimeout = ANSWER_MILLIS
                socket.getOutputStream().write(bytes)
                if (isAnswered) socket.getInputStream().read(ByteArray(ANSWER_BYTES))
            }
        } catch (_: IOException) {
            // The controller has closed the connection, or waits for the rest.
        }
    }

    private fun request(
        method: String,
        path: String,
        body: ByteArray,
    ) = "$method $path HTTP/1.1\r\nHost: a:1\r\nContent-Length: ${body.size}\r\n\r\n".encodeToByteArray() + body

    private fun randomRequest(): ByteArray {
        val (method, path) = (Examples.targets + listOf("POST" to "/api/jobs", "POST" to "/agent/beat")).random(random)
        val example =
            if (path ==
                "/agent/beat"
            ) {
                Examples.HEARTBEAT
            } else {
                Examples.JOB.replace("j-000009", "j-8%05d".format(random.nextInt(JOB_IDS)))
            }
        val text = if (path == "/agent/beat") mutator.mutate(example).replace(TOKEN, "\"baton\":0") else mutator.mutate(example)
        // Drains of members are meant to take them out of service, and jobs of others must not be cancelled.
        if ("drain" in path) return request("GET", path, text.encodeToByteArray())
        return when (random.nextInt(4)) {
            0 -> mutator.mutate(request(method, path, text.take(MAX_SHORT).encodeToByteArray()))
            1 -> request(method, path, mutator.mutate(text.take(MAX_SHORT).encodeToByteArray()))
            else -> request(method, path, text.encodeToByteArray())
        }
    }

    private fun randomFrame(): ByteArray {
        val message =
            PeerMessage.encode(
                PeerMessage.ForwardedRequest("drover-1", random.nextLong(), "POST", "/api/jobs", mutator.mutate(Examples.JOB)),
            )
        val frame = if (random.nextInt(2) == 0) message else mutator.mutate(message.take(MAX_SHORT).toByteArray())
        val size = if (random.nextInt(8) == 0) random.nextInt() else frame.size
        return ByteBuffer
            .allocate(Int.SIZE_BYTES + frame.size)
            .putInt(size)
            .put(frame)
            .array()
    }

    @Test
    fun `mutated requests and messages end no controller`(
        @TempDir directory: File,
    ) = withCluster(directory) { cluster ->
        val until = System.nanoTime() + seconds * NANOS_PER_SECOND
        var inputs = 0
        while (System.nanoTime() < until) {
            val target = cluster.controllers.random(random).config
            if (random.nextInt(4) >
                0
            ) {
                exchange(target.serveOn, randomRequest(), isAnswered = true)
            } else {
                exchange(target.peerOn, randomFrame(), false)
            }
            inputs++
        }
        println("fuzz: $inputs inputs in $seconds s")
        assertTrue(inputs > seconds, "only $inputs inputs were sent")
    }

    /** Guards against ends for memory: parts of requests and frames, a head without end, machines that do not exist. */
    @Test
    fun `floods of unfinished and invented input end no controller`(
        @TempDir directory: File,
    ) = withCluster(directory) { cluster ->
        for (controller in cluster.controllers) {
            val (serve, peer) = controller.config.serveOn to controller.config.peerOn
            holdOpen(serve, request("POST", "/api/jobs", ByteArray(BODY_BYTES)).copyOf(BODY_BYTES))
            holdOpen(peer, ByteBuffer.allocate(FRAME_BYTES).putInt(FRAME_BYTES).array())
            val head = "GET /ready HTTP/1.1\r\n" + "x: ${"y".repeat(HEADER_BYTES)}\r\n".repeat(HEADERS)
            exchange(serve, head.encodeToByteArray(), isAnswered = true)
            sendInvented(serve)
        }
    }

    private fun holdOpen(
        endpoint: Endpoint,
        part: ByteArray,
    ) {
        val open = ArrayList<Socket>()
        try {
            repeat(CONNECTIONS) { open += connect(endpoint).also { it.getOutputStream().write(part) } }
        } catch (_: IOException) {
            // The controller refuses more.
        }
        assertTrue(open.size > MIN_CONNECTIONS, "only ${open.size} connections were opened")
        open.forEach { it.close() }
    }

    private fun sendInvented(endpoint: Endpoint) {
        val tasks = (0 until TASKS).joinToString(",") { """{"piece":"j-900000/$it","try":1,"standing":"running"}""" }
        repeat(MACHINES) { i ->
            val name = if (i % 2 == 0) "m-9%05d".format(i) else "m$i" + "x".repeat(LONG_NAME)
            val pieces = if (i % 2 == 0) tasks else ""
            val body = """{"drover":"$name","addr":"127.0.0.1:1","stint":1,"tally":1,"baton":0,"pieces":[$pieces]}"""
            exchange(endpoint, request("POST", "/agent/beat", body.encodeToByteArray()), isAnswered = true)
        }
    }

    /** Guards against an end through a worker's address: whoever reports as a worker is called there. */
    @Test
    fun `workers that answer commands without end end no controller`(
        @TempDir directory: File,
    ) = withCluster(directory) { cluster ->
        ServerSocket(0).use { server ->
            thread(isDaemon = true) { answerWithoutEnd(server) }
            val until = System.nanoTime() + seconds * NANOS_PER_SECOND
            var tally = 1
            while (System.nanoTime() < until) {
                repeat(ENDLESS_WORKERS) { i ->
                    val task = """{"piece":"j-900000/$i","try":1,"standing":"running"}"""
                    val identity = """"drover":"m-8%05d","addr":"127.0.0.1:${server.localPort}"""".format(i)
                    val body = """{$identity,"stint":1,"tally":$tally,"baton":0,"pieces":[$task]}"""
                    cluster.controllers.forEach {
                        exchange(
                            it.config.serveOn,
                            request("POST", "/agent/beat", body.encodeToByteArray()),
                            true,
                        )
                    }
                }
                tally++
            }
        }
    }

    private fun answerWithoutEnd(server: ServerSocket) {
        val endless = ("x: " + "y".repeat(HEADER_BYTES) + "\r\n").repeat(HEADERS).encodeToByteArray()
        while (!server.isClosed) {
            try {
                val socket = server.accept()
                thread(isDaemon = true) {
                    try {
                        socket.use {
                            it.getOutputStream().write("HTTP/1.1 200 OK\r\n".encodeToByteArray())
                            repeat(ENDLESS_ROUNDS) { _ -> it.getOutputStream().write(endless) }
                        }
                    } catch (_: IOException) {
                        // The controller has given up.
                    }
                }
            } catch (_: IOException) {
                return
            }
        }
    }

    private companion object {
        /** A token above every term deposes the leader (issue 47). */
        val TOKEN = Regex("\"baton\"\\s*:\\s*[^,}]*")
        const val NANOS_PER_SECOND = 1_000_000_000L
        const val TIMEOUT_MILLIS = 1_000
        const val ANSWER_MILLIS = 50
        const val ANSWER_BYTES = 1_024
        const val SHOWN_LINES = 5
        const val JOB_IDS = 200
        const val MAX_SHORT = 2_000
        const val BODY_BYTES = 60_000
        const val FRAME_BYTES = 200_000
        const val HEADER_BYTES = 1_000
        const val HEADERS = 2_000
        const val CONNECTIONS = 900
        const val MIN_CONNECTIONS = 60
        const val TASKS = 1_000
        const val MACHINES = 800
        const val LONG_NAME = 60_000
        const val ENDLESS_WORKERS = 20
        const val ENDLESS_ROUNDS = 10
    }
}
