package burlridge.loopback

import burlridge.json.Json
import burlridge.simulation.WorkerTimes
import java.io.File
import java.nio.file.Files
import kotlin.system.exitProcess

/** How the leader is lost in a round of the measurement. */
private enum class LossKind { KILL, FREEZE, DRAIN }

/** Duration of one change of leader, and the resources that the successor used for it. */
private class LeaderChangeResult(
    val kind: LossKind,
    val firstStartSeconds: Double,
    val allAnsweredSeconds: Double,
    val cpuSeconds: Double,
    val residentMb: Double,
)

/**
 * The long form of [FailoverLoopbackTest], a program that does not run in CI. Real controllers on loopback manage hundreds or thousands of
 * stand-in workers under a steady load of jobs, and repeatedly lose their leader. `docs/failover.md` has the command and its figures.
 *
 * Arguments: number of machines, rounds of each kind, failover `on` or `off`, number of controllers (default 3), and the class path of
 * the version to measure if that is not this one.
 */
internal class FailoverMeasurement(
    private val machines: Int,
    private val rounds: Int,
    private val failoverEnabled: Boolean,
    controllers: Int,
    classPath: String,
    jvmFlags: List<String>,
) {
    private val directory: File = Files.createTempDirectory("burlridge-measurement").toFile()
    private val times = WorkerTimes(reportSeconds = 3.0, leaseSeconds = 24.0, cancelSeconds = 54.0)
    private val config =
        LoopbackConfig(controllers, machines, times, if (failoverEnabled) "[failover]\n" else null, directory, jvmFlags, classPath)
    private val cluster = LoopbackCluster(config, 1)
    private val results = ArrayList<LeaderChangeResult>()
    private var nextJobNumber = 0

    fun run() {
        val startedAt = System.nanoTime()
        await("the machines are up", TIMEOUT_SECONDS) {
            (cluster.onLoop { cluster.workersAtTerm(1) } >= machines * MIN_FRACTION_UP).takeIf { it }
        }
        println("$machines machines up after %.0f s".format((System.nanoTime() - startedAt) / NANOS_PER_SECOND))
        startLoad()
        Thread.sleep(SETTLE_MILLIS)
        val kinds = if (failoverEnabled) LossKind.entries else listOf(LossKind.KILL, LossKind.FREEZE)
        // Each freeze takes a minute, so there are fewer of them.
        repeat(rounds) { round ->
            kinds.filter { it != LossKind.FREEZE || round < rounds * FREEZE_ROUNDS_FRACTION }.forEach { forceLeaderChange(it) }
        }
        report()
        cluster.onLoop { stopLoad = true }
        await("all jobs have finished", TIMEOUT_SECONDS) { cluster.onLoop { cluster.unfinished.isEmpty() }.takeIf { it } }
        cluster.onLoop { cluster.queryAllControllers() }
        Thread.sleep(SETTLE_MILLIS)
        val violations = cluster.onLoop { cluster.invariants.violations + cluster.history.violations(cluster.jobs) }
        println(
            "jobs ${cluster.onLoop { cluster.jobs.size }}, starts ${cluster.onLoop { cluster.invariants.starts }}, breaches $violations",
        )
        println("false suspicions: ${cluster.controllers.sumOf { c -> c.log.count { isAliveWithoutRestart(it.text) } }}")
    }

    /** Whether [line] reports that a member is alive again although its process was not restarted. */
    private fun isAliveWithoutRestart(line: String): Boolean = "state=alive" in line && line.endsWith("reason=\"heard again\"")

    private var stopLoad = false

    /** Starts to submit a few jobs a second, about as many as finish. */
    private fun startLoad() {
        fun submitNext() {
            if (stopLoad) return
            cluster.submit(cluster.job(nextJobNumber++, TASKS, runSeconds = RUN_SECONDS))
            cluster.clock.after(1.0 / JOBS_PER_SECOND) { submitNext() }
        }
        cluster.onLoop { submitNext() }
    }

    private fun forceLeaderChange(kind: LossKind) {
        val (leader, term) = await("a leader") { cluster.onLoop { cluster.leader() } }
        val oldLeader = cluster.process(leader)
        val cpuBefore = cluster.controllers.associateWith { it.cpuSeconds() }
        val lostAt = cluster.onLoop { cluster.clock.now }
        when (kind) {
            LossKind.KILL -> oldLeader.kill()
            LossKind.FREEZE -> oldLeader.freeze()
            LossKind.DRAIN -> Thread { oldLeader.terminate(TIMEOUT_SECONDS) }.start()
        }
        val nextTerm = await("the next term", TIMEOUT_SECONDS) { cluster.onLoop { cluster.leader() }?.second?.takeIf { it > term } }
        val firstStartAt =
            await("its first start", TIMEOUT_SECONDS) {
                cluster.onLoop {
                    cluster.firstStartSeconds
                        .filterKeys { it >= nextTerm }
                        .values
                        .minOrNull()
                }
            }
        await(
            "all workers answered",
            TIMEOUT_SECONDS,
        ) { (cluster.onLoop { cluster.workersAtTerm(nextTerm) == cluster.cloud.machineIds().size }).takeIf { it } }
        val allAnsweredAt = cluster.onLoop { cluster.clock.now }
        val successor = cluster.process(cluster.onLoop { cluster.leader() }!!.first)
        val cpuSeconds = successor.cpuSeconds() - (cpuBefore[successor] ?: 0.0)
        results += LeaderChangeResult(kind, firstStartAt - lostAt, allAnsweredAt - lostAt, cpuSeconds, successor.residentMb())
        println(describe(results.last()))
        if (kind == LossKind.FREEZE) {
            Thread.sleep((FREEZE_SECONDS - (allAnsweredAt - lostAt)).coerceAtLeast(0.0).toLong() * MILLIS_PER_SECOND)
            oldLeader.resume()
        } else {
            await("the old leader has exited", TIMEOUT_SECONDS) { (!oldLeader.isUp).takeIf { it } }
            oldLeader.start()
        }
        Thread.sleep(SETTLE_MILLIS)
    }

    private fun describe(result: LeaderChangeResult) =
        "%-6s first start %6.2f s, all answered %6.2f s, successor's processor time %5.2f s, resident %4.0f MB".format(
            result.kind,
            result.firstStartSeconds,
            result.allAnsweredSeconds,
            result.cpuSeconds,
            result.residentMb,
        )

    private fun report() {
        for ((kind, all) in results.groupBy { it.kind }) {
            println(
                "$machines machines, failover ${if (failoverEnabled) "on" else "off"}, $kind x ${all.size}: " +
                    "first start ${summarize(all) { it.firstStartSeconds }}, all answered ${summarize(all) { it.allAnsweredSeconds }}, " +
                    "processor time ${summarize(all) { it.cpuSeconds }}, resident ${summarize(all) { it.residentMb }}",
            )
        }
    }

    private fun summarize(
        all: List<LeaderChangeResult>,
        value: (LeaderChangeResult) -> Double,
    ): String {
        val sorted = all.map(value).sorted()
        return "%.2f (worst %.2f)".format(sorted[sorted.size / 2], sorted.last())
    }

    fun close() = cluster.close()

    private companion object {
        const val MIN_FRACTION_UP = 0.95
        const val TIMEOUT_SECONDS = 240L
        const val SETTLE_MILLIS = 6_000L
        const val FREEZE_SECONDS = 60.0
        const val FREEZE_ROUNDS_FRACTION = 0.4
        const val JOBS_PER_SECOND = 4.0
        const val TASKS = 4
        const val RUN_SECONDS = 5.0
        const val NANOS_PER_SECOND = 1e9
        const val MILLIS_PER_SECOND = 1000L
    }
}

/** Returns the JVM flags of the deploy file's `run` line without its class-data archive, which is valid for the jar only. */
private fun deployedFlags(): List<String> {
    val run = File("deploy/service.toml").readLines().first { it.startsWith("run") }
    return Json
        .parse(
            run.substringAfter('=').trim(),
        ).asText()
        .split(' ')
        .filter { it.startsWith("-X") && "Shared" !in it && "share" !in it }
}

internal fun main(args: Array<String>) {
    val machines = args.getOrNull(0)?.toIntOrNull() ?: 100
    val rounds = args.getOrNull(1)?.toIntOrNull() ?: 3
    val failoverEnabled = args.getOrNull(2) != "off"
    val controllers = args.getOrNull(3)?.toIntOrNull() ?: 3
    val classPath = args.getOrNull(4) ?: "target/classes:target/lib/*"
    val measurement = FailoverMeasurement(machines, rounds, failoverEnabled, controllers, classPath, deployedFlags())
    try {
        measurement.run()
    } finally {
        measurement.close()
    }
    exitProcess(0)
}
