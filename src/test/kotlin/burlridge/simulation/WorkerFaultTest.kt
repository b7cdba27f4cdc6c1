package burlridge.simulation

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Tests what the operators added to the protocol, each addition with the failure that it guards against. */
internal class WorkerFaultTest {
    private val cluster = SimulatedCluster(11)

    private fun assertFinishedWithoutViolations(vararg jobIds: String) {
        assertEquals(emptyList<String>(), cluster.invariants.violations)
        assertEquals(emptyList<String>(), jobIds.filterNot { cluster.invariants.finished(it) }, "not finished")
    }

    /**
     * Guards the wait until a machine's heartbeat contains a token of this leader: by its heartbeats alone, task after task would be placed
     * on a machine on which none can start.
     */
    @Test
    fun `a machine that sends heartbeats but receives nothing gets no more tasks`() {
        cluster.clock.after(5.0) { cluster.submit(cluster.job(1, 4, runSeconds = 3.0)) }
        cluster.clock.after(30.0) {
            cluster.cloud.machineIds().forEach {
                if (it !=
                    cluster.cloud.machineIds().last()
                ) {
                    cluster.blockTrafficTo(it, 300.0)
                }
            }
        }
        repeat(10) { i -> cluster.clock.after(31.0 + 3 * i) { cluster.submit(cluster.job(10 + i, 2, runSeconds = 3.0)) } }
        cluster.run(150.0)
        assertFinishedWithoutViolations(*Array(10) { "j-%06d".format(10 + it) })
        // The first attempt on a machine detects the failure; no further attempt may be made there.
        val failedAttempts =
            cluster.log
                .filter {
                    "task lost" in it && "reason=machine_unreachable" in it
                }.groupBy({ it.substringAfter("machine=").take(8) }, { it.take(8) })
        assertTrue(failedAttempts.isNotEmpty())
        assertEquals(emptyMap<String, Int>(), failedAttempts.mapValues { it.value.distinct().size }.filter { it.value > 1 })
    }

    /** Guards the same wait in a new leader, and the order of heartbeats by agent epoch and sequence number in every leader. */
    @Test
    fun `late copies of heartbeats prove neither that a task has ended nor that a machine is alive`() {
        cluster.duplicateHeartbeatAfter = { listOf(2.0, 9.0, 31.0, 70.0).random(cluster.random) }
        repeat(12) { i -> cluster.clock.after(5.0 + 6 * i) { cluster.submit(cluster.job(i, 3, runSeconds = 12.0)) } }
        repeat(3) { i -> cluster.clock.after(25.0 + 25 * i) { cluster.leader()?.let { cluster.crash(it, 1.0) } } }
        cluster.clock.after(40.0) {
            cluster.cloud
                .machineIds()
                .take(3)
                .forEach { cluster.cloud.reclaim(it) }
        }
        cluster.run(240.0)
        assertFinishedWithoutViolations(*Array(12) { "j-%06d".format(it) })
    }

    /**
     * Guards the limit on how long a leader that reaches only its workers answers them: the tasks that it kept alive must have ended or be
     * known to the next leader before they are started again.
     */
    @Test
    fun `a leader that reaches only its workers stops answering them, and no task is started twice`() {
        var lateStatus = 0
        cluster.clock.after(5.0) { cluster.submit(cluster.job(1, 3, runSeconds = 40.0)) }
        cluster.clock.after(30.0) {
            val leader = cluster.leader() ?: return@after
            cluster.partition(leader, "state", 60.0)
            cluster.members.filter { it != leader }.forEach { cluster.partition(leader, it, 60.0) }
            cluster.clock.after(6.0) {
                val heartbeat = """{"drover":"m-000001","addr":"10.1.0.1:9000","stint":1,"tally":0,"baton":0,"pieces":[]}"""
                cluster.request("m-000001", leader, "POST", "/agent/beat", heartbeat, 4.0) { status, _ -> lateStatus = status }
            }
        }
        cluster.clock.after(34.0) { cluster.submit(cluster.job(2, 2, runSeconds = 5.0)) }
        cluster.run(160.0)
        assertFinishedWithoutViolations("j-000001", "j-000002")
        assertEquals(5, cluster.invariants.starts, "tasks were lost in the change of leader")
        assertNotEquals(200, lateStatus, "the old leader still answers its workers")
    }

    /**
     * Guards the wait before an ended task is removed: a worker that has removed a task takes a duplicate of its start command for a new
     * start.
     */
    @Test
    fun `a duplicate of a start command is not executed after its task was cancelled and removed`() {
        cluster.lateSeconds = 70.0
        cluster.onCall =
            { _, call ->
                if (call.path == "/do" &&
                    "run" in call.body.orEmpty()
                ) {
                    SimulatedCluster.CallFault.DUPLICATED
                } else {
                    SimulatedCluster.CallFault.NONE
                }
            }
        cluster.clock.after(5.0) { cluster.submit(cluster.job(1, 8, runSeconds = 200.0), abortAfter = 30.0) }
        cluster.run(200.0)
        assertFinishedWithoutViolations("j-000001")
        assertEquals(8, cluster.invariants.starts)
    }

