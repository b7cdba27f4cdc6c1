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

/** Moves of running tasks in the whole service, in virtual time, with leaders that fail at each step of them. */
internal class MoveTest {
    /** Steps of a move as they can be told from outside: what leaves the leader, or comes back to it. */
    private enum class Step(
        val isIt: (Effect.HttpCall) -> Boolean,
    ) {
        ROW({ it.path == "/multi" && "\"set\":\"move/" in it.body.orEmpty() }),
        STOP({ it.path == "/do" && "\"halt\"" in it.body.orEmpty() }),
        CLAIM({ it.path == "/multi" && "\"set\":\"round/" in it.body.orEmpty() }),
        START({ it.path == "/do" && "\"run\"" in it.body.orEmpty() }),
        CLEANUP({ it.path == "/multi" && "\"remove\":\"move/" in it.body.orEmpty() }),
    }

    private enum class Trouble { KILLED, FROZEN, CUT_OFF, REFUSED, ANSWER_LOST, LATE }

    private fun SimulatedCluster.strike(
        name: String,
        trouble: Trouble,
    ) {
        when (trouble) {
            Trouble.KILLED -> crash(name, 4.0)
            Trouble.FROZEN -> freeze(name, 9.0)
            Trouble.CUT_OFF -> listOf("state").plus(members.filter { it != name }).forEach { cut(name, it, 12.0) }
            Trouble.REFUSED -> refuseStateRequests(name, 8.0)
            else -> Unit
        }
    }

    /** Strikes the leader at the first [step] after the drain, and its successor at the same step. */
    private fun strikeAt(
        cluster: SimulatedCluster,
        step: Step,
        trouble: Trouble,
        before: Boolean,
    ): () -> Int {
        val struck = HashSet<String>()
        cluster.onCall = { name, call ->
            val hit = cluster.clock.now > 40.0 && step.isIt(call) && struck.size < 2 && struck.add(name)
            if (hit) cluster.clock.after(if (before) 0.0 else 0.004) { cluster.strike(name, trouble) }
            when {
                hit && trouble == Trouble.ANSWER_LOST -> SimulatedCluster.CallFault.ANSWER_LOST
                hit && trouble == Trouble.LATE -> SimulatedCluster.CallFault.DELAYED
                else -> SimulatedCluster.CallFault.NONE
            }
        }
        return { struck.size }
    }

    private fun SimulatedCluster.movedTo(job: JobSpec): List<Pair<String, Int>> =
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
    fun `each task is moved once, whatever befalls the leader and its successor at whichever step`() {
        for (step in Step.entries) {
            for (trouble in Trouble.entries) {
                val seed = step.ordinal * 10 + trouble.ordinal
                val cluster = balancedCluster(seed + 1, members = if (seed % 2 == 0) 3 else 5, failover = seed % 3 == 0)
                val jobs = cluster.submitAll((0 until 6).map { cluster.savingJob(it, 4) }, 20.0)
                cluster.clock.after(40.0) { cluster.drainZone("a") }
                val struck = strikeAt(cluster, step, trouble, before = seed % 4 < 2)
                cluster.run(200.0)
                cluster.verdict(jobs)
                assertTrue(struck() > 0, "$step was not reached with $trouble")
                assertTrue(cluster.history.stops.isNotEmpty(), "$step $trouble: nothing was moved\n${cluster.tail()}")
                val often =
                    cluster.history.stops
                        .groupBy { it.task }
                        .filterValues { it.size > 1 }
                assertEquals(emptySet<String>(), often.keys, "$step $trouble: moved twice out of one zone\n${cluster.tail()}")
                assertEquals("drained", cluster.stateOf("zone/a"), "$step $trouble\n${cluster.tail()}")
                assertEquals(emptyList<String>(), cluster.state.keys(MoveBatch.PREFIX), "$step $trouble: rows are left")
            }
        }
    }

