package burlridge.simulation

import burlridge.simulation.SimulatedCluster.CallFault
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Tests two failures at a time, each pair at its worst moment and with several seeds; docs/overlapping-failures.md lists them. */
internal class OverlappingFailuresTest {
    /** Runs [scenario] with each of [seeds]; checks that no invariant is violated and that every job that [scenario] returns finishes. */
    private fun runWithSeeds(
        seeds: IntRange,
        until: Double = 240.0,
        newCluster: (Int) -> SimulatedCluster = { SimulatedCluster(it) },
        scenario: SimulatedCluster.() -> List<String>,
    ) {
        for (seed in seeds) {
            val cluster = newCluster(seed)
            val jobs = cluster.scenario()
            cluster.sendInvalidSubmissions(until - 20.0)
            cluster.at(until - WATCHED_SECONDS) { cluster.checkWaitingJobsPeriodically() }
            // The failures have ended long before: every member is queried about every job, and at least one answers for each.
            jobs.forEachIndexed { i, id ->
                cluster.members.forEachIndexed {
                    m,
                    member,
                    ->
                    cluster.at(until - QUERIED_SECONDS + m * 5.0 + i * 0.01) { cluster.queryJobById(id, member) }
                }
            }
            cluster.run(until)
            assertEquals(emptyList<String>(), cluster.invariants.unanswered(until - QUERIED_SECONDS).filter { it in jobs }, "unanswered")
            val tail = "seed $seed\n" + cluster.log.takeLast(40).joinToString("\n")
            assertEquals(emptyList<String>(), cluster.invariants.violations, tail)
            assertEquals(emptyList<String>(), jobs.filterNot { cluster.invariants.finished(it) }, "not finished, $tail")
            assertTrue(cluster.invariants.starts > 0, "nothing ran")
        }
    }

    private fun SimulatedCluster.at(
        seconds: Double,
        action: () -> Unit,
    ) = clock.after(seconds, action)

    private fun SimulatedCluster.machines(): List<String> = cloud.machineIds()

    private fun SimulatedCluster.crashLeader(restartAfterSeconds: Double) {
        leader()?.let { crash(it, restartAfterSeconds) }
    }

    /** Submits jobs of both teams, one after another, so that the team with a limit is always at it; returns their ids. */
    private fun SimulatedCluster.submitJobsOfBothTeams(
        count: Int,
        runSeconds: Double,
        cancelAt: Double? = null,
    ): List<String> =
        (0 until count).map { i ->
            val team = if (i % 2 == 0) "crew-x" else "crew-y"
            val spec = job(i, 6, cpus = 4.0, runSeconds = runSeconds, team = team, jobClass = if (i % 3 == 0) "urgent" else "bulk")
            at(5.0 + i) { submit(spec) }
            if (cancelAt != null && i % 2 == 0) at(cancelAt + i * 0.3) { abort(spec) }
            spec.id
        }

    @Test
    fun `jobs finish when only workers and users still reach the leader`() =
        runWithSeeds(1..6) {
            val jobs = (0 until 8).map { job(it, 3, runSeconds = 60.0) }
            jobs.forEach { at(5.0) { submit(it) } }
            at(45.0) {
                val oldLeader = leader() ?: return@at
                partition(oldLeader, "state", 60.0)
                members.forEach { if (it != oldLeader) partition(oldLeader, it, 60.0) }
                jobs.forEachIndexed { i, spec ->
                    at(4.0 + i * 0.3) { abort(spec, members.first { it != oldLeader }) }
                    repeat(30) { at(4.0 + it * 0.5) { queryJob(spec, oldLeader) } }
                }
            }
            jobs.map { it.id }
        }

    @Test
    fun `jobs of two or three tasks that end far apart finish across changes of leader`() =
        runWithSeeds(1..4) {
            val jobs =
                (0 until 12).map { i ->
                    // The second and third task wait for capacity behind a long one.
                    val spec = job(i, 2 + i % 2, cpus = 4.0, runSeconds = 8.0 + i * 3, team = "crew-x")
                    at(5.0 + i) { submit(spec) }
                    spec.id
                }
            repeat(10) { i -> at(25.0 + 9 * i) { crashLeader(0.2 + i % 3) } }
            jobs
        }