    /** Guards the forwarding of commands through the member that relays a worker's heartbeats. */
    @Test
    fun `machines that cannot reach the leader receive start commands through another member`() {
        cluster.clock.after(30.0) {
            val leader = cluster.leader() ?: return@after
            cluster.cloud.machineIds().forEach { cluster.partition(it, leader, 60.0) }
        }
        cluster.clock.after(5.0) { cluster.submit(cluster.job(1, 3, runSeconds = 5.0)) }
        cluster.clock.after(52.0) { cluster.submit(cluster.job(2, 3, runSeconds = 5.0)) }
        cluster.run(130.0)
        assertFinishedWithoutViolations("j-000001", "j-000002")
        assertTrue(cluster.invariants.firstStart("j-000002") < 75.0, "started at ${cluster.invariants.firstStart("j-000002")}")
    }

    @Test
    fun `tasks of a machine that restarts at once run again`() {
        cluster.clock.after(5.0) { cluster.submit(cluster.job(1, 6, runSeconds = 30.0)) }
        cluster.clock.after(30.0) { cluster.cloud.machineIds().forEach { cluster.cloud.worker(it)?.restart() } }
        cluster.run(150.0)
        assertFinishedWithoutViolations("j-000001")
    }

    @Test
    fun `jobs finish when members restart repeatedly within a fraction of a second, also during an election`() {
        repeat(10) { i -> cluster.clock.after(5.0 + 4 * i) { cluster.submit(cluster.job(i, 3, runSeconds = 8.0)) } }
        repeat(40) { i -> cluster.clock.after(15.0 + 1.3 * i) { cluster.crash(cluster.members.random(cluster.random), 0.2) } }
        cluster.run(200.0)
        assertFinishedWithoutViolations(*Array(10) { "j-%06d".format(it) })
    }

    /** Guards the precedence that waiting gives to a job: with the least work first alone, the largest jobs would never start. */
    @Test
    fun `under overload the largest jobs start within four minutes, and no job is forgotten`() {
        val large = (0 until 3).map { cluster.job(it, 40, cpus = 4.0, runSeconds = 30.0, jobClass = "bulk", spot = false) }
        large.forEach { cluster.clock.after(20.0) { cluster.submit(it) } }
        repeat(260) { i -> cluster.clock.after(10.0 + 2 * i) { cluster.submit(cluster.job(100 + i, 8, cpus = 4.0, runSeconds = 25.0)) } }
        cluster.run(300.0)
        assertEquals(emptyList<String>(), cluster.invariants.violations)
        large.forEach {
            assertTrue(cluster.invariants.firstStart(it.id) in 0.0..260.0, "${it.id} started at ${cluster.invariants.firstStart(it.id)}")
        }
    }

    private val failures: Map<String, SimulatedCluster.() -> Unit> =
        mapOf(
            "outage" to { clock.after(50.0) { state.outage(15.0) } },
            "crash of all members" to { clock.after(60.0) { members.forEach { crash(it, 3.0) } } },
            "leader partitioned from the state service" to { clock.after(75.0) { leader()?.let { partition(it, "state", 20.0) } } },
            "members separated" to
                { clock.after(75.0) { members.forEach { a -> members.forEach { b -> if (a != b) partition(a, b, 20.0) } } } },
        )

    @Test
    fun `every member answers for every job after any single failure`() {
        for ((name, inject) in failures) {
            val other = SimulatedCluster(12)
            other.inject()
            assertEquals(emptyList<String>(), other.unansweredQueries(300), name)
        }
    }

    @Test
    fun `every member answers for every one of thousands of jobs after all failures together`() {
        failures.values.forEach { cluster.it() }
        assertEquals(emptyList<String>(), cluster.unansweredQueries(JOB_COUNT))
    }

    /**
     * Submits jobs, queries every member about each of them once the failures have ended, which is at 100 s at the latest, and returns what
     * a member has not answered 75 s after the first query, and violations.
     */
    private fun SimulatedCluster.unansweredQueries(jobCount: Int): List<String> {
        repeat(jobCount) { i -> clock.after(5.0 + i * 40.0 / jobCount) { submit(job(i, 1, runSeconds = 2.0)) } }
        run(110.0)
        val unanswered = HashSet<String>()
        for (member in members) {
            repeat(jobCount) { i ->
                val id = "j-%06d".format(i)
                unanswered += "$id at $member"
                queryUntilAnswered(member, id, unanswered, 110.0 + i * 30.0 / jobCount)
            }
        }
        run(185.0)
        return invariants.violations + unanswered
    }

    private fun SimulatedCluster.queryUntilAnswered(
        member: String,
        id: String,
        unanswered: MutableSet<String>,
        at: Double,
    ) {
        clock.after(at - clock.now) {
            request("user", member, "GET", "/api/jobs/$id", "", 2.0) { status, _ ->
                if (status == 200) unanswered -= "$id at $member" else queryUntilAnswered(member, id, unanswered, clock.now + 5.0)
            }
        }
    }

    private companion object {
        const val JOB_COUNT = 2000
    }
}
