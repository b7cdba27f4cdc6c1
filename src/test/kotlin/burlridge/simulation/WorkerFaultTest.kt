package burlridge.simulation

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** What the operators added to the protocol, each with the trouble that it guards against. */
internal class WorkerFaultTest {
    private val cluster = SimulatedCluster(11)

    private fun verdict(vararg jobs: String) {
        assertEquals(emptyList<String>(), cluster.invariants.violations)
        assertEquals(emptyList<String>(), jobs.filterNot { cluster.invariants.finished(it) }, "not over")
    }

    /** Guards the wait for a machine's echo: its reports alone would have task after task placed where none can start. */
    @Test
    fun `a machine that is heard but does not hear gets no more tasks`() {
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
        verdict(*Array(10) { "j-%06d".format(10 + it) })
        // The first try finds out; only one try a machine may be in vain.
        val tries =
            cluster.log
                .filter {
                    "task lost" in it && "reason=machine_unreachable" in it
                }.groupBy({ it.substringAfter("machine=").take(8) }, { it.take(8) })
        assertTrue(tries.isNotEmpty())
        assertEquals(emptyMap<String, Int>(), tries.mapValues { it.value.distinct().size }.filter { it.value > 1 })
    }

    /** Guards the same wait in a new leader, and the order of session and tally in all of them. */
    @Test
    fun `late copies of reports are neither absence nor a sign of life`() {
        cluster.duplicateReportAfter = { listOf(2.0, 9.0, 31.0, 70.0).random(cluster.random) }
        repeat(12) { i -> cluster.clock.after(5.0 + 6 * i) { cluster.submit(cluster.job(i, 3, runSeconds = 12.0)) } }
        repeat(3) { i -> cluster.clock.after(25.0 + 25 * i) { cluster.leader()?.let { cluster.crash(it, 1.0) } } }
        cluster.clock.after(40.0) {
            cluster.cloud
                .machineIds()
                .take(3)
                .forEach { cluster.cloud.reclaim(it) }
        }
        cluster.run(240.0)
        verdict(*Array(12) { "j-%06d".format(it) })
    }

    /** A leader with its workers alone stops answering within its bound, and what it kept alive is gone or known before it runs again. */
    @Test
    fun `a leader left with nothing but its workers gives way`() {
        var answeredLate = 0
        cluster.clock.after(5.0) { cluster.submit(cluster.job(1, 3, runSeconds = 40.0)) }
        cluster.clock.after(30.0) {
            val leader = cluster.leader() ?: return@after
            cluster.cut(leader, "state", 60.0)
            cluster.members.filter { it != leader }.forEach { cluster.cut(leader, it, 60.0) }
            cluster.clock.after(6.0) {
                val report = """{"drover":"m-000001","addr":"10.1.0.1:9000","stint":1,"tally":0,"baton":0,"pieces":[]}"""
                cluster.request("m-000001", leader, "POST", "/agent/beat", report, 4.0) { status, _ -> answeredLate = status }
            }
        }
        cluster.clock.after(34.0) { cluster.submit(cluster.job(2, 2, runSeconds = 5.0)) }
        cluster.run(160.0)
        verdict("j-000001", "j-000002")
        assertEquals(5, cluster.invariants.starts, "tasks were lost on the way from one leader to the next")
        assertNotEquals(200, answeredLate, "it keeps its workers from whoever follows")
    }

    /** Guards the wait before a reap: to a worker that has forgotten a task, a repeat of its start is a new one. */
    @Test
    fun `a start that is repeated after its task was cancelled and forgotten is void`() {
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
        verdict("j-000001")
        assertEquals(8, cluster.invariants.starts)
    }

    /** Guards the way of commands through the member that passes on a worker's reports. */
    @Test
    fun `machines that cannot reach the leader get their starts through another member`() {
        cluster.clock.after(30.0) {
            val leader = cluster.leader() ?: return@after
            cluster.cloud.machineIds().forEach { cluster.cut(it, leader, 60.0) }
        }
        cluster.clock.after(5.0) { cluster.submit(cluster.job(1, 3, runSeconds = 5.0)) }
        cluster.clock.after(52.0) { cluster.submit(cluster.job(2, 3, runSeconds = 5.0)) }
        cluster.run(130.0)
        verdict("j-000001", "j-000002")
        assertTrue(cluster.invariants.firstStart("j-000002") < 75.0, "began at ${cluster.invariants.firstStart("j-000002")}")
    }

