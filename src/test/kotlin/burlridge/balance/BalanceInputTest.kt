package burlridge.balance

import burlridge.app.BalanceReportFormatter
import burlridge.app.CommandLine
import burlridge.app.MachineTarget
import burlridge.app.SettingsFiles
import burlridge.json.Json
import burlridge.settings.BalanceSettings
import burlridge.settings.Endpoint
import burlridge.settings.InvalidSettingsException
import burlridge.settings.MovePermission
import burlridge.settings.OperatorSettings
import burlridge.simulation.SimulatedCluster
import burlridge.store.Row
import burlridge.worker.Machine
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.File

/** Tests the parsing of settings, requests, rows and command lines, in particular of invalid ones. */
internal class BalanceInputTest {
    private fun errorMessageOf(lines: String): String =
        assertThrows(InvalidSettingsException::class.java, { OperatorSettings.parse("[balance]\n$lines\n") }, lines).message.orEmpty()

    @Test
    fun `the balance section is parsed, and each invalid key is reported in one line`() {
        val read =
            OperatorSettings
                .parse(
                    "[balance]\nmoves = repeat\nclass_moves = alarm-triage:never, x:saved\nmoves_per_task = 2\n",
                ).balance
        val classes = mapOf("alarm-triage" to MovePermission.NEVER, "x" to MovePermission.SAVED)
        assertEquals(BalanceSettings(defaultMovePermission = MovePermission.REPEAT, classMovePermissions = classes, movesPerTask = 2), read)
        assertEquals(null, OperatorSettings.parse("[fleet]\n").balance)
        // The file in deploy/ contains every key with its default.
        assertEquals(BalanceSettings(), OperatorSettings.parse(File("deploy/balance.ini").readText()).balance)
        val wrong =
            mapOf(
                "move = saved" to "unknown key move",
                "moves = always" to "moves in [balance] must be one of never, saved, repeat",
                "moves =" to "moves in [balance] is empty",
                "class_moves = alarm-triage" to "class_moves in [balance] must be like class:saved",
                "class_moves = alarm-triage:often" to "class_moves in [balance] must be one of",
                "moves_per_minute = -1" to "moves_per_minute in [balance]",
                "moves_per_task = 1.5" to "moves_per_task in [balance] must be a whole number",
                "finish_reports = NaN" to "finish_reports in [balance]",
                "keep_leases = 0" to "keep_leases in [balance]",
                "hot_factor = 1.1" to "hot_factor in [balance] must be 0 or above cool_factor",
                "relieve_hot = perhaps" to "relieve_hot in [balance] must be true or false",
                "room_leases = 1e9" to "room_leases in [balance]",
            )
        for ((line, expected) in wrong) {
            val message = errorMessageOf(line)
            assertTrue(expected in message && '\n' !in message, message)
        }
    }

    @Test
    fun `a job class that the platform settings do not define is rejected by name`() {
        val platform = SimulatedCluster(0).settings("drover-0")
        BalanceSettings(classMovePermissions = mapOf("urgent" to MovePermission.NEVER)).validate(platform)
        val wrong = BalanceSettings(classMovePermissions = mapOf("urgnet" to MovePermission.NEVER))
        val message = assertThrows(InvalidSettingsException::class.java) { wrong.validate(platform) }.message.orEmpty()
        assertTrue("urgnet" in message && "urgent" in message, message)
    }

    private fun target(text: String) = DrainTarget.parse(Json.parseOrNull(text))

    @Test
    fun `only machines, zones and networks of both address families are accepted as drain targets`() {
        assertEquals("zone/a", target("""{"zone":"a"}""").key)
        assertEquals("machine/m-000231", target("""{"machine":"m-000231"}""").key)
        assertEquals("network/10.1.0.0/24", target("""{"network":"10.1.0.77/24"}""").key)
        assertEquals("network/2001:db8::/48", target("""{"network":"2001:0DB8:0:0::5/48"}""").key)
        assertEquals(target("""{"network":"10.1.0.5"}""").key, target("""{"network":"10.1.0.5"}""").key)
        val wrong =
            listOf("", "[]", "{}", """{"zone":""}""", """{"zone":5}""", """{"zone":"a b"}""", """{"zone":"a","machine":"m"}""") +
                listOf(
                    "",
                    "10.1.0.0/33",
                    "10.1.0/24",
                    "10.*.0.1",
                    "10.0-5.0.1",
                    "*",
                    "/8",
                    "0x7f000001",
                    "167772160",
                    "10.1.0.0/-1",
                    "::/129",
                    "host",
                ).map { """{"network":"$it"}""" }
        for (text in wrong) {
            val message = assertThrows(InvalidDrainTargetException::class.java, { target(text) }, text).message.orEmpty()
            assertTrue(message.isNotEmpty() && '\n' !in message, message)
        }
    }

    @Test
    fun `a network covers exactly the machines whose address is in it, and tolerates malformed addresses`() {
        fun covers(
            network: String,
            host: String?,
        ): Boolean {
            val machine = Machine("m-1", 0.0)
            machine.address = host?.let { Endpoint(it, 9000) }
            return target("""{"network":"$network"}""").matches(machine)
        }
        assertTrue(covers("10.1.0.0/24", "10.1.0.255") && covers("2001:db8::/48", "[2001:db8:0:5::1]") && covers("0.0.0.0/0", "10.9.9.9"))
        val outside = listOf("10.1.1.0", "2001:db8::1", "", "nowhere", "10.1.0.1/16", "10.1.0", null)
        assertEquals(emptyList<String?>(), outside.filter { covers("10.1.0.0/24", it) })
    }

