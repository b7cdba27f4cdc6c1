package burlridge.simulation

import burlridge.simulation.SimulatedCluster.CallFault
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Tests gangs in the whole simulated service: a failure of one task, in any of its phases, fails the attempt of the whole gang. */
internal class GangTest {
    private val cluster = SimulatedCluster(21, guaranteedCpus = 0.0)

    private fun assertFinishedWithoutViolations(vararg jobIds: String) {
        assertEquals(emptyList<String>(), cluster.invariants.violations, cluster.log.takeLast(40).joinToString("\n"))
        assertEquals(
            emptyList<String>(),
            jobIds.filterNot { cluster.invariants.finished(it) },
            "not finished:\n" + cluster.log.takeLast(40).joinToString("\n"),
        )
    }

    private fun startedAttempts(job: String): List<Int> =
        cluster.gangBarrier.attemptStarts
            .filter { it.first == job }
            .map { it.second }

    private fun at(
        seconds: Double,
        action: () -> Unit,
    ) = cluster.clock.after(seconds, action)

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
    fun `all tasks of a gang start together, once, and complete together`() {
        at(25.0) { cluster.submit(cluster.gang(1, 6)) }
        cluster.run(80.0)
        assertFinishedWithoutViolations("j-000001")
        assertEquals(listOf(1), startedAttempts("j-000001"))
        assertEquals(6, cluster.invariants.starts)
    }

    @Test
    fun `a gang that loses a machine while it runs resumes from its checkpoint in the next attempt`() {
        at(25.0) { cluster.submit(cluster.gang(1, 20, cpus = 2.0, runSeconds = 30.0)) }
        at(45.0) { cluster.cloud.worker(machinesOf("j-000001", 20).first())?.kill() }
        cluster.run(140.0)
        assertFinishedWithoutViolations("j-000001")
        assertEquals(listOf(1, 2), startedAttempts("j-000001"))
        assertTrue(cluster.gangBarrier.savedSeconds("j-000001") >= 10.0, "progress ${cluster.gangBarrier.savedSeconds("j-000001")}")
    }

    @Test
    fun `a gang that loses a machine while its tasks wait for each other is started in a new attempt`() {
        at(25.0) { cluster.submit(cluster.gang(1, 20, cpus = 2.0)) }
        at(26.0) { cluster.cloud.worker(machinesOf("j-000001", 20).last())?.kill() }
        cluster.run(140.0)
        assertFinishedWithoutViolations("j-000001")
        assertEquals(listOf(2), startedAttempts("j-000001"))
        // The waiting tasks are stopped at once, long before they time out by themselves.
        assertTrue(
            cluster.gangBarrier.attemptStarts
                .single()
                .third < 25.0 + cluster.gangWaitSeconds,
            "started at ${cluster.gangBarrier.attemptStarts}",
        )
    }

    /**
     * Guards against a late start command: while its outcome is unknown, the other tasks wait in vain, and it must not count as a start of
     * the next attempt.
     */
    @Test
    fun `a start command that arrives after its gang attempt has ended is ignored`() {
        var startCommands = 0
        cluster.lateSeconds = 60.0
        cluster.onCall =
            { _, call ->
                if (call.path == "/do" && "run" in call.body.orEmpty() &&
                    startCommands++ == 0
                ) {
                    CallFault.DELAYED
                } else {
                    CallFault.NONE
                }
            }
        at(25.0) { cluster.submit(cluster.gang(1, 20, cpus = 2.0)) }
        cluster.run(200.0)
        assertFinishedWithoutViolations("j-000001")
        assertTrue(startCommands > 0)
        assertEquals(1, startedAttempts("j-000001").size)
    }

    /** Guards the placement of a gang as a whole: two gangs that each fit alone must not each hold half of the capacity. */
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

    /** Guards the capacity withheld for a gang that does not fit yet: single tasks would take each part of it that becomes free. */
    @Test
    fun `a steady load of small jobs does not starve a large gang`() {
        val small = SimulatedCluster(23, types = mapOf("small" to MachineTypeSpec(4.0, 16.0, 4)), guaranteedCpus = 0.0)
        repeat(300) { i -> small.clock.after(20.0 + 0.7 * i) { small.submit(small.job(100 + i, 7, runSeconds = 12.0, jobClass = "bulk")) } }
        small.clock.after(40.0) { small.submit(small.gang(1, 16)) }
        small.run(220.0)
        assertEquals(emptyList<String>(), small.invariants.violations)
        assertTrue(small.invariants.firstStart("j-000001") in 0.0..200.0, "started at ${small.invariants.firstStart("j-000001")}")
    }

