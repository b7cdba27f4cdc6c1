package burlridge.balance

import burlridge.core.Effect
import burlridge.job.JobSpec
import burlridge.json.Json
import burlridge.settings.MovePermission
import burlridge.simulation.SimulatedCluster
import burlridge.simulation.abort
import burlridge.simulation.gang
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Tests moves of running tasks in a simulated cluster, in virtual time, with leaders that fail at each step of a move. */
internal class MoveTest {
    /** Steps of a move, each identified by the HTTP call that the leader makes for it. */
    private enum class Step(
        val matches: (Effect.HttpCall) -> Boolean,
    ) {
        ROW({ it.path == "/multi" && "\"set\":\"move/" in it.body.orEmpty() }),
        STOP({ it.path == "/do" && "\"halt\"" in it.body.orEmpty() }),
        CLAIM({ it.path == "/multi" && "\"set\":\"round/" in it.body.orEmpty() }),
        START({ it.path == "/do" && "\"run\"" in it.body.orEmpty() }),
        CLEANUP({ it.path == "/multi" && "\"remove\":\"move/" in it.body.orEmpty() }),
    }

    private enum class Fault { KILLED, FROZEN, PARTITIONED, REFUSED, RESPONSE_LOST, LATE }

    private fun SimulatedCluster.injectFault(
        name: String,
        fault: Fault,
    ) {
        when (fault) {
            Fault.KILLED -> crash(name, 4.0)
            Fault.FROZEN -> freeze(name, 9.0)
            Fault.PARTITIONED -> listOf("state").plus(members.filter { it != name }).forEach { partition(name, it, 12.0) }
            Fault.REFUSED -> refuseStateRequests(name, 8.0)
            else -> Unit
        }
    }

    /**
     * Injects [fault] into the leader at its first [step] after the drain, and into its successor at the same step. Returns a function that
     * counts the affected members.
     */
    private fun injectFaultAt(
        cluster: SimulatedCluster,
        step: Step,
        fault: Fault,
        before: Boolean,
    ): () -> Int {
        val affectedMembers = HashSet<String>()
        cluster.onCall = { name, call ->
            val isAffected = cluster.clock.now > 40.0 && step.matches(call) && affectedMembers.size < 2 && affectedMembers.add(name)
            if (isAffected) cluster.clock.after(if (before) 0.0 else 0.004) { cluster.injectFault(name, fault) }
            when {
                isAffected && fault == Fault.RESPONSE_LOST -> SimulatedCluster.CallFault.RESPONSE_LOST
                isAffected && fault == Fault.LATE -> SimulatedCluster.CallFault.DELAYED
                else -> SimulatedCluster.CallFault.NONE
            }
        }
        return { affectedMembers.size }
    }

    private fun SimulatedCluster.moveTargets(job: JobSpec): List<Pair<String, Int>> =
        state
            .keys(MoveBatch.PREFIX)
            .flatMap {
                state
                    .value(it)
                    ?.path("jobs")
                    ?.path(job.id)
                    ?.path(2)
                    ?.toList()
                    .orEmpty()
            }.map { it.path(3).asText() to it.path(0).asInt() }

    @Test
    fun `each task is moved once if the leader and its successor fail at any step of the move`() {
        for (step in Step.entries) {
            for (fault in Fault.entries) {
                val seed = step.ordinal * 10 + fault.ordinal
                val cluster = clusterWithBalance(seed + 1, members = if (seed % 2 == 0) 3 else 5, failover = seed % 3 == 0)
                val jobs = cluster.submitAll((0 until 6).map { cluster.checkpointingJob(it, 4) }, 20.0)
                cluster.clock.after(40.0) { cluster.drainZone("a") }
                val affectedCount = injectFaultAt(cluster, step, fault, before = seed % 4 < 2)
                cluster.run(200.0)
                cluster.assertNoViolations(jobs)
                assertTrue(affectedCount() > 0, "$step was not reached with $fault")
                assertTrue(cluster.history.stops.isNotEmpty(), "$step $fault: nothing was moved\n${cluster.recentLog()}")
                val movedTwice =
                    cluster.history.stops
                        .groupBy { it.task }
                        .filterValues { it.size > 1 }
                assertEquals(emptySet<String>(), movedTwice.keys, "$step $fault: moved twice out of one zone\n${cluster.recentLog()}")
                assertEquals("drained", cluster.drainStateOf("zone/a"), "$step $fault\n${cluster.recentLog()}")
                assertEquals(emptyList<String>(), cluster.state.keys(MoveBatch.PREFIX), "$step $fault: rows are left")
            }
        }
    }

