package burlridge.failover

import burlridge.settings.FailoverSettings
import burlridge.settings.OperatorSettings
import burlridge.simulation.SimulatedCluster
import burlridge.simulation.SimulatedCluster.CallFault
import burlridge.simulation.job
import burlridge.simulation.submit
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/**
 * Random schedules of faults around the steps of planned handovers. Either side is killed, frozen, paused in the middle of a step,
 * partitioned or refused by the state service, or only a response is lost, at a random moment, alone or together. Every job must get
 * exactly one final state, the same from all members. To run more schedules:
 * `mvn test -Dtest=HandoverScheduleTest -Dsimulation.schedules=2000`.
 */
internal class HandoverScheduleTest {
    private class Outcome(
        val handovers: Int,
        val takeovers: Int,
    )

    private fun runSchedule(seed: Int): Outcome {
        val seededRandom = Random(seed)
        val members = (0 until if (seededRandom.nextInt(3) == 0) 5 else 3).map { "drover-$it" }
        val settings = FailoverSettings(standbys = seededRandom.nextInt(3), slowStalls = if (seededRandom.nextBoolean()) 3 else 0)
        val cluster = SimulatedCluster(seed, members = members, operator = OperatorSettings(failover = settings))
        val jobs = (0 until 16).map { cluster.job(it, 1 + it % 4, runSeconds = 4.0 + seededRandom.nextDouble() * 12) }
        jobs.forEachIndexed { i, job ->
            val abortAfter = if (seededRandom.nextInt(5) == 0) 4.0 + seededRandom.nextDouble() * 25 else null
            cluster.clock.after(5.0 + i * 2.2) { cluster.submit(job, abortAfter) }
        }
        cluster.partitionsHoldPackets = seededRandom.nextBoolean()
        repeat(3) { round ->
            cluster.clock.after(14.0 + round * 14.0 + seededRandom.nextDouble() * 4) {
                val leader = cluster.leader() ?: return@after
                cluster.drain(leader)
                cluster.clock.after(6.0) { cluster.crash(leader, seededRandom.nextDouble() * 2) }
                repeat(
                    1 + seededRandom.nextInt(2),
                ) {
                    cluster.clock.after(
                        seededRandom.nextDouble() * seededRandom.nextDouble() * 1.2,
                    ) { injectFault(cluster, seededRandom, leader) }
                }
            }
        }
        cluster.run(190.0)
        val failureMessage = {
            "seed $seed\n" +
                cluster.log
                    .filterNot { "state service" in it }
                    .takeLast(60)
                    .joinToString("\n")
        }
        assertEquals(emptyList<String>(), cluster.invariants.violations, failureMessage)
        assertEquals(emptyList<String>(), cluster.simultaneousLeaders, failureMessage)
        assertEquals(emptyList<String>(), cluster.history.violations(jobs.map { it.id }), failureMessage)
        return Outcome(cluster.log.count { "handover started" in it }, cluster.log.count { "handed over by" in it })
    }

    private fun injectFault(
        cluster: SimulatedCluster,
        seededRandom: Random,
        leader: String,
    ) {
        val successor = cluster.members.filter { it != leader }.random(seededRandom)
        val target = if (seededRandom.nextBoolean()) leader else successor
        when (seededRandom.nextInt(9)) {
            0 -> cluster.crash(target, seededRandom.nextDouble() * 4)
            1 -> cluster.freeze(target, 0.2 + seededRandom.nextDouble() * 8)
            2 -> cluster.pauseMidStep(target, 1.0 + seededRandom.nextDouble() * 40)
            3 -> cluster.partition(target, "state", 1.0 + seededRandom.nextDouble() * 15)
            4 -> cluster.partition(leader, successor, 1.0 + seededRandom.nextDouble() * 15)
            5 -> cluster.refuseStateRequests(target, 1.0 + seededRandom.nextDouble() * 10)
            6 -> cluster.state.outage(0.5 + seededRandom.nextDouble() * 12)
            7 -> loseTransactionResponses(cluster, seededRandom)
            else -> cluster.members.forEach { cluster.crash(it, seededRandom.nextDouble() * 3) }
        }
    }

    private fun loseTransactionResponses(
        cluster: SimulatedCluster,
        seededRandom: Random,
    ) {
        val until = cluster.clock.now + 0.5 + seededRandom.nextDouble() * 4
        cluster.onCall = { _, call ->
            val isAffected = cluster.clock.now < until && call.path.startsWith("/multi") && seededRandom.nextBoolean()
            if (isAffected) CallFault.FAILURES.random(seededRandom) else CallFault.NONE
        }
    }

    @Test
    fun `each job has one final state, whatever fails around a handover`() {
        val count = System.getProperty("simulation.schedules")?.toInt() ?: DEFAULT_SCHEDULES
        val firstSeed = System.getProperty("from")?.toInt() ?: 1
        val outcomes = (firstSeed until firstSeed + count).map { runSchedule(it) }
        assertTrue(outcomes.sumOf { it.handovers } >= count, "handovers: ${outcomes.sumOf { it.handovers }}")
        assertTrue(outcomes.sumOf { it.takeovers } >= count / 2, "taken over: ${outcomes.sumOf { it.takeovers }}")
    }

    private companion object {
        const val DEFAULT_SCHEDULES = 60
    }
}
