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

/** Handovers whose transfer is refused, late, or of unknown outcome, in virtual time. */
internal class TransferInDoubtTest {
    /** Guards the stop of renewals while a transfer is under way: only the answer of the transfer is lost, and it was carried out. */
    @Test
    fun `a transfer of which only the answer is lost makes one leader`() {
        val cluster = failoverCluster(6)
        val jobs = cluster.submitJobs(30)
        var lost = 0
        cluster.onCall = { _, call ->
            val transfer = call.path == "/multi" && call.body.orEmpty().contains("\"set\":\"leader\"") && cluster.clock.now > 19.0
            if (transfer && lost++ == 0) SimulatedCluster.CallFate.ANSWER_LOST else SimulatedCluster.CallFate.FINE
        }
        cluster.clock.after(20.0) { cluster.leader()?.let(cluster::drain) }
        cluster.run(150.0)
        cluster.assertCorrect(jobs)
        assertTrue(lost > 0)
        assertEquals(1, cluster.logged("handed over by"), cluster.tail())
    }

    /**
     * Guards the silence of a leader whose transfer is in doubt: it was carried out, no answer of the state service to its writes
     * arrives, no member tells it, and the next leader ends jobs that it would still call running.
     */
    @Test
    fun `a leader whose transfer is in doubt answers nothing of its own`() {
        for (seed in 30..33) {
            val cluster = failoverCluster(seed)
            val jobs =
                (0 until 60).map { i ->
                    cluster.job(i, 2, runSeconds = 3.0).also { job -> cluster.clock.after(5.0 + i * 0.4) { cluster.submit(job) } }
                }
            cluster.closeLooks = true
            var inDoubt: String? = null
            cluster.onCall = { from, call ->
                val transfer = inDoubt == null && cluster.clock.now > 19.9 && call.body.orEmpty().contains("\"set\":\"leader\"")
                if (transfer) {
                    inDoubt = from
                    cluster.members.filter { it != from }.forEach { cluster.cut(from, it, 15.0) }
                }
                if (from == inDoubt && call.path == "/multi" &&
                    cluster.clock.now < 35.0
                ) {
                    SimulatedCluster.CallFate.ANSWER_LOST
                } else {
                    SimulatedCluster.CallFate.FINE
                }
            }
            cluster.clock.after(20.0) { cluster.leader()?.let(cluster::drain) }
            cluster.run(150.0)
            assertNotEquals(null, inDoubt)
            cluster.assertCorrect(jobs)
        }
    }

    /**
     * Guards the stop of renewals during a transfer, by itself: the old leader's lease could be renewed for ever, it hears a member that
     * knows no better, and workers that reach only it run tasks that the next leader has cancelled.
     */
    @Test
    fun `a leader whose transfer is in doubt keeps no cancelled task alive`() {
        val cluster = failoverCluster(34)
        val jobs = (0 until 6).map { cluster.job(it, 2, runSeconds = 300.0) }
        jobs.forEach { cluster.clock.after(5.0) { cluster.submit(it) } }
        var inDoubt: String? = null
        var confirmed = 0
        cluster.onCancelled = { confirmed++ }
        cluster.onCall = { from, call ->
            val named = Json.parseOrNull(call.body)?.path("then")?.firstOrNull { it.path("set").asText() == "leader" }
            if (inDoubt == null && cluster.clock.now > 59.9 && named != null) {
                inDoubt = from
                val next = named.path("value").path("member").asText()
                val third = cluster.members.first { it != from && it != next }
                cluster.refuse(third, 200.0)
                listOf(from, third).forEach { cluster.cut(it, next, 200.0) }
                cluster.cloud.names().forEach { cluster.cut(it, next, 200.0) }
                jobs.forEach { job -> cluster.clock.after(1.0) { cluster.abort(job, next) } }
            }
            if (from == inDoubt && call.path == "/multi") SimulatedCluster.CallFate.ANSWER_LOST else SimulatedCluster.CallFate.FINE
        }
        cluster.clock.after(60.0) { cluster.leader()?.let(cluster::drain) }
        cluster.run(60.0 + cluster.cancelSeconds * 2 + 30.0)
        assertEquals(jobs.size, confirmed, "not confirmed by the next leader\n${cluster.tail()}")
        assertEquals(emptyList<String>(), cluster.invariants.broken, cluster.tail())
    }

    /**
     * Guards the doubt: the first copy is carried out late, all others are refused, and a leader that gave up meanwhile would have a
     * rival.
     */
    @Test
    fun `a transfer that is carried out late finds its leader still waiting`() {
        // A long lease, so that it outlasts the wait for the first answer.
        val longLease = OperatorSettings(failover = FailoverSettings(), leaseReports = 3.0)
        var copies = 0
        for (seed in 40..45) {
            val cluster = failoverCluster(seed, longLease)
            val jobs = cluster.submitJobs(30)
            cluster.lateSeconds = 8.0
            var first = true
            cluster.onCall = { _, call ->
                val transfer = cluster.clock.now in 19.9..30.0 && call.body.orEmpty().contains("\"set\":\"leader\"")
                if (transfer) copies++
                when {
                    !transfer -> SimulatedCluster.CallFate.FINE
                    first -> SimulatedCluster.CallFate.LATE.also { first = false }
                    else -> SimulatedCluster.CallFate.REFUSED
                }
            }
            cluster.clock.after(20.0) { cluster.leader()?.let(cluster::drain) }
            cluster.run(150.0)
            cluster.assertCorrect(jobs)
        }
        assertTrue(copies > 6, "$copies copies, of which six are the first ones")
    }

    /** Guards the decision to lead on, which is taken only in the answer to a copy: a copy in the queue would transfer all the same. */
    @Test
    fun `a transfer that the state service refuses is given up and the leader leads on`() {
        val cluster = failoverCluster(7)
        val jobs = cluster.submitJobs(30)
        var leader: String? = null
        cluster.onCall = { _, call ->
            val transfer = call.path == "/multi" && call.body.orEmpty().contains("\"set\":\"leader\"") && cluster.clock.now > 19.0
            if (transfer && cluster.clock.now < 24.0) SimulatedCluster.CallFate.REFUSED else SimulatedCluster.CallFate.FINE
        }
        cluster.clock.after(20.0) {
            leader = cluster.leader()
            cluster.leader()?.let(cluster::drain)
        }
        cluster.run(23.0)
        assertEquals(leader, cluster.leader(), cluster.tail())
        assertTrue(cluster.logged("outcome=abandoned reason=\"the state service refuses it\"") > 0, cluster.tail())
        cluster.run(150.0)
        cluster.assertCorrect(jobs)
        assertNotEquals(leader, cluster.leader())
    }
}
