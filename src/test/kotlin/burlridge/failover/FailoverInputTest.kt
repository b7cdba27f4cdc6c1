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

/** What outsiders, older and later versions and operators send wrongly. */
internal class FailoverInputTest {
    private fun SimulatedCluster.ask(
        member: String,
        method: String,
        path: String,
    ): Pair<Int, JsonNode> {
        var answer: Pair<Int, JsonNode>? = null
        request("operator", member, method, path, "", 5.0) { status, body -> answer = status to Json.parse(body) }
        run(clock.now + 3.0)
        return answer ?: error("no answer")
    }

    @Test
    fun `the operators' section is read, and each wrong key named in one line`() {
        val settings = OperatorSettings.parse("[failover]\nstandbys = 2\nsuspect_level = 6.5\ntrace_file = t.jsonl\n").failover
        assertEquals(FailoverSettings(standbys = 2, suspectLevel = 6.5, traceFile = "t.jsonl"), settings)
        assertEquals(FailoverSettings(), OperatorSettings.parse("[failover]\n").failover)
        assertEquals(null, OperatorSettings.parse("[fleet]\n").failover)
        val wrong =
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
        for ((line, complaint) in wrong) {
            val message =
                assertThrows(
                    InvalidSettingsException::class.java,
                    { OperatorSettings.parse("[failover]\n$line\n") },
                    line,
                ).message.orEmpty()
            assertTrue(complaint in message && '\n' !in message, message)
        }
    }

    @Test
    fun `heartbeats that are copies, from the future or of strangers are refused, counted and logged once`() {
        val cluster = SimulatedCluster(1, operator = withFailover)
        cluster.run(10.0)
        val status = FailoverStatus(incarnation = 1, sequence = 1)

        fun heartbeat(
            from: String,
            failover: FailoverStatus,
        ) = cluster.tell("drover-0", PeerMessage.Status(from, 0, "", false, false, true, emptyList(), failover))
        repeat(50) { heartbeat("drover-1", status) }
        heartbeat("drover-1", status.copy(incarnation = Long.MAX_VALUE, sequence = 9))
        heartbeat("drover-9", status)
        heartbeat("", status.copy(incarnation = -5, sequence = Long.MIN_VALUE))
        assertEquals(53, cluster.work("drover-0")["failover.heartbeats_refused"])
        cluster.run(20.0)
        assertEquals(1, cluster.log.count { "heartbeats refused" in it }, cluster.log.filter { "heartbeat" in it }.toString())
        val views = cluster.ask("drover-0", "GET", MemberRequests.STATUS).second.path("members")
        assertEquals(listOf("drover-1", "drover-2"), views.map { it.path("member").asText() })
        assertTrue(views.all { it.path("state").asText() == "alive" }, views.toString())
    }

    /** None of these may move the leadership, whatever the order: each names an attempt, a term or a member that is not the one. */
    @Test
    fun `steps of a handover that was never offered change nothing`() {
        val cluster = SimulatedCluster(2, operator = withFailover)
        cluster.run(10.0)
        val leader = cluster.leader()!!
        val term = Json.parse(cluster.state.value("term").toString()).path("n").asLong()
        val steps =
            listOf(
                HandoverMessage.Accept(7, term, 1),
                HandoverMessage.Accept(0, -1, Long.MAX_VALUE),
                HandoverMessage.Transferred(7, term + 1),
                HandoverMessage.Decline(7, "x".repeat(10_000)),
                HandoverMessage.Withdraw(7, ""),
                HandoverMessage.Offer(7, term, "not the leader's"),
            )
        for (member in cluster.members) {
            for (from in cluster.members + "drover-9") steps.forEach { cluster.tell(member, PeerMessage.Handover(from, it)) }
        }
        // An offer that the leader did not make leaves a lease that nobody uses.
        cluster.run(60.0)
        assertEquals(leader, cluster.leader())
        assertEquals(
            term,
            cluster.state
                .value("term")
                ?.path("n")
                ?.asLong(),
        )
        // From a stranger, and in its own name.
        assertEquals(setOf(steps.size * 2L), cluster.members.map { cluster.work(it)["failover.messages_refused"] }.toSet())
    }

    @Test
    fun `status and drain answer what they are asked and say why not`() {
        val cluster = SimulatedCluster(3, operator = withFailover)
        cluster.run(10.0)
        val leader = cluster.leader()!!
        val (other, third) = cluster.members.filter { it != leader }
        val (status, report) = cluster.ask(other, "GET", MemberRequests.STATUS)
        assertEquals(200, status)
        assertEquals(leader, report.path("leader").asText())
        val text = FailoverReportFormatter.describe(report)
        assertTrue("leader $leader, term 1" in text && "$third alive" in text, text)
        assertEquals(405, cluster.ask(other, "POST", MemberRequests.STATUS).first)
        assertEquals(405, cluster.ask(other, "GET", MemberRequests.DRAIN).first)
        assertEquals(404, cluster.ask(other, "GET", "/admin/other").first)
        val (unknown, why) = cluster.ask(other, "POST", MemberRequests.DRAIN + "/drover-9")
        assertEquals(409 to "drover-9 is not drained: there is no member drover-9", unknown to why.path("error").asText())
        cluster.crash(third, 1000.0)
        cluster.run(cluster.clock.now + 10.0)
        val (dead, reason) = cluster.ask(other, "POST", MemberRequests.DRAIN + "/$third")
        assertEquals(409, dead)
        assertTrue("$third is suspected" in reason.path("error").asText(), reason.toString())
        assertEquals(200, cluster.ask(other, "POST", MemberRequests.DRAIN + "/$leader").first)
        cluster.run(cluster.clock.now + 5.0)
        assertEquals(other, cluster.leader(), cluster.log.takeLast(20).joinToString("\n"))
        assertEquals(200, cluster.ask(leader, "POST", MemberRequests.DRAIN).first, "asked for twice it is one drain")
        assertTrue(
            cluster
                .ask(leader, "GET", MemberRequests.STATUS)
                .second
                .path("drained")
                .asBoolean(),
        )
        val (last, lastWhy) = cluster.ask(other, "POST", MemberRequests.DRAIN)
        assertEquals(409 to "$other is not drained: no other member is alive to take over", last to lastWhy.path("error").asText())
    }

    @Test
    fun `without failover there are no such paths`() {
        val cluster = SimulatedCluster(4)
        cluster.run(10.0)
        assertEquals(404, cluster.ask("drover-0", "GET", MemberRequests.STATUS).first)
        assertEquals(404, cluster.ask("drover-0", "POST", MemberRequests.DRAIN).first)
    }

    @Test
    fun `the command line takes status and drain`() {
        val files = SettingsFiles("a.json", "b.ini")
        val both = listOf("--config", "a.json", "--settings", "b.ini")
        assertEquals(CommandLine.Status(files), CommandLine.parse(listOf("status") + both))
        assertEquals(CommandLine.Drain(files, null, 30), CommandLine.parse(listOf("drain") + both))
        assertEquals(CommandLine.Drain(files, "m", 5), CommandLine.parse(listOf("drain", "--member", "m", "--wait", "5") + both))
        assertTrue(CommandLine.parse(listOf("drain", "--wait", "soon") + both) is CommandLine.Invalid)
        assertTrue(CommandLine.parse(listOf("status", "--wait", "5") + both) is CommandLine.Invalid)
    }
}
