package burlridge.simulation

import burlridge.simulation.SimulatedCluster.CallFault
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Gangs in the whole service, in virtual time: what befalls one task at each of its phases befalls the attempt. */
internal class GangTest {
    private val cluster = SimulatedCluster(21, guaranteedCpus = 0.0)

    private fun verdict(vararg jobs: String) {
        assertEquals(emptyList<String>(), cluster.invariants.violations, cluster.log.takeLast(40).joinToString("\n"))
        assertEquals(
            emptyList<String>(),
            jobs.filterNot { cluster.invariants.finished(it) },
            "not over:\n" + cluster.log.takeLast(40).joinToString("\n"),
        )
    }

    private fun begun(job: String): List<Int> =
        cluster.gangBarrier.attemptStarts
            .filter { it.first == job }
            .map { it.second }

    private fun at(
        seconds: Double,
        work: () -> Unit,
    ) = cluster.clock.after(seconds, work)

    /** The machines that run tasks of [job]. */
    private fun machinesOf(
        job: String,
        tasks: Int,
    ): List<String> =
        cluster.cloud.machineIds().filter { name ->
            (0 until tasks).any {
                cluster.cloud.worker(name)?.hasTask("$job/$it") ==
                    true
            }
        }

    @Test
    fun `a gang starts together, once, and completes together`() {
        at(25.0) { cluster.submit(cluster.gang(1, 6)) }
        cluster.run(80.0)
        verdict("j-000001")
        assertEquals(listOf(1), begun("j-000001"))
        assertEquals(6, cluster.invariants.starts)
    }

    @Test
    fun `a gang that loses a machine while it runs goes on from its checkpoint under the next number`() {
        at(25.0) { cluster.submit(cluster.gang(1, 20, cpus = 2.0, runSeconds = 30.0)) }
        at(45.0) { cluster.cloud.worker(machinesOf("j-000001", 20).first())?.kill() }
        cluster.run(140.0)
        verdict("j-000001")
        assertEquals(listOf(1, 2), begun("j-000001"))
        assertTrue(cluster.gangBarrier.savedSeconds("j-000001") >= 10.0, "progress ${cluster.gangBarrier.savedSeconds("j-000001")}")
    }

    @Test
    fun `a gang that loses a machine while it gathers is tried anew`() {
        at(25.0) { cluster.submit(cluster.gang(1, 20, cpus = 2.0)) }
        at(26.0) { cluster.cloud.worker(machinesOf("j-000001", 20).last())?.kill() }
        cluster.run(140.0)
        verdict("j-000001")
        assertEquals(listOf(2), begun("j-000001"))
        // Those that gather are stopped at once, long before they give up by themselves.
        assertTrue(
            cluster.gangBarrier.attemptStarts
                .single()
                .third < 25.0 + cluster.gangWaitSeconds,
            "begun at ${cluster.gangBarrier.attemptStarts}",
        )
    }

    /** A command of unknown outcome: the others wait in vain, and the late start must not count for the next attempt. */
    @Test
    fun `a start held back until after the next attempt is void`() {
        var met = 0
        cluster.lateSeconds = 60.0
        cluster.onCall =
            { _, call -> if (call.path == "/do" && "run" in call.body.orEmpty() && met++ == 0) CallFault.DELAYED else CallFault.NONE }
        at(25.0) { cluster.submit(cluster.gang(1, 20, cpus = 2.0)) }
        cluster.run(200.0)
        verdict("j-000001")
        assertTrue(met > 0)
        assertEquals(1, begun("j-000001").size)
    }

    /** Guards the whole plan for a gang: two that each fit alone must not hold halves of the room. */
    @Test
    fun `two gangs that fit alone but not together run one after the other`() {
        val small = SimulatedCluster(22, types = mapOf("small" to MachineTypeSpec(4.0, 16.0, 3)), guaranteedCpus = 0.0)
        small.clock.after(30.0) {
            small.submit(small.gang(1, 10))
            small.submit(small.gang(2, 10))
        }
        small.run(120.0)
        assertEquals(emptyList<String>(), small.invariants.violations)
        assertTrue(small.invariants.finished("j-000001") && small.invariants.finished("j-000002"))
        assertEquals(2, small.gangBarrier.attemptStarts.size)
    }