    /** Guards the reserved capacity: without the reservation the many waiting tasks would take it. */
    @Test
    fun `a moved task starts on the machine with its reservation, and its progress is kept`() {
        val cluster = clusterWithBalance(1)
        val moved = cluster.checkpointingJob(1, 12, runSeconds = 60.0, cpus = 2.0)
        val waitingJobs =
            cluster.submitAll(
                (2 until 30).map { cluster.checkpointingJob(it, 8, runSeconds = 20.0, cpus = 2.0).copy(zone = "b") },
                41.0,
                everySeconds = 0.2,
            )
        cluster.submitAll(listOf(moved), 20.0)
        cluster.clock.after(41.0) { cluster.drainZone("a") }
        cluster.run(46.0)
        val targets = cluster.moveTargets(moved).filter { it.first != "null" }
        assertTrue(targets.isNotEmpty(), cluster.recentLog())
        cluster.run(70.0)
        for ((machine, task) in targets) {
            val starts = cluster.history.starts.filter { it.task == "${moved.id}/$task" }
            assertEquals(2, starts.size, starts.toString())
            assertEquals(machine, starts.last().machine, cluster.recentLog())
            assertTrue(starts.last().at < 46.0 + 8.0, "$starts")
        }
        cluster.run(300.0)
        cluster.assertNoViolations(waitingJobs + moved)
        val longest =
            cluster.history.taskRuns
                .filter { it.task.startsWith(moved.id) }
                .maxOf { it.until }
        assertTrue(longest < 20.0 + 60.0 + 20.0, "a task ended only at $longest: its progress was lost")
    }

    @Test
    fun `failed checkpoints and lost responses to stops cost repeated work and nothing else`() {
        val cluster = clusterWithBalance(2)
        cluster.savesFail = true
        val jobs = cluster.submitAll((0 until 6).map { cluster.checkpointingJob(it, 4) }, 20.0)
        cluster.clock.after(40.0) { cluster.drainZone("a") }
        var stopCount = 0
        cluster.onCall =
            { _, call ->
                if (Step.STOP.matches(call) &&
                    stopCount++ % 2 == 0
                ) {
                    SimulatedCluster.CallFault.RESPONSE_LOST
                } else {
                    SimulatedCluster.CallFault.NONE
                }
            }
        cluster.run(220.0)
        cluster.assertNoViolations(jobs)
        assertTrue(stopCount > 2)
        assertEquals("drained", cluster.drainStateOf("zone/a"), cluster.recentLog())
    }

    @Test
    fun `tasks survive if targets are drained and sources and targets are lost in the middle of a move`() {
        for (seed in 1..6) {
            val cluster = clusterWithBalance(seed, members = 5)
            val jobs = cluster.submitAll((0 until 8).map { cluster.checkpointingJob(it, 4) }, 20.0)
            cluster.clock.after(40.0) { cluster.drainZone("a") }
            cluster.clock.after(40.6) {
                val targets = jobs.flatMap { cluster.moveTargets(it) }.map { it.first }.distinct()
                targets.take(2).forEach { target ->
                    cluster.sendRequest(
                        cluster.anyMember(),
                        "POST",
                        MachineRequests.DRAIN,
                        """{"machine":"$target","force":true}""",
                    ) { _, _ -> }
                }
                targets.drop(2).take(2).forEach { cluster.cloud.reclaim(it) }
                cluster.cloud
                    .machineIds()
                    .filter { cluster.cloud.worker(it)?.zone == "a" }
                    .take(3)
                    .forEach { cluster.cloud.reclaim(it) }
                cluster.leader()?.let { cluster.crash(it, 5.0) }
            }
            cluster.run(240.0)
            cluster.assertNoViolations(jobs)
            assertEquals("drained", cluster.drainStateOf("zone/a"), cluster.recentLog())
        }
    }

