package burlridge.failover

import burlridge.app.CommandLine
import burlridge.app.FailoverReportFormatter
import burlridge.app.SettingsFiles
import burlridge.json.Json
import burlridge.message.FailoverStatus
import burlridge.message.HandoverMessage
import burlridge.message.PeerMessage
import burlridge.settings.FailoverSettings
import burlridge.settings.InvalidSettingsException
import burlridge.settings.OperatorSettings
import burlridge.simulation.SimulatedCluster
import com.fasterxml.jackson.databind.JsonNode
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Invalid and unexpected input from unknown senders, from other versions and from operators. */
internal class FailoverInputTest {
    private fun SimulatedCluster.requestAndWait(
        member: String,
        method: String,
        path: String,
    ): Pair<Int, JsonNode> {
        var response: Pair<Int, JsonNode>? = null
        request("operator", member, method, path, "", 5.0) { status, body -> response = status to Json.parse(body) }
        run(clock.now + 3.0)
        return response ?: error("no response")
    }

    @Test
    fun `the failover section is parsed, and each invalid key is named in a one-line message`() {
        val settings = OperatorSettings.parse("[failover]\nstandbys = 2\nsuspect_level = 6.5\ntrace_file = t.jsonl\n").failover
        assertEquals(FailoverSettings(standbys = 2, suspectLevel = 6.5, traceFile = "t.jsonl"), settings)
        assertEquals(FailoverSettings(), OperatorSettings.parse("[failover]\n").failover)
        assertEquals(null, OperatorSettings.parse("[fleet]\n").failover)
        val expectedMessages =
            mapOf(
                "standby = 1" to "unknown key standby",
                "standbys = 1.5" to "standbys in [failover] must be a whole number",
                "standbys = many" to "standbys in [failover] must be a number",
                "standbys = -1" to "standbys in [failover] must be a number from 0.0 to 10.0",
                "suspect_level = 0" to "suspect_level in [failover]",
                "refresh_reports = NaN" to "refresh_reports in [failover]",
                "replica_part = 2" to "replica_part in [failover]",
                "slow_stalls = 1e9" to "slow_stalls in [failover]",
                "trace_file =" to "trace_file in [failover] is empty",
            )
        for ((line, expected) in expectedMessages) {
            val message =
                assertThrows(
                    InvalidSettingsException::class.java,
                    { OperatorSettings.parse("[failover]\n$line\n") },
                    line,
                ).message.orEmpty()
            assertTrue(expected in message && '\n' !in message, message)
        }
    }

    @Test
    fun `heartbeats that are duplicates, from the future or from unknown members are refused, counted and logged once`() {
        val cluster = SimulatedCluster(1, operator = withFailover)
        cluster.run(10.0)
        val status = FailoverStatus(incarnation = 1, sequence = 1)

        fun sendHeartbeat(
            from: String,
            failover: FailoverStatus,
        ) = cluster.deliverMessage("drover-0", PeerMessage.Status(from, 0, "", false, false, true, emptyList(), failover))
        repeat(50) { sendHeartbeat("drover-1", status) }
        sendHeartbeat("drover-1", status.copy(incarnation = Long.MAX_VALUE, sequence = 9))
        sendHeartbeat("drover-9", status)
        sendHeartbeat("", status.copy(incarnation = -5, sequence = Long.MIN_VALUE))
        assertEquals(53, cluster.counters("drover-0")["failover.heartbeats_refused"])
        cluster.run(20.0)
        assertEquals(1, cluster.log.count { "heartbeats refused" in it }, cluster.log.filter { "heartbeat" in it }.toString())
        val reports = cluster.requestAndWait("drover-0", "GET", MemberRequests.STATUS).second.path("members")
        assertEquals(listOf("drover-1", "drover-2"), reports.map { it.path("member").asText() })
        assertTrue(reports.all { it.path("state").asText() == "alive" }, reports.toString())
    }

