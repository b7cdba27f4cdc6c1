package burlridge.simulation

import burlridge.simulation.SimulatedCluster.CallFault
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Two troubles at a time, each meeting at its worst moment and with several seeds; docs/meetings.md lists them. */
internal class OverlappingFailuresTest {
    /** Plays [day] with each of [seeds]; every rule holds and every job that [day] names is over in the end. */
    private fun meet(
        seeds: IntRange,
        until: Double = 240.0,
        cluster: (Int) -> SimulatedCluster = { SimulatedCluster(it) },
        day: SimulatedCluster.() -> List<String>,
    ) {
        for (seed in seeds) {
            val played = cluster(seed)
            val jobs = played.day()
            played.sendInvalidSubmissions(until - 20.0)
            played.at(until - WATCHED_SECONDS) { played.checkWaitingJobsPeriodically() }
            // Troubles are long over: every member is asked about every job, and some member answers for each.
            jobs.forEachIndexed { i, id ->
                played.members.forEachIndexed {
                    m,
                    member,
                    ->
                    played.at(until - UNANSWERED_SECONDS + m * 5.0 + i * 0.01) { played.queryJobById(id, member) }
                }
            }
            played.run(until)
            assertEquals(emptyList<String>(), played.invariants.unanswered(until - UNANSWERED_SECONDS).filter { it in jobs }, "unanswered")
            val tail = "seed $seed\n" + played.log.takeLast(40).joinToString("\n")
            assertEquals(emptyList<String>(), played.invariants.violations, tail)
            assertEquals(emptyList<String>(), jobs.filterNot { played.invariants.finished(it) }, "not over, $tail")
            assertTrue(played.invariants.starts > 0, "nothing ran")
        }
    }

    private fun SimulatedCluster.at(
        seconds: Double,
        work: () -> Unit,
    ) = clock.after(seconds, work)

    private fun SimulatedCluster.machines(): List<String> = cloud.machineIds()

    private fun SimulatedCluster.crashLeader(backAfter: Double) {
        leader()?.let { crash(it, backAfter) }
    }

    /** Jobs for both teams, one after another, the limited one always at its limit. */
    private fun SimulatedCluster.crowd(
        count: Int,
        runSeconds: Double,
        cancelledAt: Double? = null,
    ): List<String> =
        (0 until count).map { i ->
            val team = if (i % 2 == 0) "crew-x" else "crew-y"
            val spec = job(i, 6, cpus = 4.0, runSeconds = runSeconds, team = team, jobClass = if (i % 3 == 0) "urgent" else "bulk")
            at(5.0 + i) { submit(spec) }
            if (cancelledAt != null && i % 2 == 0) at(cancelledAt + i * 0.3) { abort(spec) }
            spec.id
        }

    @Test
    fun `a leader cut from the state service and the other members, which workers and users still reach`() =
        meet(1..6) {
            val jobs = (0 until 8).map { job(it, 3, runSeconds = 60.0) }
            jobs.forEach { at(5.0) { submit(it) } }
            at(45.0) {
                val old = leader() ?: return@at
                cut(old, "state", 60.0)
                members.forEach { if (it != old) cut(old, it, 60.0) }
                jobs.forEachIndexed { i, spec ->
                    at(4.0 + i * 0.3) { abort(spec, members.first { it != old }) }
                    repeat(30) { at(4.0 + it * 0.5) { queryJob(spec, old) } }
                }
            }
            jobs.map { it.id }
        }

    @Test
    fun `jobs of two or three tasks that end far apart across changes of leader`() =
        meet(1..4) {
            val jobs =
                (0 until 12).map { i ->
                    // The second and third task wait for room behind a long one.
                    val spec = job(i, 2 + i % 2, cpus = 4.0, runSeconds = 8.0 + i * 3, team = "crew-x")
                    at(5.0 + i) { submit(spec) }
                    spec.id
                }
            repeat(10) { i -> at(25.0 + 9 * i) { crashLeader(0.2 + i % 3) } }
            jobs
        }

    @Test
    fun `members hand over and back, all end, and one returns within a second`() =
        meet(1..5) {
            queryAllMembersOnChange = true
            val jobs = crowd(14, 15.0, cancelledAt = 40.0)
            repeat(6) { i -> at(30.0 + 6 * i) { crashLeader(0.15) } }
            at(70.0) { members.forEachIndexed { i, member -> crash(member, if (i == 0) 0.4 else 7.0) } }
            jobs
        }