    /** Guards the room that is kept for a gang that finds too little: single tasks would take each place as it falls free. */
    @Test
    fun `small work passing by does not starve a large gang`() {
        val small = SimulatedCluster(23, types = mapOf("small" to MachineTypeSpec(4.0, 16.0, 4)), guaranteedCpus = 0.0)
        repeat(300) { i -> small.clock.after(20.0 + 0.7 * i) { small.submit(small.job(100 + i, 7, runSeconds = 12.0, jobClass = "bulk")) } }
        small.clock.after(40.0) { small.submit(small.gang(1, 16)) }
        small.run(220.0)
        assertEquals(emptyList<String>(), small.invariants.violations)
        assertTrue(small.invariants.firstStart("j-000001") in 0.0..200.0, "began at ${small.invariants.firstStart("j-000001")}")
    }

    /** Guards everyone else from a gang that fits no zone: the room kept for it would never be used. */
    @Test
    fun `a gang that there will never be room for blocks nobody`() {
        val small = SimulatedCluster(23, types = mapOf("small" to MachineTypeSpec(4.0, 16.0, 4)), guaranteedCpus = 0.0)
        small.clock.after(30.0) { small.submit(small.gang(1, 60).copy(zone = "a")) }
        val others = (0 until 40).map { small.job(100 + it, 3, runSeconds = 5.0, jobClass = "bulk", zone = "a", spot = false) }
        others.forEachIndexed { i, spec -> small.clock.after(31.0 + 4 * i) { small.submit(spec) } }
        small.run(240.0)
        assertEquals(emptyList<String>(), small.invariants.violations)
        assertEquals(emptyList<String>(), others.map { it.id }.filterNot { small.invariants.finished(it) })
    }

    /** Guards the team's limit that is kept for a gang: single tasks of its team would use each bit of it. */
    @Test
    fun `small work of its team does not keep a gang from the team's limit`() {
        val tight = SimulatedCluster(28, guaranteedCpus = 0.0, types = mapOf("big" to MachineTypeSpec(16.0, 64.0, 4)))
        repeat(
            200,
        ) { i ->
            tight.clock.after(
                20.0 + i,
            ) { tight.submit(tight.job(100 + i, 4, runSeconds = 12.0, team = "crew-x", jobClass = "bulk")) }
        }
        tight.clock.after(40.0) { tight.submit(tight.gang(1, 40, team = "crew-x")) }
        tight.run(215.0)
        assertEquals(emptyList<String>(), tight.invariants.violations)
        assertTrue(tight.invariants.firstStart("j-000001") in 0.0..200.0, "began at ${tight.invariants.firstStart("j-000001")}")
    }

    /** A gang of several machines runs, and one of them gets a notice at 45 s. */
    private fun recalled() {
        at(25.0) { cluster.submit(cluster.gang(1, 20, cpus = 2.0, runSeconds = 40.0, spot = true)) }
        at(45.0) { machinesOf("j-000001", 20).firstOrNull()?.let { cluster.cloud.worker(it)?.announceReclaim(15.0) } }
    }

    /** Guards the order to stop that all hear at once: told by reports one after the other they would not save in time. */
    @Test
    fun `a gang with a machine that is taken back saves together and goes on from there`() {
        recalled()
        cluster.run(140.0)
        verdict("j-000001")
        assertEquals(listOf(1, 2), begun("j-000001"))
        val progress = cluster.gangBarrier.savedSeconds("j-000001")
        assertTrue(progress > 15.0 && progress % 5.0 != 0.0, "only a checkpoint was left: $progress")
    }

    @Test
    fun `a leader dies while a gang saves`() {
        recalled()
        var stops = 0
        cluster.onCall = { from, call ->
            if (call.path == "/do" && "halt" in call.body.orEmpty() && stops++ == 1) at(0.0) { cluster.crash(from, 1.0) }
            CallFault.NONE
        }
        cluster.run(160.0)
        verdict("j-000001")
        assertTrue(stops > 1)
    }

    @Test
    fun `a machine dies while a gang saves`() {
        recalled()
        at(46.5) { machinesOf("j-000001", 20).lastOrNull()?.let { cluster.cloud.worker(it)?.kill() } }
        cluster.run(160.0)
        verdict("j-000001")
        assertEquals(listOf(1, 2), begun("j-000001"))
    }

    /** Guards the check before a stop: one task that cannot be told makes the save fail for all. */
    @Test
    fun `a gang with a machine out of reach is not told to save`() {
        at(25.0) { cluster.submit(cluster.gang(1, 20, cpus = 2.0, runSeconds = 40.0, spot = true)) }
        at(38.5) { machinesOf("j-000001", 20).lastOrNull()?.let { m -> cluster.members.forEach { cluster.cut(m, it, 20.0) } } }
        at(45.0) { machinesOf("j-000001", 20).firstOrNull()?.let { cluster.cloud.worker(it)?.announceReclaim(15.0) } }
        cluster.run(60.0)
        val stopped = cluster.log.count { "gang stop requested" in it && "reason=machine_reclaimed" in it }
        cluster.run(200.0)
        verdict("j-000001")
        assertEquals(0, stopped, cluster.log.filter { "task lost" in it || "stop requested" in it || "silent" in it }.joinToString("\n"))
    }

