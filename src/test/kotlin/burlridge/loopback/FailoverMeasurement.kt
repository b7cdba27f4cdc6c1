package burlridge.loopback

import burlridge.json.Json
import burlridge.sim.Times
import java.io.File
import java.nio.file.Files
import kotlin.system.exitProcess

/** How a leader is lost in a round of the measurement. */
private enum class Loss { KILL, FREEZE, DRAIN }

/** What one change of leader took, in seconds, and what it cost the successor. */
private class Change(
    val loss: Loss,
    val firstStartS: Double,
    val allAnsweredS: Double,
    val cpuS: Double,
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
    private val times = Times(reportS = 3.0, leaseS = 24.0, cancelS = 54.0)
    private val plan =
        LoopbackPlan(controllers, machines, times, if (on) "[failover]\n" else null, directory, flags, classPath)
    private val world = LoopbackWorld(plan, 1)
    private val changes = ArrayList<Change>()
    private var number = 0

    fun run() {
        val begun = System.nanoTime()
        await("the machines are up", UP_S) { (world.onLoop { world.answered(1) } >= machines * MOST_OF_THEM).takeIf { it } }
        println("$machines machines up after %.0f s".format((System.nanoTime() - begun) / NS_A_S))
        load()
        Thread.sleep(SETTLE_MS)
        val kinds = if (on) Loss.entries else listOf(Loss.KILL, Loss.FREEZE)
        // Each freeze takes a minute, so there are fewer of them.
        repeat(rounds) { round -> kinds.filter { it != Loss.FREEZE || round < rounds * FREEZES_A_ROUND }.forEach { lose(it) } }
        report()
        world.onLoop { stopLoad = true }
        await("all jobs are over", UP_S) { world.onLoop { world.unfinished.isEmpty() }.takeIf { it } }
        world.onLoop { world.askEverywhere() }
        Thread.sleep(SETTLE_MS)
        val breaches = world.onLoop { world.rules.broken + world.history.breaches(world.jobs) }
        println("jobs ${world.onLoop { world.jobs.size }}, starts ${world.onLoop { world.rules.starts }}, breaches $breaches")
        println("false suspicions: ${world.controllers.sumOf { c -> c.log.count { it.text.endsWith("is alive: heard again") } }}")
    }

    private var stopLoad = false

    /** A few jobs a second, as many as end. */
    private fun load() {
        fun next() {
            if (stopLoad) return
            world.submit(world.job(number++, TASKS, runS = RUN_S))
            world.clock.after(1.0 / JOBS_A_SECOND) { next() }
        }
        world.onLoop { next() }
    }

    private fun lose(loss: Loss) {
        val (leader, term) = await("a leader") { world.onLoop { world.leader() } }
        val old = world.process(leader)
        val cpuBefore = world.controllers.associateWith { it.cpuS() }
        val lostAt = world.onLoop { world.clock.now }
        when (loss) {
            Loss.KILL -> old.kill()
            Loss.FREEZE -> old.freeze()
            Loss.DRAIN -> Thread { old.terminate(UP_S) }.start()
        }
        val next = await("the next term", UP_S) { world.onLoop { world.leader() }?.second?.takeIf { it > term } }
        val started =
            await("its first start", UP_S) {
                world.onLoop {
                    world.firstStarts
                        .filterKeys { it >= next }
                        .values
                        .minOrNull()
                }
            }
        await("all workers answered", UP_S) { (world.onLoop { world.answered(next) == world.cloud.names().size }).takeIf { it } }
        val answered = world.onLoop { world.clock.now }
        val successor = world.process(world.onLoop { world.leader() }!!.first)
        val cpu = successor.cpuS() - (cpuBefore[successor] ?: 0.0)
        changes += Change(loss, started - lostAt, answered - lostAt, cpu, successor.residentMb())
        println(describe(changes.last()))
        if (loss == Loss.FREEZE) {
            Thread.sleep((FROZEN_S - (answered - lostAt)).coerceAtLeast(0.0).toLong() * MS_A_S)
            old.wake()
        } else {
            await("the old leader is gone", UP_S) { (!old.isUp).takeIf { it } }
            old.start()
        }
        Thread.sleep(SETTLE_MS)
    }

    private fun describe(change: Change) =
        "%-6s first start %6.2f s, all answered %6.2f s, successor's processor time %5.2f s, resident %4.0f MB".format(
            change.loss,
            change.firstStartS,
            change.allAnsweredS,
            change.cpuS,
            change.residentMb,
        )

    private fun report() {
        for ((loss, all) in changes.groupBy { it.loss }) {
            println(
                "$machines machines, failover ${if (on) "on" else "off"}, $loss x ${all.size}: " +
                    "first start ${spread(all) { it.firstStartS }}, all answered ${spread(all) { it.allAnsweredS }}, " +
                    "processor time ${spread(all) { it.cpuS }}, resident ${spread(all) { it.residentMb }}",
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

    fun close() = world.close()

    private companion object {
        const val MOST_OF_THEM = 0.95
        const val UP_S = 240L
        const val SETTLE_MS = 6_000L
        const val FROZEN_S = 60.0
        const val FREEZES_A_ROUND = 0.4
        const val JOBS_A_SECOND = 4.0
        const val TASKS = 4
        const val RUN_S = 5.0
        const val NS_A_S = 1e9
        const val MS_A_S = 1000L
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
