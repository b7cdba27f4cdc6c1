package burlridge.failover

import com.fasterxml.jackson.databind.node.ArrayNode
import com.fasterxml.jackson.databind.node.ObjectNode
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Standby replicas in the whole service, in virtual time: that new leaders use them, and only correct ones. */
internal class ReplicaTakeoverTest {
    /** Guards the proof by revision: what the successor did not read in full it must have by the change feed. */
    @Test
    fun `a successor reads from its replica, and a leader that dies leaves one as well`() {
        val cluster = failoverCluster(2)
        val jobs = cluster.submitJobs()
        cluster.clock.after(20.0) { cluster.leader()?.let(cluster::drain) }
        cluster.clock.after(40.0) { cluster.leader()?.let { cluster.crash(it, 5.0) } }
        cluster.run(140.0)
        cluster.assertCorrect(jobs)
        val fromReplica = cluster.members.sumOf { cluster.work(it)["failover.rows_from_replica"] ?: 0L }
        assertTrue(fromReplica > 0, cluster.work("drover-0").toString())
    }

    /** Guards the audit: a feed that leaves a change out looks whole by its revisions. */
    @Test
    fun `a change that the feed left out is found, and the replica read anew`() {
        val cluster = failoverCluster(11)
        val jobs = cluster.submitJobs(40)
        var left = 0
        cluster.state.tamperWithChanges = { prefix, answer ->
            val removed = answer.path("events").indexOfFirst { it.has("remove") }
            if (prefix == "live/" && cluster.clock.now > 20.0 && left < 5 && removed >= 0) {
                (answer.path("events") as ArrayNode).remove(removed)
                left++
            }
        }
        cluster.run(90.0)
        assertTrue(left > 0)
        assertTrue(cluster.logged("standby replica discarded reason=\"audit of live/") > 0, cluster.tail())
        cluster.run(160.0)
        cluster.assertCorrect(jobs)
    }

    /** Guards the proof by revision: without it a new leader takes what was known some seconds ago for all there is. */
    @Test
    fun `a replica that is not shown to be as far as the fence is not used`() {
        val cluster = failoverCluster(12)
        val jobs = cluster.submitJobs(30)
        var stale = false
        val revisions = HashMap<String, Long>()
        cluster.state.tamperWithChanges = { prefix, answer ->
            if (stale) {
                (answer as ObjectNode).put("ledgerRev", revisions.getValue(prefix)).putArray("events")
            } else {
                revisions[prefix] = answer.path("ledgerRev").asLong()
            }
        }
        cluster.clock.after(25.0) { stale = true }
        cluster.clock.after(32.0) { cluster.leader()?.let { cluster.crash(it, 3.0) } }
        cluster.clock.after(45.0) { stale = false }
        cluster.run(150.0)
        assertTrue(cluster.logged("standby replica not used") > 0, cluster.tail())
        cluster.assertCorrect(jobs)
    }
}
