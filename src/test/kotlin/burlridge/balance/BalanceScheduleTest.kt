package burlridge.balance

import burlridge.job.JobSpec
import burlridge.settings.BalanceSettings
import burlridge.settings.MovePermission
import burlridge.simulation.SimulatedCluster
import burlridge.simulation.SimulatedCluster.CallFault
import burlridge.simulation.gang
import burlridge.simulation.job
import burlridge.simulation.submit
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/**
 * Random schedules of drains, cancellations of drains and moves, combined with faults: members are killed, frozen, paused in the middle of
 * a step, partitioned or refused by the state service, responses and machines are lost, and heartbeats are late. To run more schedules:
 * `mvn test -Dtest=BalanceScheduleTest -Dsimulation.schedules=2000`; `-Dfrom=N` begins with seed N.
 */
internal class BalanceScheduleTest {
    private class Outcome(
        val stopCount: Int,
        val drainedCount: Int,
        val leaderCount: Int,
    )

    private fun randomSettings(seededRandom: Random): BalanceSettings =
        BalanceSettings(
            finishReports = if (seededRandom.nextBoolean()) 0.5 else 5.0,
            capacityWaitLeases = seededRandom.nextDouble(),
            defaultMovePermission = if (seededRandom.nextInt(3) == 0) MovePermission.REPEAT else MovePermission.SAVED,
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
                2 -> cluster.checkpointingJob(i, 4, runSeconds).copy(spread = true)
                3 -> cluster.checkpointingJob(i, 3, runSeconds).copy(oneZone = true)
                4 -> cluster.checkpointingJob(i, 4, runSeconds, cpus = 3.0).copy(team = "crew-x")
                else -> cluster.checkpointingJob(i, 1 + seededRandom.nextInt(8), runSeconds, cpus = 2.0)
            }
        }

    private fun runSchedule(seed: Int): Outcome {
        val seededRandom = Random(seed)
        val settings = randomSettings(seededRandom)
        val cluster = clusterWithBalance(seed, settings, if (seededRandom.nextInt(3) == 0) 5 else 3, seededRandom.nextBoolean())
        val jobs = jobs(cluster, seededRandom)
        jobs.forEachIndexed { i, job ->
            val abort = if (seededRandom.nextInt(5) == 0) 4.0 + seededRandom.nextDouble() * 40 else null
            cluster.clock.after(15.0 + i * 2.0) { cluster.submit(job, abort) }
        }
        cluster.partitionsHoldPackets = seededRandom.nextBoolean()
        cluster.savesFail = seededRandom.nextInt(4) == 0
        val leaders = HashSet<String>()
        cluster.onLeaderChange = { leaders += it }
        val isCancelled = seededRandom.nextInt(3) == 0
        cluster.clock.after(30.0 + seededRandom.nextDouble() * 10) {
            cluster.drainZone("a") { if (isCancelled) cluster.clock.after(seededRandom.nextDouble() * 20) { cluster.undrainZone("a") } }
        }
        repeat(seededRandom.nextInt(3)) {
            cluster.clock.after(35.0 + seededRandom.nextDouble() * 30) { drainSomeMachine(cluster, seededRandom) }
        }
        repeat(4 + seededRandom.nextInt(8)) {
            cluster.clock.after(30.0 + seededRandom.nextDouble() * 45) { injectFault(cluster, seededRandom) }
        }
        cluster.run(300.0)
        val failureMessage = "seed $seed $settings\n${cluster.recentLog()}"
        assertEquals(emptyList<String>(), cluster.invariants.violations, failureMessage)
        assertEquals(emptyList<String>(), cluster.simultaneousLeaders, failureMessage)
        assertEquals(emptyList<String>(), cluster.history.violations(jobs.map { it.id }), failureMessage)
        assertEquals(emptyList<String>(), cluster.history.drainViolations(DRAIN_SLACK_SECONDS), failureMessage)
        assertEquals(emptyList<String>(), cluster.history.moveViolations(settings.movesPerMinute, settings.movesPerTask), failureMessage)
        assertEquals(if (isCancelled) "cancelled" else "drained", cluster.drainStateOf("zone/a") ?: "cancelled", failureMessage)
        return Outcome(cluster.history.stops.size, if (isCancelled) 0 else 1, leaders.size)
    }

    private fun drainSomeMachine(
        cluster: SimulatedCluster,
        seededRandom: Random,
    ) {
        val machine = cluster.cloud.machineIds().random(seededRandom)
        cluster.sendRequest(cluster.anyMember(), "POST", MachineRequests.DRAIN, """{"machine":"$machine","force":true}""") { status, _ ->
            if (status == 200) cluster.expectDrained(machine)
        }
    }

    private fun injectFault(
        cluster: SimulatedCluster,
        seededRandom: Random,
    ) {
        val leader = cluster.leader() ?: cluster.anyMember()
        val member = if (seededRandom.nextInt(3) > 0) leader else cluster.members.random(seededRandom)
        when (seededRandom.nextInt(11)) {
            0 -> cluster.crash(member, seededRandom.nextDouble() * 4)
            1 -> cluster.freeze(member, 0.2 + seededRandom.nextDouble() * 10)
            2 -> cluster.pauseMidStep(member, 1.0 + seededRandom.nextDouble() * 30)
            3 -> cluster.partition(member, "state", 1.0 + seededRandom.nextDouble() * 15)
            4 -> cluster.partitionFromPeers(member, 1.0 + seededRandom.nextDouble() * 15)
            5 -> cluster.refuseStateRequests(member, 1.0 + seededRandom.nextDouble() * 10)
            6 -> cluster.state.outage(0.5 + seededRandom.nextDouble() * 10)
            7 -> loseResponses(cluster, seededRandom)
            8 -> cluster.members.forEach { cluster.crash(it, seededRandom.nextDouble() * 3) }
            9 -> cluster.cloud.reclaim(cluster.cloud.machineIds().random(seededRandom))
            else -> delayHeartbeats(cluster, seededRandom)
        }
    }

    private fun delayHeartbeats(
        cluster: SimulatedCluster,
        seededRandom: Random,
    ) {
        val until = cluster.clock.now + 10.0
        cluster.duplicateHeartbeatAfter = { if (cluster.clock.now < until) 2.0 + seededRandom.nextDouble() * 30 else null }
    }

    private fun loseResponses(
        cluster: SimulatedCluster,
        seededRandom: Random,
    ) {
        val until = cluster.clock.now + 0.5 + seededRandom.nextDouble() * 4
        cluster.onCall = { _, call ->
            val isAffected = cluster.clock.now < until && !call.path.startsWith("/follow") && seededRandom.nextBoolean()
            if (isAffected) CallFault.FAILURES.random(seededRandom) else CallFault.NONE
        }
    }

    @Test
    fun `random faults during drains and moves neither duplicate nor lose a task, and no drain is lost`() {
        val count = System.getProperty("simulation.schedules")?.toInt() ?: DEFAULT_SCHEDULE_COUNT
        val firstSeed = System.getProperty("from")?.toInt() ?: 1
        val outcomes = (firstSeed until firstSeed + count).map { runSchedule(it) }
        assertTrue(outcomes.sumOf { it.stopCount } >= count * 5, "stops: ${outcomes.sumOf { it.stopCount }}")
        assertTrue(outcomes.sumOf { it.drainedCount } >= count / 3, "drained: ${outcomes.sumOf { it.drainedCount }}")
        assertTrue(outcomes.sumOf { it.leaderCount } >= count * 2, "leaders: ${outcomes.sumOf { it.leaderCount }}")
    }

    private companion object {
        const val DEFAULT_SCHEDULE_COUNT = 200

        /** A start command sent before the drain was accepted may still take effect if it is delayed or its response is late. */
        const val DRAIN_SLACK_SECONDS = 34.0
    }
}