    /** Guards the reads: they waited behind writes that the budget held up, and polls went unanswered. */
    @Test
    fun `one-task jobs four a second for minutes, a quarter of them cancelled`() =
        meet(1..2, until = 300.0, cluster = { SimulatedCluster(it, writeRps = 25) }) {
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
    fun `machines up within two seconds and used at once, while writes lag and the leader ends`() =
        meet(1..8) {
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
    fun `leaders change ten times in two minutes, also inside an outage`() =
        meet(1..4) {
            val jobs = crowd(12, 25.0, cancelledAt = 50.0)
            repeat(10) { i -> at(20.0 + 12 * i) { crashLeader(1.0 + i % 4) } }
            listOf(45.0, 81.0).forEach { outage -> at(outage) { state.outage(14.0) } }
            repeat(4) { i -> at(48.0 + 3 * i) { crash(members.random(random), 0.5) } }
            jobs
        }

    @Test
    fun `a leader ends while machines with long tasks cannot be reached, or do not hear the next one`() =
        meet(1..8) {
            val jobs = (0 until 5).map { job(it, 6, cpus = 2.0, runSeconds = 90.0) }
            jobs.forEach { at(5.0) { submit(it) } }
            at(50.0) {
                machines().forEachIndexed { i, machine ->
                    if (i % 3 == 0) blockTrafficTo(machine, 20.0)
                    if (i % 3 == 1) members.forEach { cut(machine, it, 22.0) }
                }
                crashLeader(3.0)
            }
            at(60.0) { jobs.take(2).forEach { abort(it) } }
            jobs.map { it.id }
        }

    /** Guards the lease of a session that began unheard: what was started in it was taken for gone while it ran. */
    @Test
    fun `machines that reach no controller, while direct commands reach them`() =
        meet(1..24, until = 260.0) {
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
    fun `an old report reaches every member just as a leader begins`() =
        meet(1..8) {
            val jobs = crowd(12, 14.0, cancelledAt = 44.0)
            repeat(5) { i ->
                at(20.0 + 16 * i) { replayReportsToNextLeader(8.0) }
                // Since those reports tasks have ended, begun and been forgotten, and sessions were lost.
                at(24.0 + 16 * i) { machines().filterIndexed { m, _ -> m % 4 == i % 4 }.forEach { cloud.worker(it)?.restart() } }
                at(29.0 + 16 * i) { crashLeader(1.0) }
            }
            jobs
        }

    @Test
    fun `a report is held back until the next leader has acted`() =
        meet(1..6) {
            duplicateReportAfter = { if (random.nextInt(3) == 0) 4.0 + random.nextDouble() * 40 else null }
            val jobs = crowd(12, 12.0, cancelledAt = 38.0)
            repeat(6) { i -> at(22.0 + 13 * i) { crashLeader(0.5 + i % 3) } }
            at(120.0) { duplicateReportAfter = { null } }
            jobs
        }

    @Test
    fun `more work than room, urgent and not, over slow links`() =
        meet(1..3, until = 420.0) {
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
    fun `jobs bound to one zone, arrays too, lose machines`() =
        meet(1..8) {
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
    fun `all controllers are away for longer than a lease`() =
        meet(1..4) {
            val jobs = crowd(10, 40.0, cancelledAt = 47.0)
            at(50.0) { members.forEach { crash(it, leaseSeconds + 4.0 + random.nextDouble() * 5) } }
            jobs
        }

    @Test
    fun `a zone with workers and a controller is cut off for longer than a lease`() =
        meet(1..6) {
            cutsHoldPackets = random.nextBoolean()
            val jobs = crowd(10, 40.0, cancelledAt = 56.0)
            at(50.0) {
                val inside = leader() ?: return@at
                val apart = machines().filter { cloud.worker(it)?.zone == "b" }
                val others = members.filter { it != inside }
                (others + "state" + "cloud").forEach { cut(inside, it, leaseSeconds + 12.0) }
                apart.forEach { machine -> others.forEach { cut(machine, it, leaseSeconds + 12.0) } }
            }
            jobs
        }

    @Test
    fun `commands are held up for seconds, and the machine then goes on`() =
        meet(1..8) {
            lateSeconds = 20.0
            onCall =
                { _, call ->
                    if (call.path == "/do" &&
                        random.nextInt(4) == 0
                    ) {
                        listOf(CallFault.DELAYED, CallFault.ANSWER_LOST).random(random)
                    } else {
                        CallFault.NONE
                    }
                }
            val jobs = crowd(12, 14.0, cancelledAt = 40.0)
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
    fun `every team at its limit, cancellations on machines cut off or hung, and the leader changes`() =
        meet(1..10) {
            val jobs = crowd(14, 35.0, cancelledAt = 60.0)
            at(58.0) {
                machines().forEachIndexed { m, machine ->
                    if (m % 3 == 0) cloud.worker(machine)?.hang(18.0)
                    if (m % 3 == 1) members.forEach { cut(machine, it, 25.0) }
                }
            }
            at(62.0) { crashLeader(2.0) }
            at(75.0) { crashLeader(0.3) }
            jobs
        }

    @Test
    fun `a team at its limit when the leader changes, machines that cannot be asked, and a cancellation`() =
        meet(1..10) {
            val jobs = crowd(10, 30.0)
            at(50.0) {
                machines().filterIndexed { m, _ -> m % 2 == 0 }.forEach { blockTrafficTo(it, 20.0) }
                crashLeader(4.0)
            }
            jobs.indices.filter { it % 2 == 0 }.forEach { i -> at(52.0 + i) { abort(job(i, 6)) } }
            jobs
        }

    /** Guards the stops that leave with the wish to cancel: nothing begins that the service could still have held back. */
    @Test
    fun `jobs are cancelled in the seconds in which work changes hands`() =
        meet(1..6) {
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

    /** Guards the longer lease after a term in which its leader stood still: slow members took turns, each change a storm of its own. */
    @Test
    fun `leaders that stand still again and again do not take turns for long`() =
        meet(1..2, until = 260.0) {
            val jobs = crowd(10, 20.0)
            // Longer than the usual lease, shorter than the next.
            repeat(24) { i -> at(30.0 + 6 * i) { leader()?.let { freeze(it, 3.0) } } }
            at(200.0) {
                val terms = log.count { "leader state loaded" in it }
                assertTrue(terms in 1..10, "$terms terms")
            }
            jobs
        }

    private companion object {
        const val UNANSWERED_SECONDS = 75.0
        const val WATCHED_SECONDS = 120.0
    }
}
