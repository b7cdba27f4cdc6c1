package burlridge.balance

import burlridge.allocation.Job
import burlridge.job.JobSpec
import burlridge.settings.BalanceSettings
import burlridge.simulation.MachineTypeSpec
import burlridge.simulation.SimulatedCluster
import burlridge.simulation.job
import burlridge.worker.Machine
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** The picture of load, and what is done about machines that run hot. */
internal class HotspotMitigationTest {
    private val settings = BalanceSettings()
    private val machine = Machine("m-1", 0.0)

    private fun job(): Job =
        Job(SimulatedCluster(0).job(1, 10, runSeconds = 10.0), 1, 0).also { it.finishedRunSeconds = 40.0 }.also {
            it.finishedRunCount =
                4
        }

    private fun LoadTracker.at(
        now: Double,
        silent: Boolean = false,
    ) = load(machine, silent, now)

    /** Guards the two thresholds: one that hovers between them keeps the mark it has. */
    @Test
    fun `a machine becomes hot above one threshold and stays so until below another`() {
        val loadTracker = LoadTracker(settings, halfLifeSeconds = 20.0)
        val job = job()
        assertEquals(LoadLevel.UNKNOWN, loadTracker.at(0.0))
        repeat(2) { loadTracker.recordCompleted("m-1", job, 20.0, 1.0) }
        assertEquals(LoadLevel.UNKNOWN, loadTracker.at(1.0), "two samples say nothing")
        loadTracker.recordCompleted("m-1", job, 20.0, 2.0)
        assertEquals(LoadLevel.HOT, loadTracker.at(2.0))
        assertEquals(LoadLevel.UNKNOWN, loadTracker.at(2.0, silent = true), "a silent machine is neither idle nor hot")
        while (loadTracker.slowdown("m-1", 3.0) > 1.25) loadTracker.recordCompleted("m-1", job, 11.0, 3.0)
        assertEquals(LoadLevel.HOT, loadTracker.at(3.0))
        while (loadTracker.slowdown("m-1", 4.0) > 1.14) loadTracker.recordCompleted("m-1", job, 10.0, 4.0)
        assertEquals(LoadLevel.NORMAL, loadTracker.at(4.0))
        repeat(3) { loadTracker.recordCompleted("m-1", job, 12.5, 5.0) }
        assertEquals(LoadLevel.NORMAL, loadTracker.at(5.0))
    }

    /** Guards the end of a mark: nothing new may be learned of a machine that gets nothing new. */
    @Test
    fun `a mark fades within the time after which a job must get what room there is`() {
        val loadTracker = LoadTracker(settings, halfLifeSeconds = 20.0)
        repeat(50) { loadTracker.recordCompleted("m-1", job(), 1000.0, 1.0) }
        assertEquals(LoadLevel.HOT, loadTracker.at(2.0))
        assertEquals(LoadLevel.NORMAL, loadTracker.at(90.0))
    }

    @Test
    fun `absurd times teach nothing, and what is kept is bounded`() {
        val loadTracker = LoadTracker(settings, halfLifeSeconds = 20.0)
        listOf(Double.NaN, -5.0, 0.0, Double.POSITIVE_INFINITY, 1e9).forEach { wrong ->
            loadTracker.recordCompleted("m-1", job(), wrong, 1.0)
            loadTracker.recordRunning("m-1", job(), wrong, 1.0)
        }
        assertEquals(0, loadTracker.samples)
        repeat(4000) { loadTracker.recordCompleted("m-$it", job(), 10.0, 1.0) }
        assertTrue(loadTracker.sizeBytes < 1_000_000, "${loadTracker.sizeBytes} bytes at 4,000 machines")
        loadTracker.retainOnly(setOf("m-1"))
        assertTrue(loadTracker.sizeBytes < 1_000, "${loadTracker.sizeBytes} bytes")
    }

    @Test
    fun `a move must gain more than it surely costs`() {
        val gains =
            MoveGain(
                remainingSeconds = 60.0,
                slowdown = 2.0,
                lostSeconds = 0.0,
                saveSeconds = 2.0,
                fetchSeconds = 5.0,
                handoverSeconds = 1.5,
            )
        assertEquals(60.0 * 0.7 - 8.5, gains.gainSeconds, 1e-9)
        assertTrue(
            gains.copy(lostSeconds = 50.0).gainSeconds < 0 && gains.copy(slowdown = 1.0).gainSeconds < 0 &&
                gains.copy(remainingSeconds = 5.0).gainSeconds < 0,
        )
    }