    /** Guards the claim of a gang in several rows: what the dead leader had claimed in part must not begin, nor block. */
    @Test
    fun `a leader dies between the rows of a gang`() {
        val limits = """{"value_kb":0.5,"txn_ops":4,"write_rps":18}"""
        for (rowsBefore in 0..3) {
            val other =
                SimulatedCluster(
                    24 + rowsBefore,
                    guaranteedCpus = 0.0,
                    nextStateLimits = limits,
                    types =
                        mapOf("big" to MachineTypeSpec(16.0, 64.0, 3)),
                )
            var rows = 0
            var stuck = true
            // From one row on none gets through, until the leader has had time to send what it should not, and dies.
            other.onCall = { from, call ->
                when {
                    call.path != "/multi" || "\"set\":\"round/" !in call.body.orEmpty() -> {
                        CallFault.NONE
                    }

                    rows++ < rowsBefore || !stuck -> {
                        CallFault.NONE
                    }

                    else -> {
                        if (rows == rowsBefore + 1) {
                            other.clock.after(3.0) {
                                stuck = false
                                other.crash(from, 1.0)
                            }
                        }
                        CallFault.REFUSED
                    }
                }
            }
            other.clock.after(25.0) { other.submit(other.gang(1, 32)) }
            other.run(140.0)
            assertEquals(emptyList<String>(), other.invariants.violations)
            assertTrue(other.invariants.finished("j-000001"), "after $rowsBefore rows:\n" + other.log.takeLast(30).joinToString("\n"))
            assertTrue(rows >= 4, "only $rows rows")
            assertEquals(1, other.gangBarrier.attemptStarts.size)
        }
    }

    /** Guards a start that turns out not to have left after its gang's attempt was over: it was neither sent nor taken back. */
    @Test
    fun `a start that did not leave is taken back when its gang is gone meanwhile`() {
        var met = false
        cluster.onCall = { from, call ->
            if (!met && call.path == "/do" && "run" in call.body.orEmpty()) {
                met = true
                // This command goes through; another one's connection is not made, and its machine is well a moment later.
                val first = cluster.cloud.workerAt(call.target.toString())?.id
                cluster.cloud
                    .machineIds()
                    .filter { it != first }
                    .forEach { cluster.cut(from, it, 1.15) }
                at(0.1) { first?.let { cluster.cloud.worker(it)?.restart() } }
            }
            CallFault.NONE
        }
        at(25.0) { cluster.submit(cluster.gang(1, 20, cpus = 2.0)) }
        cluster.run(100.0)
        verdict("j-000001")
        assertTrue(met)
    }

    @Test
    fun `a leader dies between the commands of a gang`() {
        var commands = 0
        cluster.onCall = { from, call ->
            if (call.path == "/do" && "run" in call.body.orEmpty() && commands++ == 1) at(0.0) { cluster.crash(from, 1.0) }
            CallFault.NONE
        }
        at(25.0) { cluster.submit(cluster.gang(1, 20, cpus = 2.0)) }
        cluster.run(140.0)
        verdict("j-000001")
        assertTrue(commands > 1)
    }

    @Test
    fun `a gang is cancelled while it fetches, gathers, runs, and as it ends`() {
        repeat(24) { i -> at(25.0 + 3 * i) { cluster.submit(cluster.gang(i, 6, runSeconds = 4.0), abortAfter = 0.3 * i) } }
        cluster.run(200.0)
        verdict(*Array(24) { "j-%06d".format(it) })
    }

    @Test
    fun `an outage of the state service longer than a gang waits`() {
        at(25.0) { cluster.submit(cluster.gang(1, 20, cpus = 2.0, runSeconds = 50.0)) }
        at(26.0) { cluster.cloud.worker(machinesOf("j-000001", 20).firstOrNull() ?: return@at)?.kill() }
        at(26.2) { cluster.state.outage(cluster.gangWaitSeconds + 5.0) }
        cluster.run(220.0)
        verdict("j-000001")
    }