    @Test
    fun `jobs finish when leaders change in quick succession, and then all members crash and one restarts within a second`() =
        runWithSeeds(1..5) {
            queryAllMembersOnChange = true
            val jobs = submitJobsOfBothTeams(14, 15.0, cancelAt = 40.0)
            repeat(6) { i -> at(30.0 + 6 * i) { crashLeader(0.15) } }
            at(70.0) { members.forEachIndexed { i, member -> crash(member, if (i == 0) 0.4 else 7.0) } }
            jobs
        }

    /** Guards reads against waiting behind writes that the write rate limit delays, which left queries unanswered. */
    @Test
    fun `four jobs of one task a second for two minutes finish, a quarter of them cancelled`() =
        runWithSeeds(1..2, until = 300.0, newCluster = { SimulatedCluster(it, writeRps = 25) }) {
            state.limitWrites(25.0)
            val jobs =
                (0 until 480).map { i ->
                    val spec = job(i, 1, runSeconds = 3.0 + i % 6)
                    at(10.0 + i * 0.25) { submit(spec, abortAfter = if (i % 4 == 0) 0.3 + i % 7 else null) }
                    spec.id
                }
            at(60.0) { crashLeader(1.0) }
            jobs
        }

    @Test
    fun `jobs finish when machines boot within two seconds while writes are late and leaders crash`() =
        runWithSeeds(1..8) {
            cloud.bootSeconds = { 0.2 + random.nextDouble() * 1.8 }
            lateSeconds = 12.0
            onCall = { _, call -> if (call.path == "/multi" && random.nextInt(4) == 0) CallFault.DELAYED else CallFault.NONE }
            val jobs = (0 until 10).map { job(it, 4, cpus = 4.0, runSeconds = 20.0) }
            jobs.forEachIndexed { i, spec -> at(5.0 + 6 * i) { submit(spec) } }
            repeat(8) { i -> at(7.5 + 6 * i + random.nextDouble() * 2) { crashLeader(0.5) } }
            at(90.0) { onCall = { _, _ -> CallFault.NONE } }
            jobs.map { it.id }
        }

    @Test
    fun `jobs finish when the leader changes ten times in two minutes, also during an outage`() =
        runWithSeeds(1..4) {
            val jobs = submitJobsOfBothTeams(12, 25.0, cancelAt = 50.0)
            repeat(10) { i -> at(20.0 + 12 * i) { crashLeader(1.0 + i % 4) } }
            listOf(45.0, 81.0).forEach { outage -> at(outage) { state.outage(14.0) } }
            repeat(4) { i -> at(48.0 + 3 * i) { crash(members.random(random), 0.5) } }
            jobs
        }

    @Test
    fun `jobs finish when the leader crashes while machines with long tasks are partitioned or receive nothing`() =
        runWithSeeds(1..8) {
            val jobs = (0 until 5).map { job(it, 6, cpus = 2.0, runSeconds = 90.0) }
            jobs.forEach { at(5.0) { submit(it) } }
            at(50.0) {
                machines().forEachIndexed { i, machine ->
                    if (i % 3 == 0) blockTrafficTo(machine, 20.0)
                    if (i % 3 == 1) members.forEach { partition(machine, it, 22.0) }
                }
                crashLeader(3.0)
            }
            at(60.0) { jobs.take(2).forEach { abort(it) } }
            jobs.map { it.id }
        }

