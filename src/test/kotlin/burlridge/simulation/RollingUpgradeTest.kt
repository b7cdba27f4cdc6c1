package burlridge.simulation

import burlridge.job.JobSpecCodec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * The upgrade while the service serves: members are killed and come back new, a few at a time, while others keep to the forms and
 * limits of the version before. It knows neither gangs nor the limits to come, so such a member is one whose settings lack both.
 */
internal class RollingUpgradeTest {
    private val limits = """{"value_kb":2,"txn_ops":4,"write_rps":30}"""

    private fun mixed(seed: Int): SimulatedCluster = SimulatedCluster(seed, nextStateLimits = limits, startsOnOldVersion = true)

    private fun SimulatedCluster.verdict(jobs: List<String>) {
        assertEquals(emptyList<String>(), invariants.violations, log.takeLast(60).joinToString("\n"))
        assertEquals(emptyList<String>(), jobs.filterNot { invariants.finished(it) }, "not over:\n" + log.takeLast(60).joinToString("\n"))
    }

    private fun SimulatedCluster.arrays(count: Int): List<String> =
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

    private fun SimulatedCluster.roll(from: Double) {
        members.forEachIndexed { i, member -> clock.after(from + 12.0 * i) { upgrade(member, 2.0) } }
    }

    @Test
    fun `members are upgraded one by one under load, then the limits are lowered, then gangs come`() {
        val cluster = mixed(31)
        val jobs = cluster.arrays(24)
        cluster.roll(30.0)
        cluster.clock.after(75.0) { cluster.state.lowerLimits(valueKb = 2.0, changesPerTransaction = 4) }
        cluster.clock.after(80.0) { cluster.submit(cluster.gang(90, 6)) }
        cluster.run(240.0)
        cluster.verdict(jobs + "j-000090")
        assertEquals(0, cluster.state.refusedAsTooLarge)
    }

    /** Guards the gate: an older leader cannot read a gang's row, and would stop its tasks. */
    @Test
    fun `no gang is taken before every member knows gangs, and one is while a member that knows them is down`() {
        val cluster = mixed(32)
        val answers = ArrayList<Pair<Double, Int>>()
        var retryAfter = true

        fun ask(
            at: Double,
            number: Int,
        ) {
            val spec = cluster.gang(number, 2)
            cluster.invariants.submitted(spec)
            cluster.clock.after(at) {
                val member = cluster.upgradedMembers().randomOrNull(cluster.random) ?: return@after
                cluster.request("user", member, "POST", "/api/jobs", JobSpecCodec.encode(spec).toString(), 5.0) { status, _ ->
                    answers += at to status
                    cluster.invariants.answered(spec.id, status, null, submission = true)
                }
            }
        }
        cluster.upgradeAt("drover-0", 20.0)
        cluster.upgradeAt("drover-1", 32.0)
        listOf(28.0, 40.0, 46.0).forEachIndexed { i, at -> ask(at, i) }
        cluster.onResponse = { status, retrySeconds -> if (status == 503 && retrySeconds == null) retryAfter = false }
        cluster.upgradeAt("drover-2", 50.0)
        cluster.clock.after(60.0) { cluster.crash("drover-2", 30.0) }
        cluster.clock.after(61.0) { cluster.crash("drover-0", 0.2) }
        ask(70.0, 10)
        cluster.run(120.0)
        assertEquals(listOf(503, 503, 503, 201), answers.sortedBy { it.first }.map { it.second })
        assertTrue(retryAfter, "a refusal without Retry-After")
        assertEquals(emptyList<String>(), cluster.invariants.violations)
    }

    /** Guards what old and new write to the same rows, whichever leads, and the rows that are too large for the limits to come. */
    @Test
    fun `whatever fails during the upgrade, the rules hold and every job ends`() {
        val days = System.getProperty("simulation.seeds")?.toInt() ?: 12
        for (seed in 1..days) {
            val cluster = mixed(seed + 300)
            val jobs = cluster.arrays(24)
            cluster.roll(25.0 + seed % 20)
            RandomFaults(cluster, seed).schedule(8, 20.0, 110.0)
            cluster.clock.after(85.0) { cluster.state.lowerLimits(valueKb = 2.0, changesPerTransaction = 4) }
            repeat(4) { i -> cluster.clock.after(90.0 + 5 * i) { cluster.submit(cluster.gang(90 + i, 4)) } }
            cluster.run(420.0)
            try {
                cluster.verdict(jobs + (0 until 4).map { "j-%06d".format(90 + it) })
            } catch (e: AssertionError) {
                throw AssertionError("seed $seed: ${e.message}", e)
            }
        }
    }
}
