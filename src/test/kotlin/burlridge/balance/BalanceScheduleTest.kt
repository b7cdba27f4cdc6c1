package burlridge.balance

import burlridge.job.JobSpec
import burlridge.settings.BalanceSettings
import burlridge.settings.MovePermission
import burlridge.simulation.SimulatedCluster
import burlridge.simulation.gang
import burlridge.simulation.job
import burlridge.simulation.submit
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/**
 * Drawn schedules of drains, cancellations of drains and moves, with members killed, frozen, paused in the middle of a step, cut off or
 * refused, answers lost, machines lost and reports late, alone and together. More of them:
 * `mvn test -Dtest=BalanceScheduleTest -Dsimulation.schedules=2000`, from seed N on with `-Dfrom=N`.
 */
internal class BalanceScheduleTest {
    private class Outcome(
        val stops: Int,
        val drained: Int,
        val leaders: Int,
    )

    private fun draw(seededRandom: Random): BalanceSettings =
        BalanceSettings(
            finishReports = if (seededRandom.nextBoolean()) 0.5 else 5.0,
            roomLeases = seededRandom.nextDouble(),
            moves = if (seededRandom.nextInt(3) == 0) MovePermission.REPEAT else MovePermission.SAVED,
            movesPerMinute = listOf(5, 20, 600).random(seededRandom),
            movesPerTask = 1 + seededRandom.nextInt(3),
        )

    private fun jobs(
        cluster: SimulatedCluster,
        seededRandom: Random,
    ): List<JobSpec> =
        (0 until 16).map { i ->
            val runSeconds = 10.0 + seededRandom.nextDouble() * 40
            when (seededRandom.nextInt(6)) {
                0 -> cluster.job(i, 1 + seededRandom.nextInt(4), runSeconds = runSeconds)
                1 -> cluster.gang(i, 2 + seededRandom.nextInt(3), runSeconds = runSeconds)
                2 -> cluster.savingJob(i, 4, runSeconds).copy(spread = true)
                3 -> cluster.savingJob(i, 3, runSeconds).copy(oneZone = true)
                4 -> cluster.savingJob(i, 4, runSeconds, cpus = 3.0).copy(team = "crew-x")
                else -> cluster.savingJob(i, 1 + seededRandom.nextInt(8), runSeconds, cpus = 2.0)
            }
        }

    private fun play(seed: Int): Outcome {
        val seededRandom = Random(seed)
        val settings = draw(seededRandom)
        val cluster = balancedCluster(seed, settings, if (seededRandom.nextInt(3) == 0) 5 else 3, seededRandom.nextBoolean())
        val jobs = jobs(cluster, seededRandom)
        jobs.forEachIndexed { i, job ->
            val abort = if (seededRandom.nextInt(5) == 0) 4.0 + seededRandom.nextDouble() * 40 else null
            cluster.clock.after(15.0 + i * 2.0) { cluster.submit(job, abort) }
        }
        cluster.cutsHoldPackets = seededRandom.nextBoolean()
        cluster.savesFail = seededRandom.nextInt(4) == 0
        val leaders = HashSet<String>()
        cluster.onLeaderChange = { leaders += it }
        val calledOff = seededRandom.nextInt(3) == 0
        cluster.clock.after(30.0 + seededRandom.nextDouble() * 10) {
            cluster.drainZone("a") { if (calledOff) cluster.clock.after(seededRandom.nextDouble() * 20) { cluster.undrainZone("a") } }
        }
        repeat(seededRandom.nextInt(3)) {
            cluster.clock.after(35.0 + seededRandom.nextDouble() * 30) { drainSomeMachine(cluster, seededRandom) }
        }
        repeat(4 + seededRandom.nextInt(8)) {
            cluster.clock.after(30.0 + seededRandom.nextDouble() * 45) { trouble(cluster, seededRandom) }
        }
        cluster.run(300.0)
        val tail = "seed $seed $settings\n${cluster.tail()}"
        assertEquals(emptyList<String>(), cluster.invariants.violations, tail)
        assertEquals(emptyList<String>(), cluster.simultaneousLeaders, tail)
        assertEquals(emptyList<String>(), cluster.history.violations(jobs.map { it.id }), tail)
        assertEquals(emptyList<String>(), cluster.history.drainViolations(DRAIN_SLACK_SECONDS), tail)
        assertEquals(emptyList<String>(), cluster.history.moveViolations(settings.movesPerMinute, settings.movesPerTask), tail)
        assertEquals(if (calledOff) "cancelled" else "drained", cluster.stateOf("zone/a") ?: "cancelled", tail)
        return Outcome(cluster.history.stops.size, if (calledOff) 0 else 1, leaders.size)
    }