    /** Guards against a late copy of a heartbeat that still lists the task: it must neither start nor stop the task a second time. */
    @Test
    fun `heartbeats of the source that arrive a lease late change nothing`() {
        val cluster = clusterWithBalance(3)
        cluster.duplicateHeartbeatAfter = { if (cluster.clock.now in 38.0..60.0) 2.0 + cluster.random.nextDouble() * 30 else null }
        val jobs = cluster.submitAll((0 until 8).map { cluster.checkpointingJob(it, 4) }, 20.0)
        cluster.clock.after(40.0) { cluster.drainZone("a") }
        cluster.clock.after(44.0) { cluster.leader()?.let { cluster.freeze(it, 10.0) } }
        cluster.run(200.0)
        cluster.assertNoViolations(jobs)
        assertTrue(
            cluster.history.stops
                .groupBy { it.task }
                .all { it.value.size == 1 },
            cluster.recentLog(),
        )
    }

    /** Guards the charging of moves in the rows of earlier leaders: a new leader may use only what is left of the budget. */
    @Test
    fun `move budgets hold across leaders, and the permission of a job class is respected`() {
        val settings =
            EAGER_MOVES.copy(
                movesPerMinute = 6,
                movesPerTask = 1,
                classMovePermissions = mapOf("urgent" to MovePermission.SAVED),
            )
        val cluster = clusterWithBalance(4, settings)
        val jobs = cluster.submitAll((0 until 10).map { cluster.checkpointingJob(it, 4, runSeconds = 100.0) }, 20.0)
        val jobsWithoutCheckpoints =
            cluster.submitAll(
                listOf(cluster.checkpointingJob(50, 4, runSeconds = 100.0).copy(checkpointIntervalSeconds = 0.0, saveSeconds = 0.0)),
                20.0,
            )
        cluster.clock.after(40.0) { cluster.drainZone("a") }
        for (turn in 0 until 8) cluster.clock.after(42.0 + turn * 7) { cluster.leader()?.let { cluster.crash(it, 2.0) } }
        cluster.run(260.0)
        cluster.assertNoViolations(jobs + jobsWithoutCheckpoints, settings)
        assertTrue(cluster.history.stops.size >= 6, cluster.history.stops.toString())
        assertTrue(
            cluster.history.stops.none { it.task.startsWith(jobsWithoutCheckpoints.first().id) },
            "a task without checkpoints must run to its end",
        )
        assertEquals("drained", cluster.drainStateOf("zone/a"), cluster.recentLog())
    }

    @Test
    fun `the move of a cancelled task ends with the cancellation`() {
        val cluster = clusterWithBalance(5)
        val jobs = cluster.submitAll((0 until 8).map { cluster.checkpointingJob(it, 4) }, 20.0)
        cluster.clock.after(40.0) { cluster.drainZone("a") }
        jobs.take(4).forEachIndexed { i, job -> cluster.clock.after(40.1 + i * 0.3) { cluster.abort(job) } }
        cluster.clock.after(40.9) { cluster.leader()?.let { cluster.crash(it, 3.0) } }
        cluster.run(160.0)
        cluster.assertNoViolations(jobs)
        assertEquals(emptyList<Any>(), cluster.invariants.startsAfterCancellation.filter { it.second > 2.5 })
        assertEquals(0, cluster.report().path("open_moves").asInt())
    }

