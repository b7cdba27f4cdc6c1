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

/** Tests the load measurement and the mitigation of hot machines. */
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
        isSilent: Boolean = false,
    ) = load(machine, isSilent, now)

    /** Guards the hysteresis: a machine whose slowdown is between the two thresholds stays as it is. */
    @Test
    fun `a machine becomes hot above one threshold and stays hot until below the other`() {
        val loadTracker = LoadTracker(settings, halfLifeSeconds = 20.0)
        val job = job()
        assertEquals(LoadLevel.UNKNOWN, loadTracker.at(0.0))
        repeat(2) { loadTracker.recordCompleted("m-1", job, 20.0, 1.0) }
        assertEquals(LoadLevel.UNKNOWN, loadTracker.at(1.0), "two samples are too few")
        loadTracker.recordCompleted("m-1", job, 20.0, 2.0)
        assertEquals(LoadLevel.HOT, loadTracker.at(2.0))
        assertEquals(LoadLevel.UNKNOWN, loadTracker.at(2.0, isSilent = true), "a silent machine is neither idle nor hot")
        while (loadTracker.slowdown("m-1", 3.0) > 1.25) loadTracker.recordCompleted("m-1", job, 11.0, 3.0)
        assertEquals(LoadLevel.HOT, loadTracker.at(3.0))
        while (loadTracker.slowdown("m-1", 4.0) > 1.14) loadTracker.recordCompleted("m-1", job, 10.0, 4.0)
        assertEquals(LoadLevel.NORMAL, loadTracker.at(4.0))
        repeat(3) { loadTracker.recordCompleted("m-1", job, 12.5, 5.0) }
        assertEquals(LoadLevel.NORMAL, loadTracker.at(5.0))
    }

    /** Guards the decay of the hot mark: a machine that receives no new tasks may yield no new samples. */
    @Test
    fun `the hot mark decays within the time in which a job must be given existing capacity`() {
        val loadTracker = LoadTracker(settings, halfLifeSeconds = 20.0)
        repeat(50) { loadTracker.recordCompleted("m-1", job(), 1000.0, 1.0) }
        assertEquals(LoadLevel.HOT, loadTracker.at(2.0))
        assertEquals(LoadLevel.NORMAL, loadTracker.at(90.0))
    }

    @Test
    fun `implausible run times are ignored, and memory is bounded`() {
        val loadTracker = LoadTracker(settings, halfLifeSeconds = 20.0)
        listOf(Double.NaN, -5.0, 0.0, Double.POSITIVE_INFINITY, 1e9).forEach { wrong ->
            loadTracker.recordCompleted("m-1", job(), wrong, 1.0)
            loadTracker.recordRunning("m-1", job(), wrong, 1.0)
        }
        assertEquals(0, loadTracker.sampleCount)
        repeat(4000) { loadTracker.recordCompleted("m-$it", job(), 10.0, 1.0) }
        assertTrue(loadTracker.sizeBytes < 1_000_000, "${loadTracker.sizeBytes} bytes at 4,000 machines")
        loadTracker.retainOnly(setOf("m-1"))
        assertTrue(loadTracker.sizeBytes < 1_000, "${loadTracker.sizeBytes} bytes")
    }

    @Test
    fun `the net gain of a move is the counted part of the gross gain minus all costs`() {
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

    /**
     * Runs short tasks, from which the run time of the job class is learned, beside long ones. From then on [slowCount] of the machines
     * that run both are slow. Returns these machines and all jobs.
     */
    private fun SimulatedCluster.startWithSlowMachines(
        slowness: Double,
        slowCount: Int,
    ): Pair<Set<String>, List<JobSpec>> {
        val short = submitAll((0 until 90).map { checkpointingJob(it, 6, runSeconds = 4.0) }, 15.0, everySeconds = 0.5)
        val long = submitAll((100 until 124).map { checkpointingJob(it, 2, runSeconds = 90.0) }, 15.1, everySeconds = 0.3)
        run(23.0)
        val machinesOf = { jobs: List<JobSpec> ->
            history.starts.filter { start -> jobs.any { start.task.startsWith(it.id) } }.mapTo(LinkedHashSet()) { it.machine }
        }
        val slowMachines = (machinesOf(long) intersect machinesOf(short)).take(slowCount)
        assertTrue(slowMachines.isNotEmpty())
        slowMachines.forEach { cloud.worker(it)?.slowness = slowness }
        return slowMachines.toSet() to short + long
    }

    private fun SimulatedCluster.movesWithReason(reason: MoveReason): List<Pair<String, String>> =
        state.keys(MoveBatch.PREFIX).flatMap { key ->
            state
                .value(
                    key,
                )?.path("jobs")
                ?.flatMap { it.path(2).toList() }
                .orEmpty()
                .filter { it.path(6).asText() == reason.wireName }
                .map {
                    it.path(2).asText() to it.path(3).asText()
                }
        }

    @Test
    fun `tasks are moved off hot machines to others, also when the leader changes`() {
        for (seed in 1..4) {
            val small = mapOf("small" to MachineTypeSpec(4.0, 16.0, 6))
            val cluster = clusterWithBalance(seed, BalanceSettings(), if (seed % 2 == 0) 5 else 3, failover = seed % 2 == 0, types = small)
            val (slowMachines, jobs) = cluster.startWithSlowMachines(slowness = 1.55, slowCount = 2)
            while (cluster.clock.now < 60.0 && cluster.movesWithReason(MoveReason.HOT).isEmpty()) cluster.run(cluster.clock.now + 0.5)
            val report = cluster.report()
            val hot =
                report
                    .path("hot_machines")
                    .fieldNames()
                    .asSequence()
                    .toSet()
            assertTrue(hot.isNotEmpty() && slowMachines.containsAll(hot), "$hot of $slowMachines\n${cluster.recentLog()}")
            val moves = cluster.movesWithReason(MoveReason.HOT)
            assertTrue(moves.isNotEmpty(), "nothing was moved: $report\n${cluster.recentLog()}")
            assertTrue(moves.all { (from, to) -> from in slowMachines && to !in slowMachines }, moves.toString())
            cluster.crash(cluster.leader() ?: "drover-0", 4.0)
            cluster.run(240.0)
            cluster.assertNoViolations(jobs, BalanceSettings())
            val places = cluster.history.starts.groupBy({ it.task }, { it.machine })
            assertTrue(
                places.values.all {
                    it.distinct().size == it.size
                },
                "moved back and forth: ${places.filterValues { it.distinct().size < it.size }}",
            )
        }
    }

    /** Guards the two limits of the measurement: it is unreliable if the whole fleet is slow, or if half of it is silent. */
    @Test
    fun `no task is moved if much of the fleet looks hot, and none to a partitioned zone`() {
        val cluster = clusterWithBalance(5, BalanceSettings())
        val (_, jobs) = cluster.startWithSlowMachines(slowness = 1.5, slowCount = 1)
        cluster.cloud.machineIds().forEach { cluster.cloud.worker(it)?.slowness = 1.5 }
        cluster.run(60.0)
        assertEquals(emptyList<Any>(), cluster.movesWithReason(MoveReason.HOT))
        assertEquals(0, cluster.report().path("hot_machines").size())
        cluster.run(240.0)
        cluster.assertNoViolations(jobs, BalanceSettings())

        val partitionedCluster = clusterWithBalance(6, BalanceSettings())
        val (_, others) = partitionedCluster.startWithSlowMachines(slowness = 1.55, slowCount = 2)
        partitionedCluster.run(36.0)
        val zone = partitionedCluster.cloud.machineIds().filter { partitionedCluster.cloud.worker(it)?.zone == "b" }
        zone.forEach { machine -> partitionedCluster.members.forEach { partitionedCluster.partition(machine, it, 30.0) } }
        partitionedCluster.run(60.0)
        assertTrue(
            partitionedCluster.movesWithReason(MoveReason.HOT).none {
                it.second in zone
            },
            partitionedCluster.movesWithReason(MoveReason.HOT).toString(),
        )
        partitionedCluster.run(260.0)
        partitionedCluster.assertNoViolations(others, BalanceSettings())
    }

    /** Guards the use of hot machines as a last resort: a hot mark must never keep a job waiting. */
    @Test
    fun `a job that fits nowhere else is placed on the hot machine in time`() {
        val cluster = clusterWithBalance(7, BalanceSettings(relieveHot = false))
        val (slowMachines, jobs) = cluster.startWithSlowMachines(slowness = 1.5, slowCount = 1)
        val other = cluster.cloud.machineIds().filter { it !in slowMachines }
        // All other machines are full for a long time.
        val full = cluster.submitAll((200 until 230).map { cluster.checkpointingJob(it, 12, runSeconds = 200.0) }, 37.0, everySeconds = 0.1)
        cluster.run(320.0)
        assertTrue(other.isNotEmpty())
        assertEquals(emptyList<String>(), cluster.invariants.violations, cluster.recentLog())
        assertTrue(cluster.history.starts.any { it.machine in slowMachines && it.at > 60.0 }, "the hot machine was never used again")
        cluster.run(700.0)
        cluster.assertNoViolations(jobs + full, BalanceSettings())
    }
}
