package burlridge.simulation

import burlridge.job.JobSpec
import burlridge.simulation.SimulatedCluster.CallFault
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.random.Random

/**
 * Guards against a leader that counts an attempt as running for the rest of its term although a later attempt has replaced it, so that its
 * team loses a part of its quota. Drawn schedules of late commands, cancellations, lost machines and changes of leader, some of them while
 * the rows are read; the audit of [SimulatedCluster.run] compares the counts each second. More schedules on demand:
 * `mvn test -Dtest=LeaderChangeAccountingTest -Dsimulation.leaderChanges=5000`.
 */
internal class LeaderChangeAccountingTest {
    @Test
    fun `a leader counts each attempt that may run exactly once after any change of leader`() {
        val schedules = System.getProperty("simulation.leaderChanges")?.toInt() ?: DEFAULT_SCHEDULES
        val failures = (1..schedules).mapNotNull { seed -> runSchedule(seed).firstOrNull()?.let { "seed $seed: $it" } }
        assertEquals(emptyList<String>(), failures, "${failures.size} of $schedules schedules")
    }

    private fun runSchedule(seed: Int): List<String> {
        val seededRandom = Random(seed)
        val cluster =
            SimulatedCluster(seed, types = mapOf("small" to MachineTypeSpec(4.0, 16.0, 2), "big" to MachineTypeSpec(16.0, 64.0, 2)))
        val jobs = (0 until JOBS).map { cluster.drawJob(it, seededRandom) }
        jobs.forEachIndexed { i, job ->
            val abortAfter = if (seededRandom.nextInt(4) > 0) seededRandom.nextDouble() * 25 else null
            cluster.clock.after(5.0 + i * 2.5) { cluster.submit(job, abortAfter) }
        }
        injectCallFaults(cluster, seededRandom)
        repeat(LEADER_CHANGES) {
            cluster.clock.after(15.0 + seededRandom.nextDouble() * 60) {
                cluster.leader()?.let { cluster.crash(it, seededRandom.nextDouble() * 5) }
            }
        }
        cluster.clock.after(20.0 + seededRandom.nextDouble() * 50) {
            cluster.cloud
                .machineIds()
                .randomOrNull(seededRandom)
                ?.let(cluster.cloud::reclaim)
        }
        cluster.run(END_SECONDS)
        return cluster.invariants.violations
    }

    private fun SimulatedCluster.drawJob(
        number: Int,
        seededRandom: Random,
    ): JobSpec {
        val tasks = 1 + seededRandom.nextInt(4)
        val runSeconds = 5.0 + seededRandom.nextDouble() * 20
        return if (seededRandom.nextInt(4) == 0) {
            gang(number, tasks, runSeconds = runSeconds, team = "crew-x")
        } else {
            job(number, tasks, runSeconds = runSeconds, team = "crew-x", spread = seededRandom.nextInt(4) == 0)
        }
    }

    /** A part of the commands and transactions is executed late, not answered or not sent; some new leaders crash while they read rows. */
    private fun injectCallFaults(
        cluster: SimulatedCluster,
        seededRandom: Random,
    ) {
        cluster.lateSeconds = 8.0
        cluster.onCall = { member, call ->
            val isActive = cluster.clock.now < FAULTS_END_SECONDS
            if (isActive && call.path.startsWith(BATCH_LISTING) && seededRandom.nextInt(4) == 0) {
                cluster.clock.after(0.0) { cluster.crash(member, seededRandom.nextDouble() * 5) }
            }
            val oneIn = if (call.path == "/do") 2 else 15
            val isAffected = isActive && call.path in setOf("/do", "/multi") && seededRandom.nextInt(oneIn) == 0
            if (isAffected) CallFault.FAILURES.random(seededRandom) else CallFault.NONE
        }
    }

    private companion object {
        const val DEFAULT_SCHEDULES = 300

        /** The request for the rows of allocations, which a new leader reads between those of its jobs and its rentals. */
        const val BATCH_LISTING = "/store?starts=round/"
        const val JOBS = 16
        const val LEADER_CHANGES = 6
        const val FAULTS_END_SECONDS = 80.0
        const val END_SECONDS = 130.0
    }
}