    /**
     * Guards the lease of an agent epoch that began while no heartbeat arrived: tasks started in it were considered ended while they ran.
     */
    @Test
    fun `jobs finish when machines reach no controller while direct commands reach them`() =
        runWithSeeds(1..24, until = 260.0) {
            val jobs = (0 until 10).map { job(it, 8, cpus = 2.0, runSeconds = 17.0 + it) }
            jobs.forEachIndexed { i, spec -> at(5.0 + 8 * i) { submit(spec) } }
            repeat(4) { i ->
                at(30.0 + 20 * i) {
                    machines().forEachIndexed { m, name ->
                        if ((m + i) % 2 ==
                            0
                        ) {
                            blockTrafficFrom(name, 28.0 + random.nextDouble() * 30)
                        }
                    }
                }
            }
            jobs.map { it.id }
        }

    @Test
    fun `jobs finish when old heartbeats reach every member just as a new leader begins its term`() =
        runWithSeeds(1..8) {
            val jobs = submitJobsOfBothTeams(12, 14.0, cancelAt = 44.0)
            repeat(5) { i ->
                at(20.0 + 16 * i) { replayHeartbeatsToNextLeader(8.0) }
                // Since those heartbeats, tasks have ended, started and been removed, and agent epochs have ended.
                at(24.0 + 16 * i) { machines().filterIndexed { m, _ -> m % 4 == i % 4 }.forEach { cloud.worker(it)?.restart() } }
                at(29.0 + 16 * i) { crashLeader(1.0) }
            }
            jobs
        }

    @Test
    fun `jobs finish when late copies of heartbeats arrive after the next leader has acted`() =
        runWithSeeds(1..6) {
            duplicateHeartbeatAfter = { if (random.nextInt(3) == 0) 4.0 + random.nextDouble() * 40 else null }
            val jobs = submitJobsOfBothTeams(12, 12.0, cancelAt = 38.0)
            repeat(6) { i -> at(22.0 + 13 * i) { crashLeader(0.5 + i % 3) } }
            at(120.0) { duplicateHeartbeatAfter = { null } }
            jobs
        }

    @Test
    fun `urgent and bulk jobs beyond the capacity finish over slow links`() =
        runWithSeeds(1..3, until = 420.0) {
            peerDelaySeconds = { 0.05 + random.nextDouble() * 0.4 }
            val jobs =
                (0 until 40).map { i ->
                    val spec = job(i, 10, cpus = 4.0, runSeconds = 12.0, jobClass = if (i % 2 == 0) "urgent" else "bulk")
                    at(10.0 + i) { submit(spec) }
                    spec.id
                }
            jobs
        }

    @Test
    fun `jobs that must run in one zone finish when they lose machines`() =
        runWithSeeds(1..8) {
            val jobs =
                (0 until 10).map { i ->
                    val spec = job(i, 6, cpus = 2.0, runSeconds = 25.0, zone = if (i % 3 == 0) "b" else null, oneZone = i % 3 != 0)
                    at(5.0 + 4 * i) { submit(spec) }
                    spec.id
                }
            repeat(5) { i ->
                at(32.0 + 9 * i) { machines().filter { cloud.worker(it)?.zone == zones[i % 2] }.take(3).forEach { cloud.reclaim(it) } }
            }
            at(50.0) { crashLeader(2.0) }
            jobs
        }

    @Test
    fun `jobs finish when all controllers are down for longer than a lease`() =
        runWithSeeds(1..4) {
            val jobs = submitJobsOfBothTeams(10, 40.0, cancelAt = 47.0)
            at(50.0) { members.forEach { crash(it, leaseSeconds + 4.0 + random.nextDouble() * 5) } }
            jobs
        }

    @Test
    fun `jobs finish when a zone with workers and the leader is partitioned for longer than a lease`() =
        runWithSeeds(1..6) {
            partitionsHoldPackets = random.nextBoolean()
            val jobs = submitJobsOfBothTeams(10, 40.0, cancelAt = 56.0)
            at(50.0) {
                val partitionedLeader = leader() ?: return@at
                val partitionedMachines = machines().filter { cloud.worker(it)?.zone == "b" }
                val others = members.filter { it != partitionedLeader }
                (others + "state" + "cloud").forEach { partition(partitionedLeader, it, leaseSeconds + 12.0) }
                partitionedMachines.forEach { machine -> others.forEach { partition(machine, it, leaseSeconds + 12.0) } }
            }
            jobs
        }

