package burlridge.failover

import com.fasterxml.jackson.databind.node.ArrayNode
import com.fasterxml.jackson.databind.node.ObjectNode
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Standby replicas in the whole service, in virtual time: new leaders use them, but only if they are correct. */
internal class ReplicaTakeoverTest {
    /** Guards the check by revision: rows that the successor did not read in full must have come from the change feed. */
    @Test
    fun `a new leader reads its rows from its replica, after a handover or a crash`() {
        val cluster = failoverCluster(2)
        val jobs = cluster.submitJobs()
        cluster.clock.after(20.0) { cluster.leader()?.let(cluster::drain) }
        cluster.clock.after(40.0) { cluster.leader()?.let { cluster.crash(it, 5.0) } }
        cluster.run(140.0)
        cluster.assertNoViolations(jobs)
        val fromReplica = cluster.members.sumOf { cluster.counters(it)["failover.rows_from_replica"] ?: 0L }
        assertTrue(fromReplica > 0, cluster.counters("drover-0").toString())
    }

    /** Guards the audit: a feed that omits a change looks complete by its revisions. */
    @Test
    fun `a change omitted by the feed is detected, and the replica is discarded`() {
        val cluster = failoverCluster(11)
        val jobs = cluster.submitJobs(40)
        var omittedChanges = 0
        cluster.state.tamperWithChanges = { prefix, response ->
            val removalIndex = response.path("events").indexOfFirst { it.has("remove") }
            if (prefix == "live/" && cluster.clock.now > 20.0 && omittedChanges < 5 && removalIndex >= 0) {
                (response.path("events") as ArrayNode).remove(removalIndex)
                omittedChanges++
            }
        }
        cluster.run(90.0)
        assertTrue(omittedChanges > 0)
        assertTrue(cluster.logLineCount("standby replica discarded reason=\"audit of live/") > 0, cluster.logTail())
        cluster.run(160.0)
        cluster.assertNoViolations(jobs)
    }

    /** Guards the check by revision: without it, a new leader would take rows that are some seconds old for the current ones. */
    @Test
    fun `a replica that is not known to be complete up to the fencing token is not used`() {
        val cluster = failoverCluster(12)
        val jobs = cluster.submitJobs(30)
        var isFeedStale = false
        val revisions = HashMap<String, Long>()
        cluster.state.tamperWithChanges = { prefix, response ->
            if (isFeedStale) {
                (response as ObjectNode).put("ledgerRev", revisions.getValue(prefix)).putArray("events")
            } else {
                revisions[prefix] = response.path("ledgerRev").asLong()
            }
        }
        cluster.clock.after(25.0) { isFeedStale = true }
        cluster.clock.after(32.0) { cluster.leader()?.let { cluster.crash(it, 3.0) } }
        cluster.clock.after(45.0) { isFeedStale = false }
        cluster.run(150.0)
        assertTrue(cluster.logLineCount("standby replica not used") > 0, cluster.logTail())
        cluster.assertNoViolations(jobs)
    }
}