    /** Guards the room that is kept: the tasks of a crowd that waits would take it. */
    @Test
    fun `a moved task starts where room was kept for it, and nothing of its run is lost`() {
        val cluster = balancedCluster(1)
        val moved = cluster.savingJob(1, 12, runSeconds = 60.0, cpus = 2.0)
        val crowd =
            cluster.submitAll(
                (2 until 30).map { cluster.savingJob(it, 8, runSeconds = 20.0, cpus = 2.0).copy(zone = "b") },
                41.0,
                everySeconds = 0.2,
            )
        cluster.submitAll(listOf(moved), 20.0)
        cluster.clock.after(41.0) { cluster.drainZone("a") }
        cluster.run(46.0)
        val targets = cluster.movedTo(moved).filter { it.first != "null" }
        assertTrue(targets.isNotEmpty(), cluster.tail())
        cluster.run(70.0)
        for ((machine, task) in targets) {
            val starts = cluster.history.starts.filter { it.task == "${moved.id}/$task" }
            assertEquals(2, starts.size, starts.toString())
            assertEquals(machine, starts.last().machine, cluster.tail())
            assertTrue(starts.last().at < 46.0 + 8.0, "$starts")
        }
        cluster.run(300.0)
        cluster.verdict(crowd + moved)
        val longest =
            cluster.history.taskRuns
                .filter { it.task.startsWith(moved.id) }
                .maxOf { it.until }
        assertTrue(longest < 20.0 + 60.0 + 20.0, "a task was over only at $longest: its progress was lost")
    }

    @Test
    fun `a save that fails, or whose stop's answer is lost, costs work and nothing else`() {
        val cluster = balancedCluster(2)
        cluster.savesFail = true
        val jobs = cluster.submitAll((0 until 6).map { cluster.savingJob(it, 4) }, 20.0)
        cluster.clock.after(40.0) { cluster.drainZone("a") }
        var lost = 0
        cluster.onCall =
            { _, call ->
                if (Step.STOP.isIt(call) &&
                    lost++ % 2 == 0
                ) {
                    SimulatedCluster.CallFault.ANSWER_LOST
                } else {
                    SimulatedCluster.CallFault.NONE
                }
            }
        cluster.run(220.0)
        cluster.verdict(jobs)
        assertTrue(lost > 2)
        assertEquals("drained", cluster.stateOf("zone/a"), cluster.tail())
    }