    /** Guards the wait for every task of the old attempt: with one zone for all none may start elsewhere before. */
    @Test
    fun `a whole zone is cut off with the gangs in it, which go on in the other`() {
        repeat(4) { i -> at(25.0 + i) { cluster.submit(cluster.gang(i, 8, runSeconds = 60.0)) } }
        at(45.0) {
            val apart = cluster.cloud.machineIds().filter { cluster.cloud.worker(it)?.zone == "b" }
            apart.forEach { m -> cluster.members.forEach { cluster.cut(m, it, 50.0) } }
        }
        cluster.run(300.0)
        verdict(*Array(4) { "j-%06d".format(it) })
    }

    @Test
    fun `a machine cut off, one deaf and one back at once, each with part of a gang`() {
        at(25.0) { cluster.submit(cluster.gang(1, 20, cpus = 2.0, runSeconds = 40.0)) }
        at(35.0) { cluster.members.forEach { cluster.cut(machinesOf("j-000001", 20).first(), it, 40.0) } }
        at(90.0) { cluster.submit(cluster.gang(2, 20, cpus = 2.0, runSeconds = 30.0)) }
        at(95.0) { machinesOf("j-000002", 20).firstOrNull()?.let { cluster.blockTrafficTo(it, 60.0) } }
        at(150.0) { cluster.submit(cluster.gang(3, 20, cpus = 2.0, runSeconds = 30.0)) }
        at(160.0) { machinesOf("j-000003", 20).firstOrNull()?.let { cluster.cloud.worker(it)?.restart() } }
        cluster.run(330.0)
        verdict("j-000001", "j-000002", "j-000003")
    }

    @Test
    fun `late copies of reports of an attempt that is over change nothing`() {
        cluster.duplicateReportAfter = { listOf(2.0, 9.0, 31.0, 70.0).random(cluster.random) }
        repeat(6) { i -> at(25.0 + 10 * i) { cluster.submit(cluster.gang(i, 8, runSeconds = 12.0)) } }
        repeat(
            5,
        ) { i -> at(31.0 + 11 * i) { machinesOf("j-%06d".format(i), 8).firstOrNull()?.let { cluster.cloud.worker(it)?.restart() } } }
        repeat(2) { i -> at(50.0 + 25 * i) { cluster.leader()?.let { cluster.crash(it, 1.0) } } }
        cluster.run(280.0)
        verdict(*Array(6) { "j-%06d".format(it) })
    }

    /** Guards the reading of reports: a word that is not known is no end, and no crash. */
    @Test
    fun `states and causes that are not known are taken for no end`() {
        cluster.wireName = { mapOf("gathering" to "assembling", "fetching" to "pulling", "peers" to "bereft")[it] ?: it }
        at(25.0) { cluster.submit(cluster.gang(1, 20, cpus = 2.0, runSeconds = 30.0)) }
        at(45.0) { machinesOf("j-000001", 20).firstOrNull()?.let { cluster.cloud.worker(it)?.restart() } }
        cluster.run(160.0)
        verdict("j-000001")
        assertEquals(listOf(1, 2), begun("j-000001"))
        assertTrue(cluster.log.any { "task state not recognized" in it && "state=assembling" in it })
    }

    /** More seeds on demand: `mvn test -Dsimulation.seeds=300`. */
    @Test
    fun `whatever fails, gangs keep the rules and end`() {
        val days = System.getProperty("simulation.seeds")?.toInt() ?: 12
        for (seed in 1..days) {
            val other = SimulatedCluster(seed + 100, nextStateLimits = """{"value_kb":2,"txn_ops":4,"write_rps":30}""")
            val jobs = other.mixedLoad(24)
            RandomFaults(other, seed).schedule(10, 20.0, 140.0)
            other.run(420.0)
            assertEquals(emptyList<String>(), other.invariants.violations, "seed $seed\n" + other.log.takeLast(60).joinToString("\n"))
            assertEquals(
                emptyList<String>(),
                jobs.filterNot { other.invariants.finished(it) },
                "seed $seed\n" + other.log.takeLast(60).joinToString("\n"),
            )
        }
    }

    private fun SimulatedCluster.mixedLoad(jobs: Int): List<String> {
        val names = ArrayList<String>()
        repeat(jobs) { i ->
            val spec =
                when (i % 4) {
                    0 -> gang(i, 3, runSeconds = 12.0)
                    1 -> gang(i, 8, runSeconds = 20.0, team = "crew-x", spot = true)
                    2 -> gang(i, 5, cpus = 2.0, runSeconds = 15.0, oneZone = false)
                    else -> job(i, 4, cpus = 2.0, team = "crew-x")
                }
            names += spec.id
            clock.after(12 + i * 4.0) { submit(spec, abortAfter = if (i % 9 == 8) 12.0 else null) }
        }
        return names
    }
}