    /** None of these messages may change the leader, whatever their order: each names a wrong attempt, term or member. */
    @Test
    fun `messages of a handover that was never offered change nothing`() {
        val cluster = SimulatedCluster(2, operator = withFailover)
        cluster.run(10.0)
        val leader = cluster.leader()!!
        val term = Json.parse(cluster.state.value("term").toString()).path("n").asLong()
        val messages =
            listOf(
                HandoverMessage.Accept(7, term, 1),
                HandoverMessage.Accept(0, -1, Long.MAX_VALUE),
                HandoverMessage.Transferred(7, term + 1),
                HandoverMessage.Decline(7, "x".repeat(10_000)),
                HandoverMessage.Withdraw(7, ""),
                HandoverMessage.Offer(7, term, "not the leader's"),
            )
        for (member in cluster.members) {
            for (from in cluster.members + "drover-9") messages.forEach { cluster.deliverMessage(member, PeerMessage.Handover(from, it)) }
        }
        // An offer that the leader did not make leaves an unused lease.
        cluster.run(60.0)
        assertEquals(leader, cluster.leader())
        assertEquals(
            term,
            cluster.state
                .value("term")
                ?.path("n")
                ?.asLong(),
        )
        // Each member refuses the messages of the unknown member and those that carry its own name.
        assertEquals(setOf(messages.size * 2L), cluster.members.map { cluster.counters(it)["failover.messages_refused"] }.toSet())
    }

    @Test
    fun `status and drain respond to valid requests and give the reason for a refusal`() {
        val cluster = SimulatedCluster(3, operator = withFailover)
        cluster.run(10.0)
        val leader = cluster.leader()!!
        val (other, third) = cluster.members.filter { it != leader }
        val (status, report) = cluster.requestAndWait(other, "GET", MemberRequests.STATUS)
        assertEquals(200, status)
        assertEquals(leader, report.path("leader").asText())
        val text = FailoverReportFormatter.describe(report)
        assertTrue("leader $leader, term 1" in text && "$third alive" in text, text)
        assertEquals(405, cluster.requestAndWait(other, "POST", MemberRequests.STATUS).first)
        assertEquals(405, cluster.requestAndWait(other, "GET", MemberRequests.DRAIN).first)
        assertEquals(404, cluster.requestAndWait(other, "GET", "/admin/other").first)
        val (unknownStatus, unknownBody) = cluster.requestAndWait(other, "POST", MemberRequests.DRAIN + "/drover-9")
        assertEquals(409 to "drover-9 is not drained: there is no member drover-9", unknownStatus to unknownBody.path("error").asText())
        cluster.crash(third, 1000.0)
        cluster.run(cluster.clock.now + 10.0)
        val (notAliveStatus, notAliveBody) = cluster.requestAndWait(other, "POST", MemberRequests.DRAIN + "/$third")
        assertEquals(409, notAliveStatus)
        assertTrue("$third is suspected" in notAliveBody.path("error").asText(), notAliveBody.toString())
        assertEquals(200, cluster.requestAndWait(other, "POST", MemberRequests.DRAIN + "/$leader").first)
        cluster.run(cluster.clock.now + 5.0)
        assertEquals(other, cluster.leader(), cluster.log.takeLast(20).joinToString("\n"))
        assertEquals(200, cluster.requestAndWait(leader, "POST", MemberRequests.DRAIN).first, "a repeated drain request is accepted")
        assertTrue(
            cluster
                .requestAndWait(leader, "GET", MemberRequests.STATUS)
                .second
                .path("drained")
                .asBoolean(),
        )
        val (lastStatus, lastBody) = cluster.requestAndWait(other, "POST", MemberRequests.DRAIN)
        assertEquals(409 to "$other is not drained: no other member is alive to take over", lastStatus to lastBody.path("error").asText())
    }

    @Test
    fun `without failover the status and drain paths do not exist`() {
        val cluster = SimulatedCluster(4)
        cluster.run(10.0)
        assertEquals(404, cluster.requestAndWait("drover-0", "GET", MemberRequests.STATUS).first)
        assertEquals(404, cluster.requestAndWait("drover-0", "POST", MemberRequests.DRAIN).first)
    }

    @Test
    fun `the command line accepts status and drain`() {
        val files = SettingsFiles("a.json", "b.ini")
        val both = listOf("--config", "a.json", "--settings", "b.ini")
        assertEquals(CommandLine.Status(files), CommandLine.parse(listOf("status") + both))
        assertEquals(CommandLine.Drain(files, null, 30), CommandLine.parse(listOf("drain") + both))
        assertEquals(CommandLine.Drain(files, "m", 5), CommandLine.parse(listOf("drain", "--member", "m", "--wait", "5") + both))
        assertTrue(CommandLine.parse(listOf("drain", "--wait", "soon") + both) is CommandLine.Invalid)
        assertTrue(CommandLine.parse(listOf("status", "--wait", "5") + both) is CommandLine.Invalid)
    }
}