    @Test
    fun `rows that are damaged or of a later version are not decoded`() {
        val drain = Drain(target("""{"zone":"a"}"""), DrainCause.OPERATOR, DrainState.DRAINING, 5, 7, 9)
        assertEquals(drain, Drain.decode(Row("drain/zone/a", drain.encode(), 9)))
        val moves = listOf(Move("j-1", 3, 2, "t", "c", "m-1", "m-2", 1, 1), Move("j-2", Move.WHOLE_GANG, 1, "t", "d", "m-1", null, 2, 4))
        val batch = MoveBatch("move/1-0", 5, moves)
        assertEquals(moves, MoveBatch.decode(Row("move/1-0", batch.encode(), 9))?.moves)
        val good = Json.write(drain.encode())
        val badDrains =
            listOf(
                "null",
                "[]",
                good.replace("draining", "paused"),
                good.replace("operator", "weather"),
                good.replace("\"a\"", "\"b\""),
                good.replace(":5", ":\"5\""),
            )
        badDrains.forEach { assertEquals(null, Drain.decode(Row("drain/zone/a", Json.parse(it), 9)), it) }
        val badMoves =
            listOf("null", """{"at":1}""", """{"at":1,"jobs":[]}""", """{"at":1,"jobs":{"j-1":["t","c",[[0,0,"m",null,1,1]]]}}""") +
                listOf("[0,1]", "[-2,1,\"m\",null,1,1,\"hot\"]", "[0,1,7,null,1,1,\"hot\"]", "[0,1,\"m\",null,1,1,\"whim\"]", "7").map {
                    """{"at":1,"jobs":{"j-1":["t","c",[$it]]}}"""
                }
        badMoves.forEach { assertEquals(null, MoveBatch.decode(Row("move/1-0", Json.parse(it), 9)), it) }
    }

    @Test
    fun `invalid requests are answered with an error and change nothing`() {
        val cluster = clusterWithBalance(1)
        cluster.run(25.0)
        val drain = MachineRequests.DRAIN
        for (member in cluster.members) {
            assertEquals(400, cluster.requestAndWait(member, "POST", drain, "{").first)
            assertEquals(400, cluster.requestAndWait(member, "POST", drain, """{"network":"10.1.0.0/40"}""").first)
            assertEquals(405, cluster.requestAndWait(member, "GET", drain).first)
            assertEquals(405, cluster.requestAndWait(member, "POST", MachineRequests.STATUS).first)
            val (status, response) = cluster.requestAndWait(member, "POST", drain, """{"machine":"m-999999"}""")
            assertEquals(409 to "unknown machine m-999999", status to response.path("error").asText())
            assertEquals(
                "unknown zone q",
                cluster
                    .requestAndWait(member, "POST", drain, """{"zone":"q"}""")
                    .second
                    .path("error")
                    .asText(),
            )
            assertEquals(409, cluster.requestAndWait(member, "POST", MachineRequests.UNDRAIN, """{"zone":"a"}""").first)
        }
        assertEquals(emptyList<String>(), cluster.state.keys(Drain.PREFIX))
        val clusterWithoutBalance = SimulatedCluster(1)
        clusterWithoutBalance.run(10.0)
        assertEquals(404, clusterWithoutBalance.requestAndWait("drover-0", "POST", drain, """{"zone":"a"}""").first)
    }

    @Test
    fun `the command line accepts exactly one target, and status and explain print the leader's report`() {
        val files = SettingsFiles("c", "s")
        val args = listOf("--config", "c", "--settings", "s")
        val parsed = CommandLine.parse(listOf("drain") + args + listOf("--network", "10.0.0.0/8", "--force"))
        assertEquals(CommandLine.DrainMachines(files, MachineTarget("network", "10.0.0.0/8"), true), parsed)
        assertEquals(
            CommandLine.UndrainMachines(files, MachineTarget("zone", "a")),
            CommandLine.parse(listOf("undrain") + args + listOf("--zone", "a")),
        )
        val wrong =
            listOf(
                listOf("drain", "--zone", "a", "--machine", "m"),
                listOf("drain", "--member", "d", "--zone", "a"),
                listOf("undrain"),
                listOf("drain", "--force"),
            )
        wrong.forEach { assertTrue(CommandLine.parse(it + args) is CommandLine.Invalid, "$it") }
        val cluster = clusterWithBalance(2)
        val jobs = cluster.submitAll((0 until 6).map { cluster.checkpointingJob(it, 4) }, 20.0)
        cluster.clock.after(40.0) { cluster.drainZone("a") }
        cluster.run(40.4)
        val text = BalanceReportFormatter.describe(cluster.report())
        assertTrue("drain of zone a (operator): draining" in text && "machines and" in text, text)
        assertTrue(Regex("move 1 of j-00000\\d/\\d run 1: m-0000\\d\\d to m-0000\\d\\d").containsMatchIn(text), text)
        val task = Regex("j-00000\\d/\\d").find(text)?.value.orEmpty()
        assertEquals(CommandLine.Explain(files, task), CommandLine.parse(listOf("explain", "--task", task) + args))
        cluster.run(60.0)
        val explanation = BalanceReportFormatter.explain(cluster.requestAndWait("drover-1", "GET", MachineRequests.EXPLAIN + task).second)
        assertTrue("$task run 1 is moved from m-" in explanation && "room was kept there for it" in explanation, explanation)
        cluster.run(140.0)
        cluster.assertNoViolations(jobs)
        assertTrue("drained, 0 machines and 0 tasks left" in BalanceReportFormatter.describe(cluster.report()))
    }
}
