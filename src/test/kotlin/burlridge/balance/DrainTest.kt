package burlridge.balance

import burlridge.settings.BalanceSettings
import burlridge.settings.MovePermission
import burlridge.settings.OperatorSettings
import burlridge.simulation.SimulatedCluster
import burlridge.simulation.job
import burlridge.simulation.submit
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Tests drains in a simulated cluster, in virtual time, with failing controllers. */
internal class DrainTest {
    private fun SimulatedCluster.machineCountByZone() = cloud.machineIds().groupingBy { cloud.worker(it)?.zone }.eachCount()

    @Test
    fun `a drained zone is emptied and nothing is rented there, even if leaders crash during the drain`() {
        for (failover in listOf(false, true)) {
            val cluster = clusterWithBalance(1, members = if (failover) 5 else 3, failover = failover)
            val jobs = cluster.submitAll((0 until 20).map { cluster.checkpointingJob(it, 3) }, 20.0)
            cluster.clock.after(40.0) { cluster.drainZone("a") }
            // Just after the request, while the zone is being emptied, and once it is empty.
            listOf(40.5, 45.0, 100.0).forEach { at -> cluster.clock.after(at) { cluster.leader()?.let { cluster.crash(it, 6.0) } } }
            cluster.run(180.0)
            cluster.assertNoViolations(jobs)
            assertEquals(setOf("b"), cluster.machineCountByZone().keys, cluster.recentLog())
            assertEquals("drained", cluster.drainStateOf("zone/a"))
            assertTrue(cluster.history.stops.isNotEmpty(), "nothing was moved")
        }
    }

    /** Guards against a drain that is kept only in the memory of a leader: a new leader must load it from its row. */
    @Test
    fun `a drain survives a restart of all members, and ends when it is cancelled`() {
        val cluster = clusterWithBalance(2)
        val jobs = cluster.submitAll((0 until 12).map { cluster.checkpointingJob(it, 3, runSeconds = 15.0) }, 60.0, everySeconds = 4.0)
        cluster.clock.after(20.0) { cluster.drainZone("a") }
        cluster.clock.after(30.0) { cluster.members.forEach { cluster.crash(it, 3.0) } }
        val zoneBoundJobs = cluster.submitAll(listOf(cluster.checkpointingJob(90, 3).copy(zone = "a")), 50.0)
        cluster.clock.after(80.0) { cluster.undrainZone("a") }
        cluster.clock.after(81.0) { cluster.leader()?.let { cluster.crash(it, 4.0) } }
        cluster.run(75.0)
        assertEquals(setOf("b"), cluster.machineCountByZone().keys)
        cluster.run(170.0)
        cluster.assertNoViolations(jobs + zoneBoundJobs)
        assertEquals(setOf("a", "b"), cluster.machineCountByZone().keys, cluster.recentLog())
        assertTrue(cluster.invariants.firstStart(zoneBoundJobs.first().id) > 80.0, "a job bound to the zone must wait for it")
    }

    @Test
    fun `repeated and concurrent requests through several members create one drain`() {
        val cluster = clusterWithBalance(3)
        var accepted = 0
        cluster.clock.after(20.0) {
            val others = cluster.members.filter { it != cluster.leader() }
            (others + others).forEach { cluster.drainZone("a", { it }) { accepted++ } }
        }
        cluster.run(40.0)
        assertEquals(4, accepted)
        assertEquals(1, cluster.log.count { "drain changed zone=a state=requested" in it }, cluster.recentLog())
        assertEquals(listOf("drain/zone/a"), cluster.state.keys(Drain.PREFIX))
    }

    /** The leader rejects one of the two as busy, and it is retried; in the end all members report the same state. */
    @Test
    fun `concurrent drain and cancellation leave one state that all members report`() {
        for (seed in 1..10) {
            val cluster = clusterWithBalance(seed)
            cluster.clock.after(20.0) {
                val (one, other) = cluster.members.filter { it != cluster.leader() }
                cluster.drainZone("a", { one })
                cluster.clock.after(0.002 * seed) { cluster.undrainZone("a", { other }) }
            }
            cluster.clock.after(20.1) { cluster.leader()?.let { cluster.crash(it, 3.0) } }
            cluster.run(60.0)
            val states = cluster.members.map { cluster.requestAndWait(it, "GET", MachineRequests.STATUS).second.path("drains") }
            assertEquals(1, states.map { it.toString() }.toSet().size, states.toString())
            val reportedState =
                states
                    .first()
                    .first()
                    .path("state")
                    .asText()
            assertEquals(cluster.drainStateOf("zone/a"), reportedState)
            assertTrue(reportedState in setOf("cancelled", "drained", "draining"), reportedState)
        }
    }

