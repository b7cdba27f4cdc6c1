package burlridge.failover

import burlridge.json.Json
import burlridge.settings.FailoverSettings
import burlridge.settings.OperatorSettings
import burlridge.simulation.SimulatedCluster
import burlridge.simulation.abort
import burlridge.simulation.job
import burlridge.simulation.submit
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Handovers whose transfer is refused, late or of unknown outcome, in virtual time. */
internal class TransferInDoubtTest {
    /** Guards the stop of lease renewals during a transfer: the transfer is executed, and only its response is lost. */
    @Test
    fun `a transfer whose response is lost results in one leader`() {
        val cluster = failoverCluster(6)
        val jobs = cluster.submitJobs(30)
        var lostResponses = 0
        cluster.onCall = { _, call ->
            val isTransfer = call.path == "/multi" && call.body.orEmpty().contains("\"set\":\"leader\"") && cluster.clock.now > 19.0
            if (isTransfer && lostResponses++ == 0) SimulatedCluster.CallFault.RESPONSE_LOST else SimulatedCluster.CallFault.NONE
        }
        cluster.clock.after(20.0) { cluster.leader()?.let(cluster::drain) }
        cluster.run(150.0)
        cluster.assertNoViolations(jobs)
        assertTrue(lostResponses > 0)
        assertEquals(1, cluster.logLineCount("handed over by"), cluster.logTail())
    }

    /**
     * Guards that a leader whose transfer is in doubt does not answer from its own state: the transfer was executed, but no response of
     * the state service to its writes arrives, no member informs it, and the next leader ends jobs that it would still report as running.
     */
    @Test
    fun `a leader whose transfer is in doubt does not answer from its own state`() {
        for (seed in 30..33) {
            val cluster = failoverCluster(seed)
            val jobs =
                (0 until 60).map { i ->
                    cluster.job(i, 2, runSeconds = 3.0).also { job -> cluster.clock.after(5.0 + i * 0.4) { cluster.submit(job) } }
                }
            cluster.queryAllMembersOnChange = true
            var leaderInDoubt: String? = null
            cluster.onCall = { from, call ->
                val isTransfer = leaderInDoubt == null && cluster.clock.now > 19.9 && call.body.orEmpty().contains("\"set\":\"leader\"")
                if (isTransfer) {
                    leaderInDoubt = from
                    cluster.members.filter { it != from }.forEach { cluster.partition(from, it, 15.0) }
                }
                if (from == leaderInDoubt && call.path == "/multi" &&
                    cluster.clock.now < 35.0
                ) {
                    SimulatedCluster.CallFault.RESPONSE_LOST
                } else {
                    SimulatedCluster.CallFault.NONE
                }
            }
            cluster.clock.after(20.0) { cluster.leader()?.let(cluster::drain) }
            cluster.run(150.0)
            assertNotEquals(null, leaderInDoubt)
            cluster.assertNoViolations(jobs)
        }
    }

    /**
     * Guards the stop of lease renewals during a transfer, by itself: without it the old leader could renew its lease forever. It still
     * receives statuses of a member that has not learned of the transfer, so that it does not count as isolated, and workers that reach
     * only the old leader would keep running tasks that the next leader has cancelled.
     */
    @Test
    fun `a leader whose transfer is in doubt keeps no cancelled task running`() {
        val cluster = failoverCluster(34)
        val jobs = (0 until 6).map { cluster.job(it, 2, runSeconds = 300.0) }
        jobs.forEach { cluster.clock.after(5.0) { cluster.submit(it) } }
        var leaderInDoubt: String? = null
        var confirmedCancellations = 0
        cluster.onCancellationConfirmed = { confirmedCancellations++ }
        cluster.onCall = { from, call ->
            val leaderRowUpdate = Json.parseOrNull(call.body)?.path("then")?.firstOrNull { it.path("set").asText() == "leader" }
            if (leaderInDoubt == null && cluster.clock.now > 59.9 && leaderRowUpdate != null) {
                leaderInDoubt = from
                val successor = leaderRowUpdate.path("value").path("member").asText()
                val third = cluster.members.first { it != from && it != successor }
                cluster.refuseStateRequests(third, 200.0)
                listOf(from, third).forEach { cluster.partition(it, successor, 200.0) }
                cluster.cloud.machineIds().forEach { cluster.partition(it, successor, 200.0) }
                jobs.forEach { job -> cluster.clock.after(1.0) { cluster.abort(job, successor) } }
            }
            if (from == leaderInDoubt &&
                call.path == "/multi"
            ) {
                SimulatedCluster.CallFault.RESPONSE_LOST
            } else {
                SimulatedCluster.CallFault.NONE
            }
        }
        cluster.clock.after(60.0) { cluster.leader()?.let(cluster::drain) }
        cluster.run(60.0 + cluster.cancelSeconds * 2 + 30.0)
        assertEquals(jobs.size, confirmedCancellations, "not confirmed by the next leader\n${cluster.logTail()}")
        assertEquals(emptyList<String>(), cluster.invariants.violations, cluster.logTail())
    }

    /**
     * Guards the in-doubt state of a transfer: the first copy is executed late and all others are refused. A leader that gave up in the
     * meantime would lead at the same time as its successor.
     */
    @Test
    fun `a leader still waits for its transfer when that is executed late`() {
        // A long lease, so that it outlasts the wait for the first response.
        val longLease = OperatorSettings(failover = FailoverSettings(), leaseReports = 3.0)
        var transferCopies = 0
        for (seed in 40..45) {
            val cluster = failoverCluster(seed, longLease)
            val jobs = cluster.submitJobs(30)
            cluster.lateSeconds = 8.0
            var isFirstCopy = true
            cluster.onCall = { _, call ->
                val isTransfer = cluster.clock.now in 19.9..30.0 && call.body.orEmpty().contains("\"set\":\"leader\"")
                if (isTransfer) transferCopies++
                when {
                    !isTransfer -> SimulatedCluster.CallFault.NONE
                    isFirstCopy -> SimulatedCluster.CallFault.DELAYED.also { isFirstCopy = false }
                    else -> SimulatedCluster.CallFault.REFUSED
                }
            }
            cluster.clock.after(20.0) { cluster.leader()?.let(cluster::drain) }
            cluster.run(150.0)
            cluster.assertNoViolations(jobs)
        }
        assertTrue(transferCopies > 6, "$transferCopies copies, of which six are the first ones")
    }

    /**
     * Guards that a leader decides to keep its term only on the response to a copy of the transfer: a copy that is still queued would
     * transfer the leadership nevertheless.
     */
    @Test
    fun `a transfer that the state service refuses is abandoned and the leader keeps its term`() {
        val cluster = failoverCluster(7)
        val jobs = cluster.submitJobs(30)
        var leader: String? = null
        cluster.onCall = { _, call ->
            val isTransfer = call.path == "/multi" && call.body.orEmpty().contains("\"set\":\"leader\"") && cluster.clock.now > 19.0
            if (isTransfer && cluster.clock.now < 24.0) SimulatedCluster.CallFault.REFUSED else SimulatedCluster.CallFault.NONE
        }
        cluster.clock.after(20.0) {
            leader = cluster.leader()
            cluster.leader()?.let(cluster::drain)
        }
        cluster.run(23.0)
        assertEquals(leader, cluster.leader(), cluster.logTail())
        assertTrue(cluster.logLineCount("outcome=abandoned reason=\"the state service refuses it\"") > 0, cluster.logTail())
        cluster.run(150.0)
        cluster.assertNoViolations(jobs)
        assertNotEquals(leader, cluster.leader())
    }
}