    /** Guards other jobs against a gang that fits into no zone: the capacity withheld for it would never be used. */
    @Test
    fun `a gang that can never be placed blocks no other job`() {
        val small = SimulatedCluster(23, types = mapOf("small" to MachineTypeSpec(4.0, 16.0, 4)), guaranteedCpus = 0.0)
        small.clock.after(30.0) { small.submit(small.gang(1, 60).copy(zone = "a")) }
        val otherJobs = (0 until 40).map { small.job(100 + it, 3, runSeconds = 5.0, jobClass = "bulk", zone = "a", spot = false) }
        otherJobs.forEachIndexed { i, spec -> small.clock.after(31.0 + 4 * i) { small.submit(spec) } }
        small.run(240.0)
        assertEquals(emptyList<String>(), small.invariants.violations)
        assertEquals(emptyList<String>(), otherJobs.map { it.id }.filterNot { small.invariants.finished(it) })
    }

    /** Guards the quota withheld for a gang: single tasks of its team would use every part of it that becomes free. */
    @Test
    fun `small jobs of the same team do not keep a gang from using the quota`() {
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
        assertTrue(tight.invariants.firstStart("j-000001") in 0.0..200.0, "started at ${tight.invariants.firstStart("j-000001")}")
    }

    /** Submits a gang that runs on several machines; at 45 s the cloud announces that it reclaims one of them in 15 s. */
    private fun submitGangAndReclaimMachine() {
        at(25.0) { cluster.submit(cluster.gang(1, 20, cpus = 2.0, runSeconds = 40.0, spot = true)) }
        at(45.0) { machinesOf("j-000001", 20).firstOrNull()?.let { cluster.cloud.worker(it)?.announceReclaim(15.0) } }
    }

    /**
     * Guards the stop commands that are sent to all tasks at the same time: sent in responses to heartbeats, one after the other, they
     * would come too late for a save.
     */
    @Test
    fun `a gang with a machine that is reclaimed saves its progress together and resumes from it`() {
        submitGangAndReclaimMachine()
        cluster.run(140.0)
        assertFinishedWithoutViolations("j-000001")
        assertEquals(listOf(1, 2), startedAttempts("j-000001"))
        val progress = cluster.gangBarrier.savedSeconds("j-000001")
        assertTrue(progress > 15.0 && progress % 5.0 != 0.0, "only a checkpoint was left: $progress")
    }

    @Test
    fun `a gang finishes when the leader crashes while the gang saves`() {
        submitGangAndReclaimMachine()
        var stops = 0
        cluster.onCall = { from, call ->
            if (call.path == "/do" && "halt" in call.body.orEmpty() && stops++ == 1) at(0.0) { cluster.crash(from, 1.0) }
            CallFault.NONE
        }
        cluster.run(160.0)
        assertFinishedWithoutViolations("j-000001")
        assertTrue(stops > 1)
    }

    @Test
    fun `a gang finishes in the next attempt when a machine dies while the gang saves`() {
        submitGangAndReclaimMachine()
        at(46.5) { machinesOf("j-000001", 20).lastOrNull()?.let { cluster.cloud.worker(it)?.kill() } }
        cluster.run(160.0)
        assertFinishedWithoutViolations("j-000001")
        assertEquals(listOf(1, 2), startedAttempts("j-000001"))
    }

    /** Guards the check before a gang is stopped: one task that cannot be reached makes the save fail for all. */
    @Test
    fun `a gang with an unreachable machine is not stopped to save`() {
        at(25.0) { cluster.submit(cluster.gang(1, 20, cpus = 2.0, runSeconds = 40.0, spot = true)) }
        at(38.5) { machinesOf("j-000001", 20).lastOrNull()?.let { m -> cluster.members.forEach { cluster.partition(m, it, 20.0) } } }
        at(45.0) { machinesOf("j-000001", 20).firstOrNull()?.let { cluster.cloud.worker(it)?.announceReclaim(15.0) } }
        cluster.run(60.0)
        val stopCount = cluster.log.count { "gang stop requested" in it && "reason=machine_reclaimed" in it }
        cluster.run(200.0)
        assertFinishedWithoutViolations("j-000001")
        assertEquals(0, stopCount, cluster.log.filter { "task lost" in it || "stop requested" in it || "silent" in it }.joinToString("\n"))
    }