    @Test
    fun `a member that cannot reach the leader responds with 503, and later forwards the drain once`() {
        val cluster = clusterWithBalance(4)
        val jobs = cluster.submitAll((0 until 8).map { cluster.checkpointingJob(it, 3) }, 15.0)
        cluster.run(30.0)
        val leader = cluster.leader() ?: error("no leader")
        val partitionedMember = cluster.members.first { it != leader }
        // The forwarded request is lost, because the member is partitioned from all others.
        cluster.partitionFromPeers(partitionedMember, 20.0)
        val (status, response) = cluster.requestAndWait(partitionedMember, "POST", MachineRequests.DRAIN, """{"zone":"a"}""")
        assertEquals(503, status)
        assertTrue("does not answer" in response.path("error").asText(), response.toString())
        assertEquals(null, cluster.drainStateOf("zone/a"))
        cluster.drainZone("a", { partitionedMember })
        cluster.run(150.0)
        cluster.assertNoViolations(jobs)
        assertEquals(1, cluster.log.count { "drain changed zone=a state=requested" in it }, cluster.recentLog())
    }

    @Test
    fun `a drain of the last machine that fits a task is refused unless forced, and the reason names the job`() {
        val cluster = SimulatedCluster(5, operator = operatorSettingsWithBalance())
        val guaranteed = cluster.job(1, 1, runSeconds = 60.0, team = "crew-x", zone = "a")
        val elsewhere = cluster.job(2, 1, runSeconds = 60.0, zone = "b")
        cluster.clock.after(12.0) { listOf(guaranteed, elsewhere).forEach { cluster.submit(it) } }
        cluster.run(45.0)
        val (status, response) = cluster.requestAndWait(cluster.anyMember(), "POST", MachineRequests.DRAIN, """{"zone":"a"}""")
        assertEquals(409, status, response.toString())
        assertTrue("j-000001" in response.path("error").asText(), response.toString())
        assertEquals(200, cluster.requestAndWait(cluster.anyMember(), "POST", MachineRequests.DRAIN, """{"zone":"a","force":true}""").first)
        cluster.run(50.0)
        assertEquals("draining", cluster.drainStateOf("zone/a"), "a task without checkpoints must run to its end")
        assertEquals(
            "does not save and may not be repeated",
            cluster
                .report()
                .path("drains")
                .first()
                .path("waits_for")
                .fieldNames()
                .next(),
        )
        cluster.run(120.0)
        cluster.assertNoViolations(listOf(guaranteed, elsewhere))
        assertEquals("drained", cluster.drainStateOf("zone/a"), cluster.recentLog())
    }

    /** Guards the drain row of a straggler: without it the next leader places tasks there until it has detected the straggler again. */
    @Test
    fun `a straggler stays drained when the leader that detected it crashes`() {
        val cluster = clusterWithBalance(6, members = 5)
        val jobs = cluster.submitAll((0 until 30).map { cluster.job(it, 10, runSeconds = 12.0) }, 15.0, everySeconds = 1.0)
        cluster.run(20.0)
        val slow =
            cluster.history.starts
                .first()
                .machine
        cluster.cloud.worker(slow)?.slowness = 6.0
        while (cluster.clock.now < 100 &&
            cluster.log.none { "straggler machine evicted machine=$slow " in it }
        ) {
            cluster.run(cluster.clock.now + 0.1)
        }
        val foundAt = cluster.clock.now
        assertTrue(foundAt < 60.0, cluster.recentLog())
        cluster.run(foundAt + 0.2)
        cluster.crash(cluster.leader() ?: error("no leader"), 3.0)
        cluster.run(150.0)
        cluster.assertNoViolations(jobs)
        assertEquals(
            emptyList<String>(),
            cluster.history.starts
                .filter { it.machine == slow && it.at > foundAt + 2.5 }
                .map { "$it" },
        )
        assertEquals(1, cluster.log.count { "straggler machine evicted machine=$slow " in it }, cluster.recentLog())
    }

    /** Guards the condition on the row's own revision: the fencing token alone admits every delayed copy of the same leader's writes. */
    @Test
    fun `delayed copies of a drain's writes that arrive after its cancellation change nothing`() {
        val cluster = clusterWithBalance(9)
        cluster.lateSeconds = 12.0
        cluster.onCall =
            { _, call ->
                if ("\"set\":\"drain/" in
                    call.body.orEmpty()
                ) {
                    SimulatedCluster.CallFault.DUPLICATED
                } else {
                    SimulatedCluster.CallFault.NONE
                }
            }
        cluster.clock.after(20.0) { cluster.drainZone("a") }
        cluster.clock.after(28.0) { cluster.undrainZone("a") }
        for (at in 29..60) {
            cluster.run(at.toDouble())
            assertEquals("cancelled", cluster.drainStateOf("zone/a"), "at $at s")
        }
    }

