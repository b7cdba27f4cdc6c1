package burlridge.loopback

import burlridge.settings.Endpoint
import java.io.File
import java.io.IOException
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit

/** Start configuration of a controller of a [LoopbackCluster]. */
internal class ControllerConfig(
    val member: String,
    val serveOn: Endpoint,
    val peerOn: Endpoint,
    val platformFile: File,
    /** File with the operator settings; null for none. */
    val operatorFile: File?,
    val jvmFlags: List<String>,
    /** Class path of the version to run. */
    val classPath: String,
)

/** A controller that runs as a separate process on this machine, with its log. It can be killed, frozen, resumed and terminated. */
internal class ControllerProcess(
    val config: ControllerConfig,
) {
    class Line(
        val nanoTime: Long,
        val text: String,
    )

    val log = ConcurrentLinkedQueue<Line>()
    private var process: Process? = null
    private var reader: Thread? = null
    var isFrozen: Boolean = false
        private set
    val isUp: Boolean get() = process?.isAlive == true
    private val pid: Long get() = process?.pid() ?: 0

    fun start() {
        val java = File(System.getProperty("java.home"), "bin/java").path
        val settings = config.operatorFile?.let { listOf("--settings", it.path) }.orEmpty()
        val command =
            listOf(java) + config.jvmFlags +
                listOf("-cp", config.classPath, "burlridge.app.MainKt", "serve", "--config", config.platformFile.path) +
                settings
        val builder = ProcessBuilder(command).redirectOutput(ProcessBuilder.Redirect.DISCARD)
        builder.environment()["LOG_LEVEL"] = "info"
        val started = builder.start()
        process = started
        isFrozen = false
        reader =
            Thread {
                try {
                    started.errorStream.bufferedReader().useLines { lines -> lines.forEach { log += Line(System.nanoTime(), it) } }
                } catch (_: IOException) {
                    // The process was killed, so there is nothing more to read.
                }
            }.also {
                it.isDaemon = true
                it.start()
            }
    }

    /** Kills the process immediately, as a power failure would. */
    fun kill() {
        process?.destroyForcibly()?.waitFor(KILL_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        isFrozen = false
    }

    fun freeze() {
        signal("STOP")
        isFrozen = true
    }

    fun resume() {
        signal("CONT")
        isFrozen = false
    }

    /** Asks the process to stop; returns whether it has exited within [timeoutSeconds]. */
    fun terminate(timeoutSeconds: Long): Boolean {
        val running = process ?: return true
        running.destroy()
        return running.waitFor(timeoutSeconds, TimeUnit.SECONDS)
    }

    private fun signal(name: String) {
        ProcessBuilder("kill", "-$name", pid.toString()).start().waitFor()
    }

    /** CPU time used so far, in seconds. */
    fun cpuSeconds(): Double =
        process
            ?.info()
            ?.totalCpuDuration()
            ?.orElse(null)
            ?.toNanos()
            ?.div(NANOS_PER_SECOND) ?: 0.0

    fun residentMb(): Double =
        File("/proc/$pid/status").takeIf { it.exists() }?.readLines()?.firstOrNull { it.startsWith("VmRSS:") }?.let { line ->
            line.filter(Char::isDigit).toDouble() / KB_PER_MB
        } ?: 0.0

    private companion object {
        const val KILL_TIMEOUT_SECONDS = 10L
        const val NANOS_PER_SECOND = 1e9
        const val KB_PER_MB = 1024
    }
}
