package burlridge.worker

import burlridge.simulation.SimulatedCluster
import burlridge.simulation.job
import burlridge.simulation.submit
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against heartbeats in the names of machines that do not exist: what was kept of them ended the leader or a follower. */
internal class UnlistedReportsTest {
    private val listed = HashSet<String>()
    private val gone = HashSet<String>()
    private val reports = UnlistedReports(1_000, listed::contains) { it !in gone }

    @Test
    fun `unlisted machines share a budget, and others do not count`() {
        assertTrue(reports.admits("m-1", 600, 1.0))
        assertTrue(reports.admits("m-2", 10, 1.0))
        assertTrue(reports.admits("m-1", 800, 1.0))
        assertFalse(reports.admits("m-3", 10, 1.0), "each counts for at least 200")
        listed += "m-3"
        assertTrue(reports.admits("m-3", 60_000, 1.0))
        listed += "m-1"
        assertTrue(reports.admits("m-4", 700, 3.0), "m-1 is listed by now")
        gone += "m-4"
        assertTrue(reports.admits("m-5", 700, 5.0), "m-4 is gone")
    }

    @Test
    fun `a name that is too long counts as missing`() {
        val name = "m".repeat(201)
        assertNull(Heartbeat.decode("""{"drover":"$name"}"""))
        val heartbeat = Heartbeat.decode("""{"drover":"m-1","breed":"$name","yard":"$name","pieces":[{"piece":"$name","try":1}]}""")
        assertEquals(Heartbeat("m-1", tasks = mapOf("@1" to TaskStatus("", 1, TaskState.of(""), null, false))), heartbeat)
    }

    @Test
    fun `a flood of unlisted machines is refused while the service goes on`() {
        val cluster = SimulatedCluster(1)
        val accepted = cluster.job(1, 3, runSeconds = 40.0)
        cluster.clock.after(4.0) { cluster.submit(accepted) }
        cluster.run(20.0)
        val tasks = (0 until 1_000).joinToString(",") { """{"piece":"j-900000/$it","try":1,"standing":"running"}""" }
        val statuses = HashMap<Int, Int>()
        repeat(400) { i ->
            cluster.clock.after(i * 0.01) {
                val body = """{"drover":"m-9%05d","addr":"10.9.9.9:1","stint":1,"tally":1,"baton":0,"pieces":[$tasks]}""".format(i)
                cluster.request(
                    "fake",
                    checkNotNull(cluster.leader()),
                    "POST",
                    "/agent/beat",
                    body,
                    5.0,
                ) { status, _ -> statuses.merge(status, 1, Int::plus) }
            }
        }
        cluster.run(120.0)
        assertEquals(setOf(200, 503), statuses.keys)
        assertTrue(statuses.getValue(503) > 200, "$statuses")
        assertEquals(emptyList<String>(), cluster.invariants.violations)
        assertTrue(cluster.invariants.finished(accepted.id))
    }
}
