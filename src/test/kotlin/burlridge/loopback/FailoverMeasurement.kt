package burlridge.loopback

import burlridge.json.Json
import burlridge.simulation.WorkerTimes
import java.io.File
import java.nio.file.Files
import kotlin.system.exitProcess

/** How a leader is lost in a round of the measurement. */
private enum class Loss { KILL, FREEZE, DRAIN }

/** What one change of leader took, in seconds, and what it cost the successor. */
private class Change(
    val loss: Loss,
    val firstStartSeconds: Double,
    val allAnsweredSeconds: Double,
    val cpuSeconds: Double,
    val residentMb: Double,
)

/**
 * The long form of [FailoverLoopbackTest], a program outside CI: real controllers on loopback among some hundreds or thousands of stand-in
 * workers, under a steady load of jobs, whose leader is lost again and again. `docs/failover.md` has the command and its figures.
 *
 * Arguments: number of machines, rounds of each kind, `on` or `off`, number of controllers (3), and, where another version is to be
 * measured, its class path.
 */
internal class FailoverMeasurement(
    private val machines: Int,
    private val rounds: Int,
    private val on: Boolean,
    controllers: Int,
    classPath: String,
    flags: List<String>,
) {
    private val directory: File = Files.createTempDirectory("burlridge-measurement").toFile()
    private val times = WorkerTimes(reportSeconds = 3.0, leaseSeconds = 24.0, cancelSeconds = 54.0)
    private val plan =
        LoopbackPlan(controllers, machines, times, if (on) "[failover]\n" else null, directory, flags, classPath)
    private val cluster = LoopbackCluster(plan, 1)
    private val changes = ArrayList<Change>()
    private var number = 0

    fun run() {
        val begun = System.nanoTime()
        await("the machines are up", UP_SECONDS) { (cluster.onLoop { cluster.answered(1) } >= machines * MOST_OF_THEM).takeIf { it } }
        println("$machines machines up after %.0f s".format((System.nanoTime() - begun) / NANOS_PER_SECOND))
        load()
        Thread.sleep(SETTLE_MILLIS)
        val kinds = if (on) Loss.entries else listOf(Loss.KILL, Loss.FREEZE)
        // Each freeze takes a minute, so there are fewer of them.
        repeat(rounds) { round -> kinds.filter { it != Loss.FREEZE || round < rounds * FREEZES_PER_ROUND }.forEach { lose(it) } }
        report()
        cluster.onLoop { stopLoad = true }
        await("all jobs are over", UP_SECONDS) { cluster.onLoop { cluster.unfinished.isEmpty() }.takeIf { it } }
        cluster.onLoop { cluster.askEverywhere() }
        Thread.sleep(SETTLE_MILLIS)
        val breaches = cluster.onLoop { cluster.invariants.broken + cluster.history.breaches(cluster.jobs) }
        println("jobs ${cluster.onLoop { cluster.jobs.size }}, starts ${cluster.onLoop { cluster.invariants.starts }}, breaches $breaches")
        println("false suspicions: ${cluster.controllers.sumOf { c -> c.log.count { takesSuspicionBack(it.text) } }}")
    }

    /** A member is alive again whose process was not restarted. */
    private fun takesSuspicionBack(line: String): Boolean = "state=alive" in line && line.endsWith("reason=\"heard again\"")

    private var stopLoad = false

    /** A few jobs a second, as many as end. */
    private fun load() {
        fun next() {
            if (stopLoad) return
            cluster.submit(cluster.job(number++, TASKS, runSeconds = RUN_SECONDS))
            cluster.clock.after(1.0 / JOBS_PER_SECOND) { next() }
        }
        cluster.onLoop { next() }
    }

    private fun lose(loss: Loss) {
        val (leader, term) = await("a leader") { cluster.onLoop { cluster.leader() } }
        val old = cluster.process(leader)
        val cpuBefore = cluster.controllers.associateWith { it.cpuSeconds() }
        val lostAt = cluster.onLoop { cluster.clock.now }
        when (loss) {
            Loss.KILL -> old.kill()
            Loss.FREEZE -> old.freeze()
            Loss.DRAIN -> Thread { old.terminate(UP_SECONDS) }.start()
        }
        val next = await("the next term", UP_SECONDS) { cluster.onLoop { cluster.leader() }?.second?.takeIf { it > term } }
        val started =
            await("its first start", UP_SECONDS) {
                cluster.onLoop {
                    cluster.firstStarts
                        .filterKeys { it >= next }
                        .values
                        .minOrNull()
                }
            }
        await(
            "all workers answered",
            UP_SECONDS,
        ) { (cluster.onLoop { cluster.answered(next) == cluster.cloud.names().size }).takeIf { it } }
        val answered = cluster.onLoop { cluster.clock.now }
        val successor = cluster.process(cluster.onLoop { cluster.leader() }!!.first)
        val cpu = successor.cpuSeconds() - (cpuBefore[successor] ?: 0.0)
        changes += Change(loss, started - lostAt, answered - lostAt, cpu, successor.residentMb())
        println(describe(changes.last()))
        if (loss == Loss.FREEZE) {
            Thread.sleep((FROZEN_SECONDS - (answered - lostAt)).coerceAtLeast(0.0).toLong() * MILLIS_PER_SECOND)
            old.wake()
        } else {
            await("the old leader is gone", UP_SECONDS) { (!old.isUp).takeIf { it } }
            old.start()
        }
        Thread.sleep(SETTLE_MILLIS)
    }

    private fun describe(change: Change) =
        "%-6s first start %6.2f s, all answered %6.2f s, successor's processor time %5.2f s, resident %4.0f MB".format(
            change.loss,
            change.firstStartSeconds,
            change.allAnsweredSeconds,
            change.cpuSeconds,
            change.residentMb,
        )

    private fun report() {
        for ((loss, all) in changes.groupBy { it.loss }) {
            println(
                "$machines machines, failover ${if (on) "on" else "off"}, $loss x ${all.size}: " +
                    "first start ${spread(all) { it.firstStartSeconds }}, all answered ${spread(all) { it.allAnsweredSeconds }}, " +
                    "processor time ${spread(all) { it.cpuSeconds }}, resident ${spread(all) { it.residentMb }}",
            )
        }
    }

    private fun spread(
        all: List<Change>,
        of: (Change) -> Double,
    ): String {
        val sorted = all.map(of).sorted()
        return "%.2f (worst %.2f)".format(sorted[sorted.size / 2], sorted.last())
    }

    fun close() = cluster.close()

    private companion object {
        const val MOST_OF_THEM = 0.95
        const val UP_SECONDS = 240L
        const val SETTLE_MILLIS = 6_000L
        const val FROZEN_SECONDS = 60.0
        const val FREEZES_PER_ROUND = 0.4
        const val JOBS_PER_SECOND = 4.0
        const val TASKS = 4
        const val RUN_SECONDS = 5.0
        const val NANOS_PER_SECOND = 1e9
        const val MILLIS_PER_SECOND = 1000L
    }
}

/** The JVM flags of the deploy file's `run` line, without its class archive, which holds for the jar alone. */
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
    val on = args.getOrNull(2) != "off"
    val controllers = args.getOrNull(3)?.toIntOrNull() ?: 3
    val classPath = args.getOrNull(4) ?: "target/classes:target/lib/*"
    val measurement = FailoverMeasurement(machines, rounds, on, controllers, classPath, deployedFlags())
    try {
        measurement.run()
    } finally {
        measurement.close()
    }
    exitProcess(0)
}
