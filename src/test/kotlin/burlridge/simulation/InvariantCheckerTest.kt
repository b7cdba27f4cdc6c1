package burlridge.simulation

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Checks that the invariant checker detects a planted violation of each rule. */
internal class InvariantCheckerTest {
    private val cluster = SimulatedCluster(1)
    private val invariants = InvariantChecker(cluster.clock, 54.0, mapOf("crew-x" to 4.0))
    private val spec = cluster.job(1, 2, cpus = 4.0, team = "crew-x")
    private val workerA = Worker(cluster, "m-1", "small", "a", false, "10.1.0.1:1")
    private val workerB = Worker(cluster, "m-2", "small", "b", true, "10.1.0.2:1")

    private fun violations(): List<String> = invariants.violations.map { it.substringBefore(' ') }

    private fun accept() {
        invariants.submitted(spec)
        invariants.answered(spec.id, 201, "queued", true)
    }

    @Test
    fun `a task on two machines at once is reported`() {
        invariants.submitted(cluster.job(1, 2))
        invariants.started("j-000001/0", workerA)
        invariants.started("j-000001/0", workerB)
        assertEquals(listOf("ran_twice"), violations())
    }

    @Test
    fun `a team above its CPU quota is reported`() {
        accept()
        invariants.started("j-000001/0", workerA)
        invariants.started("j-000001/1", workerB)
        assertEquals(listOf("quota"), violations())
    }

    @Test
    fun `a task in a wrong zone, on a spot machine, apart from its job or in an overfull zone is reported`() {
        invariants.submitted(cluster.job(2, 4, zone = "b"))
        invariants.submitted(cluster.job(3, 4, spot = false))
        invariants.submitted(cluster.job(4, 4, oneZone = true))
        invariants.submitted(cluster.job(5, 2, spread = true))
        invariants.started("j-000002/0", workerA)
        invariants.started("j-000003/0", workerB)
        invariants.started("j-000004/0", workerA)
        invariants.started("j-000004/1", workerB)
        invariants.started("j-000005/0", workerA)
        invariants.started("j-000005/1", workerA)
        assertEquals(List(4) { "wrong_place" }, violations())
    }

    @Test
    fun `a task that runs longer than allowed after the cancellation of its job is reported`() {
        accept()
        invariants.started("j-000001/0", workerA)
        invariants.cancellationRequested(spec.id)
        invariants.answered(spec.id, 200, "withdrawn", false)
        cluster.clock.runUntil(53.0)
        invariants.checkCancelledTasks()
        assertEquals(emptyList<String>(), violations())
        cluster.clock.runUntil(55.0)
        invariants.checkCancelledTasks()
        assertEquals(listOf("ran_cancelled"), violations())
    }

    @Test
    fun `a team above its GPU quota is reported`() {
        val gpuInvariants = InvariantChecker(cluster.clock, 54.0, emptyMap(), mapOf("crew-y" to 1.0))
        gpuInvariants.submitted(cluster.job(1, 2).let { it.copy(taskResources = it.taskResources.copy(gpus = 1.0)) })
        gpuInvariants.started("j-000001/0", workerA)
        assertEquals(emptyList<String>(), gpuInvariants.violations)
        gpuInvariants.started("j-000001/1", workerB)
        assertEquals(listOf("quota"), gpuInvariants.violations.map { it.substringBefore(' ') })
    }

    @Test
    fun `an accepted invalid submission, a start after cancellation and an unanswered job are reported`() {
        accept()
        invariants.invalidSubmissionAnswered("j-000008", 422)
        invariants.invalidSubmissionAnswered("j-000009", 201)
        assertEquals(listOf("accepted_wrong"), violations())
        invariants.cancellationRequested(spec.id)
        invariants.answered(spec.id, 200, "withdrawn", false)
        cluster.clock.runUntil(3.0)
        invariants.started("j-000001/0", workerA)
        assertEquals(listOf("j-000001/0" to 3.0), invariants.startsAfterCancellation)
        assertEquals(emptyList<String>(), invariants.unanswered(0.0))
        assertEquals(listOf(spec.id), invariants.unanswered(1.0))
    }

    @Test
    fun `a job that waits for more than 90 s although there is room is reported`() {
        invariants.submitted(cluster.job(2, 1))
        invariants.answered("j-000002", 201, "queued", true)
        invariants.checkWaitingJobs { true }
        cluster.clock.runUntil(89.0)
        invariants.checkWaitingJobs { true }
        assertEquals(emptyList<String>(), violations())
        cluster.clock.runUntil(91.0)
        invariants.checkWaitingJobs { true }
        assertEquals(listOf("left_waiting"), violations())
    }

    @Test
    fun `an outdated response is a violation only if its request came after the newer response`() {
        accept()
        invariants.started("j-000001/0", workerA)
        invariants.cancellationRequested(spec.id)
        cluster.clock.runUntil(1.0)
        invariants.answered(spec.id, 200, "withdrawn", false, askedAt = 0.5)
        invariants.answered(spec.id, 200, "running", false, askedAt = 0.9)
        assertEquals(emptyList<String>(), violations())
        invariants.answered(spec.id, 200, "running", false, askedAt = 1.0)
        invariants.answered(spec.id, 201, "queued", true, askedAt = 0.9)
        assertEquals(listOf("went_back", "went_back"), violations())
    }

    @Test
    fun `a state that lags by more than three seconds is reported`() {
        accept()
        invariants.answered(spec.id, 200, "running", false)
        invariants.started("j-000001/0", workerA)
        cluster.clock.runUntil(2.9)
        invariants.answered(spec.id, 200, "queued", false)
        assertEquals(listOf("state_lag"), violations())
        cluster.clock.runUntil(3.1)
        invariants.answered(spec.id, 200, "running", false)
        invariants.answered(spec.id, 200, "queued", true)
        assertEquals(listOf("state_lag", "state_lag"), violations())
        invariants.ended("j-000001/0", workerA, false)
        cluster.clock.runUntil(6.0)
        invariants.answered(spec.id, 200, "running", false)
        assertEquals(2, violations().size)
        cluster.clock.runUntil(6.2)
        invariants.answered(spec.id, 200, "running", false)
        invariants.answered(spec.id, 200, "queued", false)
        assertEquals(3, violations().size)
    }

    @Test
    fun `forgotten, invented, incomplete and reverted jobs are reported`() {
        accept()
        invariants.started("j-000001/0", workerA)
        invariants.answered(spec.id, 404, null, false)
        invariants.answered(spec.id, 422, null, true)
        invariants.answered("j-000009", 200, "queued", false)
        invariants.answered(spec.id, 200, "done", false)
        invariants.answered(spec.id, 200, "running", false)
        assertEquals(listOf("forgotten", "forgotten", "invented", "not_done", "went_back"), violations())
    }

    @Test
    fun `a leader that counts an attempt which has ended as used by its team, machine and zone is reported`() {
        val job = cluster.job(2, 1, runSeconds = 60.0)
        cluster.clock.after(5.0) { cluster.submit(job) }
        cluster.run(30.0)
        assertEquals(emptyList<String>(), cluster.invariants.violations)
        val registry = cluster.registry(cluster.leader().orEmpty()) ?: error("no leader")
        registry.allocations.notEnded
            .single()
            .end(isLost = true)
        invariants.checkAllocations(AllocationAudit(registry))
        val reported = invariants.violations.map { it.substringAfter(": ").substringBefore(' ') }
        assertEquals(List(4) { "miscounted" }, violations())
        assertEquals(listOf("j-000002/0", "team", "machine", "zones"), reported)
    }
}