    /** Guards the maximum age of a request: it waits in a frozen member until its sender has given up. */
    @Test
    fun `a drain request that is processed only after the cancellation changes nothing`() {
        val cluster = clusterWithBalance(10)
        cluster.clock.after(20.0) { cluster.drainZone("a") }
        cluster.clock.after(30.0) {
            val slow = cluster.members.first { it != cluster.leader() }
            cluster.freeze(slow, 12.0)
            cluster.sendRequest(slow, "POST", MachineRequests.DRAIN, """{"zone":"a","force":true,"asked_ms":30000}""") { _, _ -> }
        }
        cluster.clock.after(33.0) { cluster.undrainZone("a", { cluster.leader() ?: cluster.anyMember() }) }
        cluster.run(60.0)
        assertEquals("cancelled", cluster.drainStateOf("zone/a"), cluster.recentLog())
    }

    /** Guards the wait for the cloud's list and the heartbeats: at first a new leader knows few machines, and not their zones. */
    @Test
    fun `a new leader does not report a zone as drained while tasks run there`() {
        for (seed in 1..8) {
            val cluster = clusterWithBalance(seed, BalanceSettings(defaultMovePermission = MovePermission.NEVER), members = 5)
            val jobs = cluster.submitAll((0 until 10).map { cluster.checkpointingJob(it, 4, runSeconds = 50.0) }, 20.0)
            cluster.clock.after(35.0) { cluster.drainZone("a") }
            for (turn in 0 until 6) cluster.clock.after(36.0 + turn * 5.5) { cluster.leader()?.let { cluster.crash(it, 4.0) } }
            while (cluster.clock.now < 200.0 && cluster.drainStateOf("zone/a") != "drained") cluster.run(cluster.clock.now + 0.1)
            assertEquals(null, cluster.machineCountByZone()["a"], "seed $seed: drained at ${cluster.clock.now}\n${cluster.recentLog()}")
            cluster.run(220.0)
            cluster.assertNoViolations(jobs)
        }
    }

    @Test
    fun `a drain of a network covers machines that join later, and limits further rentals`() {
        val cluster = clusterWithBalance(7)
        val jobs = cluster.submitAll((0 until 20).map { cluster.checkpointingJob(it, 2, runSeconds = 10.0) }, 30.0, everySeconds = 3.0)
        cluster.run(25.0)
        val isCovered = { machine: String -> machine.removePrefix("m-").toInt() in 16..31 }
        val (status, response) = cluster.requestAndWait("drover-1", "POST", MachineRequests.DRAIN, """{"network":"10.1.0.18/28"}""")
        assertEquals(200 to "10.1.0.16/28", status to response.path("network").asText())
        val before = cluster.cloud.rentalRequests.size
        cluster.clock.after(10.0) { cluster.leader()?.let { cluster.crash(it, 3.0) } }
        cluster.run(140.0)
        cluster.assertNoViolations(jobs)
        assertTrue(cluster.cloud.machineIds().none(isCovered), cluster.cloud.machineIds().toString())
        assertTrue(cluster.cloud.rentalRequests.size - before < 60, "rentals: ${cluster.cloud.rentalRequests.size - before}")
    }

    /** While a member of the previous version or with balance switched off leads, drains are not applied, but are not lost either. */
    @Test
    fun `drains survive while members with and without balance lead in turn`() {
        val cluster = clusterWithBalance(8) { if (it == "drover-0") OperatorSettings() else operatorSettingsWithBalance() }
        val jobs = cluster.submitAll((0 until 30).map { cluster.checkpointingJob(it, 3, runSeconds = 20.0) }, 15.0, everySeconds = 3.0)
        cluster.clock.after(30.0) { cluster.drainZone("a", { "drover-1" }) }
        for (turn in 0 until 6) cluster.clock.after(45.0 + turn * 15) { cluster.leader()?.let { cluster.crash(it, 6.0) } }
        cluster.run(40.0)
        val leaders = HashSet<String>()
        cluster.onLeaderChange = { leaders += it }
        cluster.history.acceptedDrains.clear()
        cluster.run(220.0)
        cluster.assertNoViolations(jobs)
        assertTrue("drover-0" in leaders && leaders.size > 1, leaders.toString())
        assertNotEquals(null, cluster.drainStateOf("zone/a"))
        if (cluster.leader() !=
            "drover-0"
        ) {
            assertTrue(
                "a" !in cluster.machineCountByZone().keys || cluster
                    .report()
                    .path("drains")
                    .first()
                    .path("machines_left")
                    .asInt() > 0,
            )
        }
    }
}