    @Test
    fun `a gang is moved as a whole`() {
        for (seed in 1..4) {
            val cluster = clusterWithBalance(seed)
            val gangs = cluster.submitAll((0 until 4).map { cluster.gang(it, 3, runSeconds = 60.0) }, 20.0, everySeconds = 2.0)
            cluster.clock.after(45.0) { cluster.drainZone("a") }
            cluster.clock.after(45.2 + seed * 0.4) { cluster.leader()?.let { cluster.crash(it, 4.0) } }
            cluster.run(260.0)
            cluster.assertNoViolations(gangs)
            assertEquals("drained", cluster.drainStateOf("zone/a"), cluster.recentLog())
            val stops = cluster.history.stops.groupBy { it.task.substringBefore('/') }
            assertTrue(stops.values.all { it.size == 3 }, "gang stopped only in part: $stops")
        }
    }

    /** Guards the zones of reservations: waiting tasks must not take the zone slots of tasks that are being moved. */
    @Test
    fun `a spread job never exceeds its share of a zone while some of its tasks move there and others wait`() {
        for (seed in 1..12) {
            val cluster = clusterWithBalance(seed, EAGER_MOVES.copy(finishReports = 0.0))
            val jobs = cluster.submitAll((0 until 10).map { cluster.checkpointingJob(it, 4).copy(spread = true) }, 20.0, everySeconds = 0.3)
            cluster.clock.after(40.0) { cluster.drainZone("a") }
            // Tasks in the other zone are lost while those in the drained zone are being stopped.
            repeat(8) { turn ->
                cluster.clock.after(40.0 + turn * 0.2) {
                    cluster.cloud
                        .machineIds()
                        .mapNotNull { cluster.cloud.worker(it) }
                        .filter { it.zone == "b" }
                        .random(cluster.random)
                        .restart()
                }
            }
            cluster.run(160.0)
            cluster.assertNoViolations(jobs)
        }
    }

    /** Guards the quota while a task counts on both machines: capacity is reserved only within the quota of its team. */
    @Test
    fun `tasks of a team at its quota are moved without a reservation, and the quota is never exceeded`() {
        val cluster = clusterWithBalance(6, EAGER_MOVES.copy(capacityWaitLeases = 0.2))
        val jobs = cluster.submitAll((0 until 14).map { cluster.checkpointingJob(it, 4, runSeconds = 50.0).copy(team = "crew-x") }, 20.0)
        cluster.clock.after(45.0) { cluster.drainZone("a") }
        listOf(46.0, 52.0, 61.0).forEach { at -> cluster.clock.after(at) { cluster.leader()?.let { cluster.crash(it, 3.0) } } }
        jobs.take(3).forEach { job -> cluster.clock.after(50.0) { cluster.abort(job) } }
        cluster.run(300.0)
        cluster.assertNoViolations(jobs)
        assertEquals("drained", cluster.drainStateOf("zone/a"), cluster.recentLog())
    }

    @Test
    fun `damaged rows affect only their own drain or move and are reported`() {
        val cluster = clusterWithBalance(7)
        val jobs = cluster.submitAll((0 until 6).map { cluster.checkpointingJob(it, 4) }, 20.0)
        listOf("drain/zone/b", "drain/machine/x", "move/9-9", "move/9-8").forEachIndexed { i, key ->
            val value = listOf("{}", """{"st":"draining","target":{"machine":"y"}}""", """{"at":1,"jobs":{"j-1":[1]}}""", "[]")[i]
            cluster.state.handle("POST", "/multi", """{"if":[],"then":[{"set":"$key","value":$value}]}""") { _, _ -> }
        }
        cluster.clock.after(40.0) { cluster.drainZone("a") }
        cluster.run(150.0)
        cluster.assertNoViolations(jobs)
        val report = cluster.report()
        assertEquals(4, report.path("damaged_rows").size(), report.toString())
        assertEquals(Json.parse("{}"), cluster.state.value("drain/zone/b"))
        val (status, response) = cluster.requestAndWait("drover-0", "POST", MachineRequests.DRAIN, """{"zone":"b","force":true}""")
        assertTrue(status == 409 && "damaged" in response.path("error").asText(), response.toString())
    }
}