    /** Short tasks by which the pace is learned beside long ones; [hot] of the machines that run both are slow from then on. */
    private fun SimulatedCluster.warm(
        slowness: Double,
        hot: Int,
    ): Pair<Set<String>, List<JobSpec>> {
        val short = submitAll((0 until 90).map { savingJob(it, 6, runSeconds = 4.0) }, 15.0, everySeconds = 0.5)
        val long = submitAll((100 until 124).map { savingJob(it, 2, runSeconds = 90.0) }, 15.1, everySeconds = 0.3)
        run(23.0)
        val machinesOf = { jobs: List<JobSpec> ->
            history.starts.filter { start -> jobs.any { start.task.startsWith(it.id) } }.mapTo(LinkedHashSet()) { it.machine }
        }
        val slow = (machinesOf(long) intersect machinesOf(short)).take(hot)
        assertTrue(slow.isNotEmpty())
        slow.forEach { cloud.worker(it)?.slowness = slowness }
        return slow.toSet() to short + long
    }

    private fun SimulatedCluster.movedFor(reason: MoveReason): List<Pair<String, String>> =
        state.keys(MoveBatch.PREFIX).flatMap { key ->
            state.value(key)?.path("jobs")?.flatMap { it.path(2).toList() }.orEmpty().filter { it.path(6).asText() == reason.wire }.map {
                it.path(2).asText() to it.path(3).asText()
            }
        }

    @Test
    fun `a hot machine gets nothing new and is relieved, whoever leads`() {
        for (seed in 1..4) {
            val small = mapOf("small" to MachineTypeSpec(4.0, 16.0, 6))
            val cluster = balancedCluster(seed, BalanceSettings(), if (seed % 2 == 0) 5 else 3, failover = seed % 2 == 0, types = small)
            val (slow, jobs) = cluster.warm(slowness = 1.55, hot = 2)
            while (cluster.clock.now < 60.0 && cluster.movedFor(MoveReason.HOT).isEmpty()) cluster.run(cluster.clock.now + 0.5)
            val report = cluster.report()
            val hot =
                report
                    .path("hot_machines")
                    .fieldNames()
                    .asSequence()
                    .toSet()
            assertTrue(hot.isNotEmpty() && slow.containsAll(hot), "$hot of $slow\n${cluster.tail()}")
            val moves = cluster.movedFor(MoveReason.HOT)
            assertTrue(moves.isNotEmpty(), "nothing was moved: $report\n${cluster.tail()}")
            assertTrue(moves.all { (from, to) -> from in slow && to !in slow }, moves.toString())
            cluster.crash(cluster.leader() ?: "drover-0", 4.0)
            cluster.run(240.0)
            cluster.verdict(jobs, BalanceSettings())
            val places = cluster.history.starts.groupBy({ it.task }, { it.machine })
            assertTrue(
                places.values.all {
                    it.distinct().size == it.size
                },
                "moved back and forth: ${places.filterValues { it.distinct().size < it.size }}",
            )
        }
    }

    /** Guards the two bounds of the picture: a fleet that is slow throughout, and half of it unheard, tells nothing of any machine. */
    @Test
    fun `where much of the fleet looks hot, or a zone is cut off, nothing is moved for it`() {
        val cluster = balancedCluster(5, BalanceSettings())
        val (_, jobs) = cluster.warm(slowness = 1.5, hot = 1)
        cluster.cloud.machineIds().forEach { cluster.cloud.worker(it)?.slowness = 1.5 }
        cluster.run(60.0)
        assertEquals(emptyList<Any>(), cluster.movedFor(MoveReason.HOT))
        assertEquals(0, cluster.report().path("hot_machines").size())
        cluster.run(240.0)
        cluster.verdict(jobs, BalanceSettings())

        val cut = balancedCluster(6, BalanceSettings())
        val (_, others) = cut.warm(slowness = 1.55, hot = 2)
        cut.run(36.0)
        val zone = cut.cloud.machineIds().filter { cut.cloud.worker(it)?.zone == "b" }
        zone.forEach { machine -> cut.members.forEach { cut.cut(machine, it, 30.0) } }
        cut.run(60.0)
        assertTrue(cut.movedFor(MoveReason.HOT).none { it.second in zone }, cut.movedFor(MoveReason.HOT).toString())
        cut.run(260.0)
        cut.verdict(others, BalanceSettings())
    }

    /** Guards the room that is left for those who have nothing else: a mark must never keep a job waiting. */
    @Test
    fun `a job that fits nowhere else gets the hot machine in time`() {
        val cluster = balancedCluster(7, BalanceSettings(relieveHot = false))
        val (slow, jobs) = cluster.warm(slowness = 1.5, hot = 1)
        val other = cluster.cloud.machineIds().filter { it !in slow }
        // All others are full for long.
        val full = cluster.submitAll((200 until 230).map { cluster.savingJob(it, 12, runSeconds = 200.0) }, 37.0, everySeconds = 0.1)
        cluster.run(320.0)
        assertTrue(other.isNotEmpty())
        assertEquals(emptyList<String>(), cluster.invariants.violations, cluster.tail())
        assertTrue(cluster.history.starts.any { it.machine in slow && it.at > 60.0 }, "it was never used again")
        cluster.run(700.0)
        cluster.verdict(jobs + full, BalanceSettings())
    }
}
