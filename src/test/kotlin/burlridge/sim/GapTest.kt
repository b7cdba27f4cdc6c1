package burlridge.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * The state service refuses the leader alone, another member is elected and confirms cancellations, and then it is down for all, for
 * longer than a cancellation has, while workers go on reporting to the old leader.
 */
internal class GapTest {
    private class Outcome(
        val broken: List<String>,
        val confirmedByNext: Int,
        val log: List<String>,
    )

    /** [distanceSeconds] lie between the refusal and the outage. The old leader and the next one do not hear each other. */
    private fun gap(
        seed: Int,
        times: Times,
        distanceSeconds: Double,
    ): Outcome {
        val world = World(seed, times = times)
        val jobs = (0 until 12).map { world.job(it, 2, runSeconds = 200.0) }
        jobs.forEach { world.clock.after(5.0) { world.submit(it) } }
        val start = 60.0
        var old: String? = null
        var confirmed = 0
        world.clock.after(start) {
            val leader = world.leader() ?: return@after
            old = leader
            world.refuse(leader, distanceSeconds + 14.0)
            // Only what a third member says tells the old leader of the next one.
            world.onLeader = { next -> if (next != leader) world.cut(leader, next, 200.0) }
            world.onCancelled = { if (world.leader() != leader && world.leader() != null) confirmed++ }
        }
        repeat(60) { i ->
            val job = jobs[i % jobs.size]
            world.clock.after(start + i * 0.12) {
                val member = world.members.first { it != old }
                world.abort(job, member)
            }
        }
        world.clock.after(start + distanceSeconds) { world.state.outage(times.cancelSeconds + 12.0) }
        world.run(start + distanceSeconds + times.cancelSeconds * 2 + 40.0)
        return Outcome(world.rules.broken, confirmed, world.log)
    }

    private fun sweep(times: Times) {
        var confirmed = 0
        var distance = 0.5
        while (distance <= 6.0) {
            val outcome = gap((distance * 100).toInt(), times, distance)
            assertEquals(emptyList<String>(), outcome.broken, "$distance s apart\n${outcome.log.takeLast(40).joinToString("\n")}")
            confirmed += outcome.confirmedByNext
            distance += 0.25
        }
        assertTrue(confirmed > 0, "no cancellation was confirmed by the next leader")
    }

    /** Guards the bound on a leader's answers after its last good renewal: with it and a lease a task is gone in time. */
    @Test
    fun `what was cancelled through the next leader is gone in time, with a lease of 24 s`() = sweep(Times(3.0, 24.0, 54.0))

    @Test
    fun `what was cancelled through the next leader is gone in time, with a lease of 36 s`() = sweep(Times(6.0, 36.0, 66.0))

    /**
     * Guards the bound by itself: the old leader hears a member that knows no better, and the next one reaches neither of them nor
     * any machine, so that nothing but the old leader's own clock ends what it keeps alive.
     */
    private fun keptAlone(times: Times) {
        val world = World(9, times = times)
        val jobs = (0 until 6).map { world.job(it, 2, runSeconds = 300.0) }
        jobs.forEach { world.clock.after(5.0) { world.submit(it) } }
        var confirmed = 0
        world.clock.after(60.0) {
            val old = world.leader() ?: return@after
            val (next, third) = world.members.filter { it != old }
            listOf(old, third).forEach {
                world.refuse(it, 200.0)
                world.cut(it, next, 200.0)
            }
            world.cloud.names().forEach { world.cut(it, next, 200.0) }
            world.onCancelled = { confirmed++ }
            world.clock.after(times.reportSeconds + 1.0) { jobs.forEach { world.abort(it, next) } }
            world.clock.after(times.reportSeconds + 3.0) { world.state.outage(times.cancelSeconds + 20.0) }
        }
        world.run(60.0 + times.cancelSeconds * 2 + 30.0)
        assertEquals(jobs.size, confirmed, "not confirmed by the next leader")
        assertEquals(emptyList<String>(), world.rules.broken, world.log.takeLast(30).joinToString("\n"))
    }

    @Test
    fun `what an old leader keeps alive by itself is gone in time, with a lease of 24 s`() = keptAlone(Times(3.0, 24.0, 54.0))

    @Test
    fun `what an old leader keeps alive by itself is gone in time, with a lease of 36 s`() = keptAlone(Times(6.0, 36.0, 66.0))

