package burlridge.simulation

import burlridge.simulation.SimulatedCluster.CallFault
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/**
 * Guards against late copies of start commands that had been executed and answered before. A machine that has come back as a new worker
 * accepts any token; a task that it had lost ran elsewhere already when the copy started it once more. More schedules on demand:
 * `mvn test -Dtest=LateStartTest -Dsimulation.lateStarts=2000`.
 */
internal class LateStartTest {
    @Test
    fun `no copy of a start runs a task twice or runs a cancelled task, whatever comes back`() {
        val schedules = System.getProperty("simulation.lateStarts")?.toInt() ?: DEFAULT_SCHEDULES
        val failures = (1..schedules).mapNotNull { seed -> runSchedule(seed).firstOrNull()?.let { "seed $seed: $it" } }
        assertEquals(emptyList<String>(), failures.take(MAX_FAILURES_SHOWN), "${failures.size} of $schedules schedules")
    }

    private fun runSchedule(seed: Int): List<String> {
        val seededRandom = Random(seed)
        val cluster =
            SimulatedCluster(seed, types = mapOf("small" to MachineTypeSpec(4.0, 16.0, 3), "big" to MachineTypeSpec(16.0, 64.0, 2)))
        val jobs = (0 until JOBS).map { cluster.job(it, 1 + seededRandom.nextInt(4), runSeconds = 3.0 + seededRandom.nextDouble() * 25) }
        jobs.forEachIndexed { i, job ->
            val abortAfter = if (seededRandom.nextInt(3) == 0) 5 + seededRandom.nextDouble() * 30 else null
            cluster.clock.after(5.0 + i * 3.0) { cluster.submit(job, abortAfter) }
        }
        cluster.duplicateStarts(seededRandom)
        // A machine comes back at most once in the time in which a copy may arrive: a second loss of its memory cannot be told from a copy.
        repeat(ROUNDS) { round ->
            cluster.clock.after(20.0 + round * MAX_COPY_DELAY_SECONDS) {
                cluster.cloud.machineIds().forEach { id ->
                    if (seededRandom.nextInt(3) > 0) {
                        cluster.clock.after(seededRandom.nextDouble() * MACHINES_BACK_WITHIN_SECONDS) {
                            cluster.cloud.worker(id)?.comeBackAsNew()
                        }
                    }
                }
            }
        }
        repeat(2) { cluster.clock.after(20.0 + seededRandom.nextDouble() * 80) { cluster.leader()?.let { cluster.crash(it, 0.5) } } }
        cluster.run(END_SECONDS)
        val unfinished = jobs.filterNot { cluster.invariants.finished(it.id) }.map { "not_finished: ${it.id}" }
        return cluster.invariants.violations + unfinished
    }

    /** A worker that has removed a task which is done takes a copy of its start for a new one, also if the rest of the job was cancelled. */
    @Test
    fun `no copy of a start runs a task that was done and removed before the rest of its job was cancelled`() {
        for (seed in 1..SEEDS_OF_CANCELLATIONS) {
            val cluster = SimulatedCluster(seed)
            val job = cluster.job(1, 18, cpus = 4.0, runSeconds = 4.0)
            cluster.duplicateStarts(Random(seed))
            cluster.duplicateDelaySeconds = { 25.0 + cluster.random.nextDouble() * 15 }
            // The tasks on the first machine wait for their image, so that the job is still active when all others have been removed.
            cluster.fetchTime = { worker, _ -> if (worker.id == "m-000001") FIRST_FETCH_SECONDS else FETCH_SECONDS }
            cluster.clock.after(5.0) { cluster.submit(job, abortAfter = 40.0) }
            cluster.run(100.0)
            assertEquals(emptyList<String>(), cluster.invariants.violations)
            assertTrue((0 until 18).any { cluster.invariants.hasCompleted("${job.id}/$it") }, "no task was done before the cancellation")
            assertEquals(emptyList<Pair<String, Double>>(), cluster.invariants.startsAfterCancellation, "seed $seed")
        }
    }

    /** Half of the requests with starts arrive once more, [MIN_COPY_DELAY_SECONDS] to [MAX_COPY_DELAY_SECONDS] later. */
    private fun SimulatedCluster.duplicateStarts(seededRandom: Random) {
        duplicateDelaySeconds = { MIN_COPY_DELAY_SECONDS + seededRandom.nextDouble() * (MAX_COPY_DELAY_SECONDS - MIN_COPY_DELAY_SECONDS) }
        onCall = { _, call ->
            val isStart = call.path == "/do" && "\"run\"" in call.body.orEmpty()
            if (isStart && seededRandom.nextBoolean()) CallFault.DUPLICATED else CallFault.NONE
        }
    }

    private companion object {
        const val DEFAULT_SCHEDULES = 200
        const val MAX_FAILURES_SHOWN = 5
        const val SEEDS_OF_CANCELLATIONS = 20
        const val FIRST_FETCH_SECONDS = 90.0
        const val FETCH_SECONDS = 0.2
        const val JOBS = 24
        const val ROUNDS = 3
        const val MIN_COPY_DELAY_SECONDS = 12.0
        const val MAX_COPY_DELAY_SECONDS = 30.0
        const val MACHINES_BACK_WITHIN_SECONDS = 10.0
        const val END_SECONDS = 220.0
    }
}
