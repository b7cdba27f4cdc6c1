package burlridge.failover

import burlridge.settings.FailoverSettings
import burlridge.settings.OperatorSettings
import burlridge.sim.World
import burlridge.sim.job
import burlridge.sim.submit
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/**
 * Drawn schedules of failures around the steps of planned handovers: each side killed, frozen, paused in the middle of a step, cut off,
 * refused by the state service, or only an answer lost, at a drawn moment, alone and together. Every job must get exactly one final
 * answer, the same from all members. More of them: `mvn test -Dtest=HandoverScheduleTest -Dschedules=2000`.
 */
internal class HandoverScheduleTest {
    private class Outcome(
        val handovers: Int,
        val adopted: Int,
    )

    private fun play(seed: Int): Outcome {
        val luck = Random(seed)
        val members = (0 until if (luck.nextInt(3) == 0) 5 else 3).map { "drover-$it" }
        val settings = FailoverSettings(standbys = luck.nextInt(3), slowStalls = if (luck.nextBoolean()) 3 else 0)
        val world = World(seed, members = members, operator = OperatorSettings(failover = settings))
        val jobs = (0 until 16).map { world.job(it, 1 + it % 4, runSeconds = 4.0 + luck.nextDouble() * 12) }
        jobs.forEachIndexed { i, job ->
            val abort = if (luck.nextInt(5) == 0) 4.0 + luck.nextDouble() * 25 else null
            world.clock.after(5.0 + i * 2.2) { world.submit(job, abort) }
        }
        world.holds = luck.nextBoolean()
        repeat(3) { turn ->
            world.clock.after(14.0 + turn * 14.0 + luck.nextDouble() * 4) {
                val leader = world.leader() ?: return@after
                world.drain(leader)
                world.clock.after(6.0) { world.crash(leader, luck.nextDouble() * 2) }
                repeat(
                    1 + luck.nextInt(2),
                ) { world.clock.after(luck.nextDouble() * luck.nextDouble() * 1.2) { trouble(world, luck, leader) } }
            }
        }
        world.run(190.0)
        val tail = {
            "seed $seed\n" +
                world.log
                    .filterNot { "state service" in it }
                    .takeLast(60)
                    .joinToString("\n")
        }
        assertEquals(emptyList<String>(), world.rules.broken, tail)
        assertEquals(emptyList<String>(), world.rivals, tail)
        assertEquals(emptyList<String>(), world.history.breaches(jobs.map { it.id }), tail)
        return Outcome(world.log.count { "handover of term" in it }, world.log.count { "handed over by" in it })
    }

    private fun trouble(
        world: World,
        luck: Random,
        leader: String,
    ) {
        val successor = world.members.filter { it != leader }.random(luck)
        val whom = if (luck.nextBoolean()) leader else successor
        when (luck.nextInt(9)) {
            0 -> world.crash(whom, luck.nextDouble() * 4)
            1 -> world.freeze(whom, 0.2 + luck.nextDouble() * 8)
            2 -> world.pauseMidStep(whom, 1.0 + luck.nextDouble() * 40)
            3 -> world.cut(whom, "state", 1.0 + luck.nextDouble() * 15)
            4 -> world.cut(leader, successor, 1.0 + luck.nextDouble() * 15)
            5 -> world.refuse(whom, 1.0 + luck.nextDouble() * 10)
            6 -> world.state.outage(0.5 + luck.nextDouble() * 12)
            7 -> loseAnswers(world, luck)
            else -> world.members.forEach { world.crash(it, luck.nextDouble() * 3) }
        }
    }

    private fun loseAnswers(
        world: World,
        luck: Random,
    ) {
        val until = world.clock.now + 0.5 + luck.nextDouble() * 4
        world.meddle = { _, call ->
            val unlucky = world.clock.now < until && call.path.startsWith("/multi") && luck.nextBoolean()
            if (unlucky) listOf(World.Fate.ANSWER_LOST, World.Fate.LATE, World.Fate.REFUSED).random(luck) else World.Fate.FINE
        }
    }

    @Test
    fun `whatever fails around a handover, each job has one final answer`() {
        val count = System.getProperty("schedules")?.toInt() ?: USUAL_SCHEDULES
        val first = System.getProperty("from")?.toInt() ?: 1
        val outcomes = (first until first + count).map { play(it) }
        assertTrue(outcomes.sumOf { it.handovers } >= count, "handovers: ${outcomes.sumOf { it.handovers }}")
        assertTrue(outcomes.sumOf { it.adopted } >= count / 2, "taken over: ${outcomes.sumOf { it.adopted }}")
    }

    private companion object {
        const val USUAL_SCHEDULES = 60
    }
}