    /**
     * Guards the silence of a leader that has not read the rows: its answers, without a halt, kept alive what the leader before it had
     * cancelled, for as long as the state service renewed its lease and showed no rows.
     */
    @Test
    fun `a leader that cannot read the rows keeps no cancelled task alive`() {
        val world = World(5)
        val jobs = (0 until 6).map { world.job(it, 2, runSeconds = 250.0) }
        jobs.forEach { world.clock.after(5.0) { world.submit(it) } }
        world.clock.after(60.0) {
            world.cloud.names().forEach { machine -> world.members.forEach { world.cut(machine, it, 16.0) } }
            jobs.forEach { world.abort(it) }
        }
        world.clock.after(70.0) {
            world.leader()?.let { world.crash(it, 2.0) }
            world.meddle = { _, call ->
                val unread = call.path.startsWith("/store?") && world.clock.now < 140.0
                if (unread) World.Fate.ANSWER_LOST else World.Fate.FINE
            }
        }
        world.run(200.0)
        assertEquals(emptyList<String>(), world.rules.broken)
        assertTrue(jobs.all { world.rules.finished(it.id) }, "nothing was cancelled")
    }

    /** Guards the stops that an answering leader still sends: a machine that reaches nobody hears of a cancellation only so. */
    @Test
    fun `a cancelled task on a mute machine is stopped by command though the state service is down`() {
        val world = World(6)
        val job = world.job(1, 4, runSeconds = 250.0)
        world.clock.after(5.0) { world.submit(job) }
        world.clock.after(60.0) {
            world.cloud.names().forEach {
                world.mute(it, 40.0)
                // So that the first stops are lost, and the leader holds its row no more when they can be repeated.
                world.deafen(it, 6.0)
            }
            world.abort(job)
            world.clock.after(0.006) { world.state.outage(30.0) }
        }
        world.run(72.0)
        assertTrue(world.rules.finished(job.id), "not cancelled")
        val left = world.cloud.names().filter { name -> (0 until 4).any { world.cloud.worker(name)?.has("${job.id}/$it") == true } }
        assertEquals(emptyList<String>(), left)
    }

    /** Leaves [old] and [third] without the state service and out of [next]'s hearing, which is elected. */
    private fun World.leaveBehind(
        old: String,
        third: String,
        next: String,
    ) {
        listOf(old, third).forEach {
            refuse(it, 200.0)
            cut(it, next, 200.0)
        }
    }

    /**
     * Guards the wait for the answers of earlier leaders: machines that only the old leader hears are kept alive by it beyond a lease
     * after the election, and what runs on them is not gone yet.
     */
    @Test
    fun `what an old leader may still keep alive is not started elsewhere`() {
        for (seed in 1..3) {
            // All machines are kept, so that there is room elsewhere.
            val world = World(seed, guaranteed = 0.0)
            val jobs = (0 until 4).map { world.job(it, 2, runSeconds = 300.0) }
            jobs.forEach { world.clock.after(5.0) { world.submit(it) } }
            var next: String? = null
            world.clock.after(60.0) {
                val old = world.leader() ?: return@after
                val (successor, third) = world.members.filter { it != old }
                next = successor
                world.leaveBehind(old, third, successor)
                val busy =
                    world.cloud.names().filter { name ->
                        jobs.any { job -> (0 until 2).any { world.cloud.worker(name)!!.has("${job.id}/$it") } }
                    }
                assertTrue(busy.isNotEmpty(), "nothing runs")
                busy.forEach { world.cut(it, successor, 200.0) }
                // A return would settle at once what runs there.
                world.cloud.down = true
            }
            world.run(160.0)
            assertEquals(next, world.leader())
            assertEquals(emptyList<String>(), world.rules.broken, "seed $seed\n" + world.log.takeLast(30).joinToString("\n"))
        }
    }

    /** Guards the news of a later term from a third member: the old leader hears neither the next one nor the state service. */
    @Test
    fun `a leader that hears of the next one from a third member gives way at once`() {
        val world = World(4)
        val job = world.job(1, 4, runSeconds = 200.0)
        world.clock.after(5.0) { world.submit(job) }
        world.clock.after(60.0) {
            val old = world.leader() ?: return@after
            val next = world.members.first { it != old }
            world.refuse(old, 200.0)
            world.cut(old, next, 200.0)
            // A worker that hears the next one would tell as well.
            world.cloud.names().forEach { world.cut(it, next, 200.0) }
            // So that it is this one that is elected.
            world.refuse(world.members.first { it != old && it != next }, 5.0)
        }
        world.run(78.0)
        assertTrue(world.leader() != null)
        val behind = world.cloud.names().filter { world.cloud.worker(it)!!.term == 1L }
        assertEquals(emptyList<String>(), behind, world.log.takeLast(20).joinToString("\n"))
        assertEquals(emptyList<String>(), world.rules.broken)
    }
}