    @Test
    fun `jobs finish when commands are late and machines hang for seconds`() =
        runWithSeeds(1..8) {
            lateSeconds = 20.0
            onCall =
                { _, call ->
                    if (call.path == "/do" &&
                        random.nextInt(4) == 0
                    ) {
                        listOf(CallFault.DELAYED, CallFault.RESPONSE_LOST).random(random)
                    } else {
                        CallFault.NONE
                    }
                }
            val jobs = submitJobsOfBothTeams(12, 14.0, cancelAt = 40.0)
            repeat(4) { i ->
                at(30.0 + 15 * i) {
                    machines().filterIndexed { m, _ -> m % 3 == i % 3 }.forEach {
                        cloud.worker(it)?.hang(6.0 + 4 * i)
                    }
                }
            }
            at(60.0) { crashLeader(1.0) }
            at(110.0) { onCall = { _, _ -> CallFault.NONE } }
            jobs
        }

    @Test
    fun `jobs at the team limit finish when they are cancelled on machines that are partitioned or hang, and the leader changes`() =
        runWithSeeds(1..10) {
            val jobs = submitJobsOfBothTeams(14, 35.0, cancelAt = 60.0)
            at(58.0) {
                machines().forEachIndexed { m, machine ->
                    if (m % 3 == 0) cloud.worker(machine)?.hang(18.0)
                    if (m % 3 == 1) members.forEach { partition(machine, it, 25.0) }
                }
            }
            at(62.0) { crashLeader(2.0) }
            at(75.0) { crashLeader(0.3) }
            jobs
        }

    @Test
    fun `jobs at the team limit finish when the leader changes, machines cannot be queried, and jobs are cancelled`() =
        runWithSeeds(1..10) {
            val jobs = submitJobsOfBothTeams(10, 30.0)
            at(50.0) {
                machines().filterIndexed { m, _ -> m % 2 == 0 }.forEach { blockTrafficTo(it, 20.0) }
                crashLeader(4.0)
            }
            jobs.indices.filter { it % 2 == 0 }.forEach { i -> at(52.0 + i) { abort(job(i, 6)) } }
            jobs
        }

    /**
     * Guards the stop commands that are sent as soon as a cancellation is requested: no task starts that the service could still have
     * prevented.
     */
    @Test
    fun `no task starts long after its cancellation when jobs are cancelled during changes of leader`() =
        runWithSeeds(1..6) {
            val jobs = (0 until 24).map { job(it, 4, runSeconds = 30.0) }
            jobs.forEachIndexed { i, spec ->
                at(30.0 + i) { submit(spec) }
                at(31.2 + i + (i % 5) * 0.15) { abort(spec) }
            }
            repeat(5) { i -> at(33.0 + 5 * i) { crashLeader(0.4) } }
            at(100.0) {
                val late = invariants.startsAfterCancellation.filter { it.second > reportSeconds * 2 }
                assertEquals(emptyList<Pair<String, Double>>(), late, "started long after their cancellation")
            }
            jobs.map { it.id }
        }

    /**
     * Guards the longer lease after a term in which the leader stalled: slow members deposed each other in turn, and each change of leader
     * caused a burst of load.
     */
    @Test
    fun `members that stall repeatedly elect at most ten leaders`() =
        runWithSeeds(1..2, until = 260.0) {
            val jobs = submitJobsOfBothTeams(10, 20.0)
            // Longer than the default lease, shorter than the next one, which is doubled.
            repeat(24) { i -> at(30.0 + 6 * i) { leader()?.let { freeze(it, 3.0) } } }
            at(200.0) {
                val terms = log.count { "leader state loaded" in it }
                assertTrue(terms in 1..10, "$terms terms")
            }
            jobs
        }

    private companion object {
        /** All jobs are queried in this many seconds at the end of a run. */
        const val QUERIED_SECONDS = 75.0

        /** Waiting jobs are watched in this many seconds at the end of a run. */
        const val WATCHED_SECONDS = 120.0
    }
}