    private fun drainSomeMachine(
        cluster: SimulatedCluster,
        seededRandom: Random,
    ) {
        val machine = cluster.cloud.machineIds().random(seededRandom)
        cluster.ask(cluster.anyMember(), "POST", MachineRequests.DRAIN, """{"machine":"$machine","force":true}""") { status, _ ->
            if (status == 200) cluster.drained(machine)
        }
    }

    private fun trouble(
        cluster: SimulatedCluster,
        seededRandom: Random,
    ) {
        val leader = cluster.leader() ?: cluster.anyMember()
        val whom = if (seededRandom.nextInt(3) > 0) leader else cluster.members.random(seededRandom)
        when (seededRandom.nextInt(11)) {
            0 -> cluster.crash(whom, seededRandom.nextDouble() * 4)
            1 -> cluster.freeze(whom, 0.2 + seededRandom.nextDouble() * 10)
            2 -> cluster.pauseMidStep(whom, 1.0 + seededRandom.nextDouble() * 30)
            3 -> cluster.cut(whom, "state", 1.0 + seededRandom.nextDouble() * 15)
            4 -> cluster.cutFromPeers(whom, 1.0 + seededRandom.nextDouble() * 15)
            5 -> cluster.refuseStateRequests(whom, 1.0 + seededRandom.nextDouble() * 10)
            6 -> cluster.state.outage(0.5 + seededRandom.nextDouble() * 10)
            7 -> loseAnswers(cluster, seededRandom)
            8 -> cluster.members.forEach { cluster.crash(it, seededRandom.nextDouble() * 3) }
            9 -> cluster.cloud.reclaim(cluster.cloud.machineIds().random(seededRandom))
            else -> lateReports(cluster, seededRandom)
        }
    }

    private fun lateReports(
        cluster: SimulatedCluster,
        seededRandom: Random,
    ) {
        val until = cluster.clock.now + 10.0
        cluster.duplicateReportAfter = { if (cluster.clock.now < until) 2.0 + seededRandom.nextDouble() * 30 else null }
    }

    private fun loseAnswers(
        cluster: SimulatedCluster,
        seededRandom: Random,
    ) {
        val until = cluster.clock.now + 0.5 + seededRandom.nextDouble() * 4
        cluster.onCall = { _, call ->
            val unlucky = cluster.clock.now < until && !call.path.startsWith("/follow") && seededRandom.nextBoolean()
            if (unlucky) {
                listOf(
                    SimulatedCluster.CallFault.ANSWER_LOST,
                    SimulatedCluster.CallFault.DELAYED,
                    SimulatedCluster.CallFault.REFUSED,
                ).random(seededRandom)
            } else {
                SimulatedCluster.CallFault.NONE
            }
        }
    }

    @Test
    fun `whatever fails around drains and moves, no task runs twice or is lost, and no drain is forgotten`() {
        val count = System.getProperty("simulation.schedules")?.toInt() ?: USUAL_SCHEDULES
        val first = System.getProperty("from")?.toInt() ?: 1
        val outcomes = (first until first + count).map { play(it) }
        assertTrue(outcomes.sumOf { it.stops } >= count * 5, "stops: ${outcomes.sumOf { it.stops }}")
        assertTrue(outcomes.sumOf { it.drained } >= count / 3, "drained: ${outcomes.sumOf { it.drained }}")
        assertTrue(outcomes.sumOf { it.leaders } >= count * 2, "leaders: ${outcomes.sumOf { it.leaders }}")
    }

    private companion object {
        const val USUAL_SCHEDULES = 200

        /** A command that was held up, or is answered late, may still start what left before the drain was accepted. */
        const val DRAIN_SLACK_SECONDS = 34.0
    }
}
