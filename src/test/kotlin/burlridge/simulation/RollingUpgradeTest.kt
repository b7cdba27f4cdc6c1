package burlridge.simulation

import burlridge.job.JobSpecCodec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Tests a rolling upgrade under load: members are killed and restart with the new version, a few at a time, while the others still use the
 * formats and limits of the previous version. That version supports neither gangs nor future limits of the state service, so a member that
 * runs it is simulated by settings that contain neither.
 */
internal class RollingUpgradeTest {
    private val futureLimits = """{"value_kb":2,"txn_ops":4,"write_rps":30}"""

    private fun newClusterOfPreviousVersion(seed: Int): SimulatedCluster =
        SimulatedCluster(seed, nextStateLimits = futureLimits, startsOnOldVersion = true)

    private fun SimulatedCluster.assertFinishedWithoutViolations(jobs: List<String>) {
        assertEquals(emptyList<String>(), invariants.violations, log.takeLast(60).joinToString("\n"))
        assertEquals(
            emptyList<String>(),
            jobs.filterNot { invariants.finished(it) },
            "not finished:\n" + log.takeLast(60).joinToString("\n"),
        )
    }

    private fun SimulatedCluster.submitArrays(count: Int): List<String> =
        (0 until count).map { i ->
            val spec =
                when (i % 3) {
                    0 -> job(i, 20, cpus = 0.5, runSeconds = 25.0)
                    1 -> job(i, 4, cpus = 2.0, team = "crew-x", oneZone = true)
                    else -> job(i, 5, spread = true, runSeconds = 8.0)
                }
            clock.after(5.0 + 4.0 * i) { submit(spec, abortAfter = if (i % 7 == 6) 10.0 else null) }
            spec.id
        }

    private fun SimulatedCluster.upgradeAllMembers(from: Double) {
        members.forEachIndexed { i, member -> clock.after(from + 12.0 * i) { upgrade(member, 2.0) } }
    }

    @Test
    fun `jobs finish when members are upgraded under load, then the limits are lowered, then gangs are submitted`() {
        val cluster = newClusterOfPreviousVersion(31)
        val jobs = cluster.submitArrays(24)
        cluster.upgradeAllMembers(30.0)
        cluster.clock.after(75.0) { cluster.state.lowerLimits(valueKb = 2.0, changesPerTransaction = 4) }
        cluster.clock.after(80.0) { cluster.submit(cluster.gang(90, 6)) }
        cluster.run(240.0)
        cluster.assertFinishedWithoutViolations(jobs + "j-000090")
        assertEquals(0, cluster.state.refusedAsTooLarge)
    }

    /** Guards the gate for gangs: a leader of the previous version cannot read a gang's row, and would stop its tasks. */
    @Test
    fun `gangs are refused until every member supports them, and accepted while a member that supports them is down`() {
        val cluster = newClusterOfPreviousVersion(32)
        val responses = ArrayList<Pair<Double, Int>>()
        var hasRetryAfter = true

        fun submitGangAt(
            at: Double,
            number: Int,
        ) {
            val spec = cluster.gang(number, 2)
            cluster.invariants.submitted(spec)
            cluster.clock.after(at) {
                val member = cluster.upgradedMembers().randomOrNull(cluster.random) ?: return@after
                cluster.request("user", member, "POST", "/api/jobs", JobSpecCodec.encode(spec).toString(), 5.0) { status, _ ->
                    responses += at to status
                    cluster.invariants.answered(spec.id, status, null, submission = true)
                }
            }
        }
        cluster.upgradeAt("drover-0", 20.0)
        cluster.upgradeAt("drover-1", 32.0)
        listOf(28.0, 40.0, 46.0).forEachIndexed { i, at -> submitGangAt(at, i) }
        cluster.onResponse = { status, retrySeconds -> if (status == 503 && retrySeconds == null) hasRetryAfter = false }
        cluster.upgradeAt("drover-2", 50.0)
        cluster.clock.after(60.0) { cluster.crash("drover-2", 30.0) }
        cluster.clock.after(61.0) { cluster.crash("drover-0", 0.2) }
        submitGangAt(70.0, 10)
        cluster.run(120.0)
        assertEquals(listOf(503, 503, 503, 201), responses.sortedBy { it.first }.map { it.second })
        assertTrue(hasRetryAfter, "a refusal without Retry-After")
        assertEquals(emptyList<String>(), cluster.invariants.violations)
    }

    /** Guards the rows that both versions write, whichever of them leads, and rows that are too large for the future limits. */
    @Test
    fun `jobs finish without violations under random faults during an upgrade`() {
        val seedCount = System.getProperty("simulation.seeds")?.toInt() ?: 12
        for (seed in 1..seedCount) {
            val cluster = newClusterOfPreviousVersion(seed + 300)
            val jobs = cluster.submitArrays(24)
            cluster.upgradeAllMembers(25.0 + seed % 20)
            RandomFaults(cluster, seed).schedule(8, 20.0, 110.0)
            cluster.clock.after(85.0) { cluster.state.lowerLimits(valueKb = 2.0, changesPerTransaction = 4) }
            repeat(4) { i -> cluster.clock.after(90.0 + 5 * i) { cluster.submit(cluster.gang(90 + i, 4)) } }
            cluster.run(420.0)
            try {
                cluster.assertFinishedWithoutViolations(jobs + (0 until 4).map { "j-%06d".format(90 + it) })
            } catch (e: AssertionError) {
                throw AssertionError("seed $seed: ${e.message}", e)
            }
        }
    }
}