    @Test
    fun `a machine back at once has lost its tasks, and they run again`() {
        cluster.clock.after(5.0) { cluster.submit(cluster.job(1, 6, runSeconds = 30.0)) }
        cluster.clock.after(30.0) { cluster.cloud.machineIds().forEach { cluster.cloud.worker(it)?.restart() } }
        cluster.run(150.0)
        verdict("j-000001")
    }

    @Test
    fun `members back within a fraction of a second, over and over, mid-election too`() {
        repeat(10) { i -> cluster.clock.after(5.0 + 4 * i) { cluster.submit(cluster.job(i, 3, runSeconds = 8.0)) } }
        repeat(40) { i -> cluster.clock.after(15.0 + 1.3 * i) { cluster.crash(cluster.members.random(cluster.random), 0.2) } }
        cluster.run(200.0)
        verdict(*Array(10) { "j-%06d".format(it) })
    }

    /** Guards the claim that waiting raises: by the least work first alone the largest would never begin. */
    @Test
    fun `under overload the largest jobs begin within four minutes, and the late ones are not forgotten`() {
        val large = (0 until 3).map { cluster.job(it, 40, cpus = 4.0, runSeconds = 30.0, jobClass = "bulk", spot = false) }
        large.forEach { cluster.clock.after(20.0) { cluster.submit(it) } }
        repeat(260) { i -> cluster.clock.after(10.0 + 2 * i) { cluster.submit(cluster.job(100 + i, 8, cpus = 4.0, runSeconds = 25.0)) } }
        cluster.run(300.0)
        assertEquals(emptyList<String>(), cluster.invariants.violations)
        large.forEach {
            assertTrue(cluster.invariants.firstStart(it.id) in 0.0..260.0, "${it.id} began at ${cluster.invariants.firstStart(it.id)}")
        }
    }

    private val troubles: Map<String, SimulatedCluster.() -> Unit> =
        mapOf(
            "outage" to { clock.after(50.0) { state.outage(15.0) } },
            "crash of all" to { clock.after(60.0) { members.forEach { crash(it, 3.0) } } },
            "cut from the state service" to { clock.after(75.0) { leader()?.let { cut(it, "state", 20.0) } } },
            "members apart" to { clock.after(75.0) { members.forEach { a -> members.forEach { b -> if (a != b) cut(a, b, 20.0) } } } },
        )

    @Test
    fun `no job is forgotten by any member after any one trouble`() {
        for ((name, trouble) in troubles) {
            val other = SimulatedCluster(12)
            other.trouble()
            assertEquals(emptyList<String>(), other.unansweredOf(300), name)
        }
    }

    /** After all troubles together, every member answers for every job. */
    @Test
    fun `no job of thousands is forgotten by any member after all troubles together`() {
        troubles.values.forEach { cluster.it() }
        assertEquals(emptyList<String>(), cluster.unansweredOf(JOBS))
    }

    /** Troubles end at 100 s; what no member has answered 75 s after the first question is forgotten. */
    private fun SimulatedCluster.unansweredOf(jobs: Int): List<String> {
        repeat(jobs) { i -> clock.after(5.0 + i * 40.0 / jobs) { submit(job(i, 1, runSeconds = 2.0)) } }
        run(110.0)
        val unknown = HashSet<String>()
        for (member in members) {
            repeat(jobs) { i ->
                val id = "j-%06d".format(i)
                unknown += "$id at $member"
                ask(member, id, unknown, 110.0 + i * 30.0 / jobs)
            }
        }
        run(185.0)
        return invariants.violations + unknown
    }

    private fun SimulatedCluster.ask(
        member: String,
        id: String,
        unknown: MutableSet<String>,
        at: Double,
    ) {
        clock.after(at - clock.now) {
            request("user", member, "GET", "/api/jobs/$id", "", 2.0) { status, _ ->
                if (status == 200) unknown -= "$id at $member" else ask(member, id, unknown, clock.now + 5.0)
            }
        }
    }

    private companion object {
        const val JOBS = 2000
    }
}