    /**
     * Guards the allocation of a gang in several rows: if the leader crashes between them, the partial allocation must neither start nor
     * block the gang.
     */
    @Test
    fun `a gang starts once when the leader crashes between the rows of its allocation`() {
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
            var refusesRows = true
            // After `rowsBefore` rows no more are written, until the leader has had 3 s to send starts that it must not send, and crashes.
            other.onCall = { from, call ->
                when {
                    call.path != "/multi" || "\"set\":\"round/" !in call.body.orEmpty() -> {
                        CallFault.NONE
                    }

                    rows++ < rowsBefore || !refusesRows -> {
                        CallFault.NONE
                    }

                    else -> {
                        if (rows == rowsBefore + 1) {
                            other.clock.after(3.0) {
                                refusesRows = false
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

    /**
     * Guards a start command that turns out not to have been sent after its gang's attempt has ended: it was neither sent again nor was its
     * allocation released.
     */
    @Test
    fun `the allocation of a start that was not sent is released if its gang attempt has ended meanwhile`() {
        var hasPartitionedOthers = false
        cluster.onCall = { from, call ->
            if (!hasPartitionedOthers && call.path == "/do" && "run" in call.body.orEmpty()) {
                hasPartitionedOthers = true
                // This command is sent; no connection to the other machines can be made, but they are reachable again a moment later.
                val firstMachine = cluster.cloud.workerAt(call.target.toString())?.id
                cluster.cloud
                    .machineIds()
                    .filter { it != firstMachine }
                    .forEach { cluster.partition(from, it, 1.15) }
                at(0.1) { firstMachine?.let { cluster.cloud.worker(it)?.restart() } }
            }
            CallFault.NONE
        }
        at(25.0) { cluster.submit(cluster.gang(1, 20, cpus = 2.0)) }
        cluster.run(100.0)
        assertFinishedWithoutViolations("j-000001")
        assertTrue(hasPartitionedOthers)
    }

    @Test
    fun `a gang finishes when the leader crashes between its start commands`() {
        var commands = 0
        cluster.onCall = { from, call ->
            if (call.path == "/do" && "run" in call.body.orEmpty() && commands++ == 1) at(0.0) { cluster.crash(from, 1.0) }
            CallFault.NONE
        }
        at(25.0) { cluster.submit(cluster.gang(1, 20, cpus = 2.0)) }
        cluster.run(140.0)
        assertFinishedWithoutViolations("j-000001")
        assertTrue(commands > 1)
    }

    @Test
    fun `gangs that are cancelled while they fetch, wait for their tasks, run or end reach a final state`() {
        repeat(24) { i -> at(25.0 + 3 * i) { cluster.submit(cluster.gang(i, 6, runSeconds = 4.0), abortAfter = 0.3 * i) } }
        cluster.run(200.0)
        assertFinishedWithoutViolations(*Array(24) { "j-%06d".format(it) })
    }

    @Test
    fun `a gang finishes after an outage of the state service that is longer than its tasks wait for each other`() {
        at(25.0) { cluster.submit(cluster.gang(1, 20, cpus = 2.0, runSeconds = 50.0)) }
        at(26.0) { cluster.cloud.worker(machinesOf("j-000001", 20).firstOrNull() ?: return@at)?.kill() }
        at(26.2) { cluster.state.outage(cluster.gangWaitSeconds + 5.0) }
        cluster.run(220.0)
        assertFinishedWithoutViolations("j-000001")
    }

    /**
     * Guards the wait for the end of every task of the old attempt: all tasks must be in one zone, so none may start in another zone
     * before.
     */
    @Test
    fun `gangs in a zone that is partitioned finish in the other zone`() {
        repeat(4) { i -> at(25.0 + i) { cluster.submit(cluster.gang(i, 8, runSeconds = 60.0)) } }
        at(45.0) {
            val partitionedMachines = cluster.cloud.machineIds().filter { cluster.cloud.worker(it)?.zone == "b" }
            partitionedMachines.forEach { m -> cluster.members.forEach { cluster.partition(m, it, 50.0) } }
        }
        cluster.run(300.0)
        assertFinishedWithoutViolations(*Array(4) { "j-%06d".format(it) })
    }

    @Test
    fun `gangs finish when one of their machines is partitioned, receives nothing, or restarts at once`() {
        at(25.0) { cluster.submit(cluster.gang(1, 20, cpus = 2.0, runSeconds = 40.0)) }
        at(35.0) { cluster.members.forEach { cluster.partition(machinesOf("j-000001", 20).first(), it, 40.0) } }
        at(90.0) { cluster.submit(cluster.gang(2, 20, cpus = 2.0, runSeconds = 30.0)) }
        at(95.0) { machinesOf("j-000002", 20).firstOrNull()?.let { cluster.blockTrafficTo(it, 60.0) } }
        at(150.0) { cluster.submit(cluster.gang(3, 20, cpus = 2.0, runSeconds = 30.0)) }
        at(160.0) { machinesOf("j-000003", 20).firstOrNull()?.let { cluster.cloud.worker(it)?.restart() } }
        cluster.run(330.0)
        assertFinishedWithoutViolations("j-000001", "j-000002", "j-000003")
    }

    @Test
    fun `late copies of heartbeats of an ended attempt change nothing`() {
        cluster.duplicateHeartbeatAfter = { listOf(2.0, 9.0, 31.0, 70.0).random(cluster.random) }
        repeat(6) { i -> at(25.0 + 10 * i) { cluster.submit(cluster.gang(i, 8, runSeconds = 12.0)) } }
        repeat(
            5,
        ) { i -> at(31.0 + 11 * i) { machinesOf("j-%06d".format(i), 8).firstOrNull()?.let { cluster.cloud.worker(it)?.restart() } } }
        repeat(2) { i -> at(50.0 + 25 * i) { cluster.leader()?.let { cluster.crash(it, 1.0) } } }
        cluster.run(280.0)
        assertFinishedWithoutViolations(*Array(6) { "j-%06d".format(it) })
    }

    /**
     * Guards the decoding of heartbeats: an unknown state or cause must neither count as the completion of a task nor fail the
     * controller.
     */
    @Test
    fun `unknown states and causes do not count as the completion of a task`() {
        cluster.wireName = { mapOf("gathering" to "assembling", "fetching" to "pulling", "peers" to "bereft")[it] ?: it }
        at(25.0) { cluster.submit(cluster.gang(1, 20, cpus = 2.0, runSeconds = 30.0)) }
        at(45.0) { machinesOf("j-000001", 20).firstOrNull()?.let { cluster.cloud.worker(it)?.restart() } }
        cluster.run(160.0)
        assertFinishedWithoutViolations("j-000001")
        assertEquals(listOf(1, 2), startedAttempts("j-000001"))
        assertTrue(cluster.log.any { "task state not recognized" in it && "state=assembling" in it })
    }

    /** More seeds on demand: `mvn test -Dsimulation.seeds=300`. */
    @Test
    fun `gangs finish without violations under random faults`() {
        val seedCount = System.getProperty("simulation.seeds")?.toInt() ?: 12
        for (seed in 1..seedCount) {
            val other = SimulatedCluster(seed + 100, nextStateLimits = """{"value_kb":2,"txn_ops":4,"write_rps":30}""")
            val jobs = other.submitMixedJobs(24)
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

    private fun SimulatedCluster.submitMixedJobs(jobs: Int): List<String> {
        val jobIds = ArrayList<String>()
        repeat(jobs) { i ->
            val spec =
                when (i % 4) {
                    0 -> gang(i, 3, runSeconds = 12.0)
                    1 -> gang(i, 8, runSeconds = 20.0, team = "crew-x", spot = true)
                    2 -> gang(i, 5, cpus = 2.0, runSeconds = 15.0, oneZone = false)
                    else -> job(i, 4, cpus = 2.0, team = "crew-x")
                }
            jobIds += spec.id
            clock.after(12 + i * 4.0) { submit(spec, abortAfter = if (i % 9 == 8) 12.0 else null) }
        }
        return jobIds
    }
}
