package burlridge.loopback

import burlridge.settings.Endpoint
import java.io.File
import java.io.IOException
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit

/** What a controller of a [LoopbackCluster] is started with. */
internal class ControllerPlan(
    val member: String,
    val serveOn: Endpoint,
    val peerOn: Endpoint,
    val platformFile: File,
    /** The operators' own settings; null for none. */
    val operatorFile: File?,
    val jvmFlags: List<String>,
    /** Class path of the version that is to run. */
    val classPath: String,
)

/** A controller as a process of its own on this machine, with its log; it can be killed, frozen, woken and asked to stop. */
internal class ControllerProcess(
    val plan: ControllerPlan,
) {
    class Line(
        val atNs: Long,
        val text: String,
    )

    val log = ConcurrentLinkedQueue<Line>()
    private var process: Process? = null
    private var reader: Thread? = null
    var frozen: Boolean = false
        private set
    val isUp: Boolean get() = process?.isAlive == true
    private val pid: Long get() = process?.pid() ?: 0

    fun start() {
        val java = File(System.getProperty("java.home"), "bin/java").path
        val settings = plan.operatorFile?.let { listOf("--settings", it.path) }.orEmpty()
        val command =
            listOf(java) + plan.jvmFlags +
                listOf("-cp", plan.classPath, "burlridge.app.MainKt", "serve", "--config", plan.platformFile.path) +
                settings
        val builder = ProcessBuilder(command).redirectOutput(ProcessBuilder.Redirect.DISCARD)
        builder.environment()["LOG_LEVEL"] = "info"
        val started = builder.start()
        process = started
        frozen = false
        reader =
            Thread {
                try {
                    started.errorStream.bufferedReader().useLines { lines -> lines.forEach { log += Line(System.nanoTime(), it) } }
                } catch (_: IOException) {
                    // A process that was killed: there is no more to read.
                }
            }.also {
                it.isDaemon = true
                it.start()
            }
    }

    /** Ends it at once, as a power failure would. */
    fun kill() {
        process?.destroyForcibly()?.waitFor(KILL_SECONDS, TimeUnit.SECONDS)
        frozen = false
    }

    fun freeze() {
        signal("STOP")
        frozen = true
    }

    fun wake() {
        signal("CONT")
        frozen = false
    }

    /** Asks it to stop; true once it has. */
    fun terminate(patienceSeconds: Long): Boolean {
        val asked = process ?: return true
        asked.destroy()
        return asked.waitFor(patienceSeconds, TimeUnit.SECONDS)
    }

    private fun signal(name: String) {
        ProcessBuilder("kill", "-$name", pid.toString()).start().waitFor()
    }

    /** Seconds of processor time so far. */
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
        const val KILL_SECONDS = 10L
        const val NANOS_PER_SECOND = 1e9
        const val KB_PER_MB = 1024
    }
}