    @Test
    fun `the target is drained, and source and target are lost, in the middle of a move`() {
        for (seed in 1..6) {
            val cluster = balancedCluster(seed, members = 5)
            val jobs = cluster.submitAll((0 until 8).map { cluster.savingJob(it, 4) }, 20.0)
            cluster.clock.after(40.0) { cluster.drainZone("a") }
            cluster.clock.after(40.6) {
                val targets = jobs.flatMap { cluster.movedTo(it) }.map { it.first }.distinct()
                targets.take(2).forEach { target ->
                    cluster.ask(cluster.anyMember(), "POST", MachineRequests.DRAIN, """{"machine":"$target","force":true}""") { _, _ -> }
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
            cluster.verdict(jobs)
            assertEquals("drained", cluster.stateOf("zone/a"), cluster.tail())
        }
    }

    /** A late copy of a report that still shows the task must neither start it twice nor stop it twice. */
    @Test
    fun `reports of the source that come a lease late change nothing`() {
        val cluster = balancedCluster(3)
        cluster.duplicateReportAfter = { if (cluster.clock.now in 38.0..60.0) 2.0 + cluster.random.nextDouble() * 30 else null }
        val jobs = cluster.submitAll((0 until 8).map { cluster.savingJob(it, 4) }, 20.0)
        cluster.clock.after(40.0) { cluster.drainZone("a") }
        cluster.clock.after(44.0) { cluster.leader()?.let { cluster.freeze(it, 10.0) } }
        cluster.run(200.0)
        cluster.verdict(jobs)
        assertTrue(
            cluster.history.stops
                .groupBy { it.task }
                .all { it.value.size == 1 },
            cluster.tail(),
        )
    }

    /** Guards the counting of rows of earlier leaders: a new one begins with what is left of the minute. */
    @Test
    fun `budgets hold over all leaders together, and classes keep what is permitted`() {
        val settings = EAGER.copy(movesPerMinute = 6, movesPerTask = 1, classMoves = mapOf("urgent" to MovePermission.SAVED))
        val cluster = balancedCluster(4, settings)
        val jobs = cluster.submitAll((0 until 10).map { cluster.savingJob(it, 4, runSeconds = 100.0) }, 20.0)
        val kept =
            cluster.submitAll(
                listOf(cluster.savingJob(50, 4, runSeconds = 100.0).copy(checkpointIntervalSeconds = 0.0, saveSeconds = 0.0)),
                20.0,
            )
        cluster.clock.after(40.0) { cluster.drainZone("a") }
        for (turn in 0 until 8) cluster.clock.after(42.0 + turn * 7) { cluster.leader()?.let { cluster.crash(it, 2.0) } }
        cluster.run(260.0)
        cluster.verdict(jobs + kept, settings)
        assertTrue(cluster.history.stops.size >= 6, cluster.history.stops.toString())
        assertTrue(cluster.history.stops.none { it.task.startsWith(kept.first().id) }, "what does not save runs to its end")
        assertEquals("drained", cluster.stateOf("zone/a"), cluster.tail())
    }

    @Test
    fun `a cancelled task's move ends with the cancellation`() {
        val cluster = balancedCluster(5)
        val jobs = cluster.submitAll((0 until 8).map { cluster.savingJob(it, 4) }, 20.0)
        cluster.clock.after(40.0) { cluster.drainZone("a") }
        jobs.take(4).forEachIndexed { i, job -> cluster.clock.after(40.1 + i * 0.3) { cluster.abort(job) } }
        cluster.clock.after(40.9) { cluster.leader()?.let { cluster.crash(it, 3.0) } }
        cluster.run(160.0)
        cluster.verdict(jobs)
        assertEquals(emptyList<Any>(), cluster.invariants.startsAfterCancellation.filter { it.second > 2.5 })
        assertEquals(0, cluster.report().path("open_moves").asInt())
    }

    @Test
    fun `a gang is moved whole, or not`() {
        for (seed in 1..4) {
            val cluster = balancedCluster(seed)
            val gangs = cluster.submitAll((0 until 4).map { cluster.gang(it, 3, runSeconds = 60.0) }, 20.0, everySeconds = 2.0)
            cluster.clock.after(45.0) { cluster.drainZone("a") }
            cluster.clock.after(45.2 + seed * 0.4) { cluster.leader()?.let { cluster.crash(it, 4.0) } }
            cluster.run(260.0)
            cluster.verdict(gangs)
            assertEquals("drained", cluster.stateOf("zone/a"), cluster.tail())
            val stops = cluster.history.stops.groupBy { it.task.substringBefore('/') }
            assertTrue(stops.values.all { it.size == 3 }, "stopped in part: $stops")
        }
    }

    /** Guards the zones in which room is kept: tasks that wait must not take the places of those that move. */
    @Test
    fun `a spread job never crowds a zone while some of its tasks move there and others wait`() {
        for (seed in 1..12) {
            val cluster = balancedCluster(seed, EAGER.copy(finishReports = 0.0))
            val jobs = cluster.submitAll((0 until 10).map { cluster.savingJob(it, 4).copy(spread = true) }, 20.0, everySeconds = 0.3)
            cluster.clock.after(40.0) { cluster.drainZone("a") }
            // Its tasks in the other zone are lost while those in the drained one are told to stop.
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
            cluster.verdict(jobs)
        }
    }

    /** Guards the limit while a task counts in both places: room is kept only as far as its team may use it. */
    @Test
    fun `a team at its limit is moved without room kept, and never exceeds it`() {
        val cluster = balancedCluster(6, EAGER.copy(roomLeases = 0.2))
        val jobs = cluster.submitAll((0 until 14).map { cluster.savingJob(it, 4, runSeconds = 50.0).copy(team = "crew-x") }, 20.0)
        cluster.clock.after(45.0) { cluster.drainZone("a") }
        listOf(46.0, 52.0, 61.0).forEach { at -> cluster.clock.after(at) { cluster.leader()?.let { cluster.crash(it, 3.0) } } }
        jobs.take(3).forEach { job -> cluster.clock.after(50.0) { cluster.abort(job) } }
        cluster.run(300.0)
        cluster.verdict(jobs)
        assertEquals("drained", cluster.stateOf("zone/a"), cluster.tail())
    }

    @Test
    fun `damaged rows stop nothing but themselves and are shown`() {
        val cluster = balancedCluster(7)
        val jobs = cluster.submitAll((0 until 6).map { cluster.savingJob(it, 4) }, 20.0)
        listOf("drain/zone/b", "drain/machine/x", "move/9-9", "move/9-8").forEachIndexed { i, key ->
            val value = listOf("{}", """{"st":"draining","target":{"machine":"y"}}""", """{"at":1,"jobs":{"j-1":[1]}}""", "[]")[i]
            cluster.state.handle("POST", "/multi", """{"if":[],"then":[{"set":"$key","value":$value}]}""") { _, _ -> }
        }
        cluster.clock.after(40.0) { cluster.drainZone("a") }
        cluster.run(150.0)
        cluster.verdict(jobs)
        val report = cluster.report()
        assertEquals(4, report.path("damaged_rows").size(), report.toString())
        assertEquals(Json.parse("{}"), cluster.state.value("drain/zone/b"))
        val (status, answer) = cluster.answerOf("drover-0", "POST", MachineRequests.DRAIN, """{"zone":"b","force":true}""")
        assertTrue(status == 409 && "damaged" in answer.path("error").asText(), answer.toString())
    }
}
