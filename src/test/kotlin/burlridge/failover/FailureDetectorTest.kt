package burlridge.failover

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

internal class FailureDetectorTest {
    private val detector = FailureDetector(listOf("one", "two"), INTERVAL_SECONDS, suspectLevel = 4.0)
    private var now = 0.0
    private var sequence = 0L

    /** Advances time in steps of 0.1 s; the members [alive] send a heartbeat every [intervalSeconds]. Returns all liveness changes. */
    private fun runFor(
        seconds: Double,
        alive: List<String>,
        intervalSeconds: Double = INTERVAL_SECONDS,
    ): List<LivenessChange> {
        val changes = ArrayList<LivenessChange>()
        val until = now + seconds
        var nextSendAt = now
        while (now < until - 1e-9) {
            if (now >= nextSendAt - 1e-9) {
                sequence++
                alive.forEach { assertTrue(detector.recordHeartbeat(it, 1, sequence, now)) }
                nextSendAt += intervalSeconds
            }
            changes += detector.tick(now)
            now += 0.1
        }
        return changes
    }

    @Test
    fun `a silent member is suspected, and is alive again after a heartbeat`() {
        assertEquals(emptyList<LivenessChange>(), runFor(20.0, listOf("one", "two")))
        val changes = runFor(5.0, listOf("two"))
        assertEquals(listOf("one" to Liveness.SUSPECTED), changes.map { it.member to it.current })
        assertTrue(detector.view("one", now)!!.suspicionLevel >= 4.0)
        assertTrue(detector.isAlive("two"))
        assertEquals(listOf(Liveness.ALIVE), runFor(1.0, listOf("one", "two")).map { it.current })
        assertEquals(1, detector.falseSuspicions)
    }

    /** Guards the adaptation to the usual interval: a silence that is usual on a slow link raises a suspicion only on a fast one. */
    @Test
    fun `the silence that raises a suspicion depends on the usual interval`() {
        runFor(60.0, listOf("one"), intervalSeconds = 2.0)
        assertEquals(emptyList<LivenessChange>(), runFor(2.0, emptyList()).filter { it.member == "one" })
        val fastLinkDetector = FailureDetector(listOf("one"), INTERVAL_SECONDS, 4.0)
        repeat(100) { fastLinkDetector.recordHeartbeat("one", 1, it.toLong(), it * INTERVAL_SECONDS) }
        var time = 99 * INTERVAL_SECONDS
        while (fastLinkDetector.tick(time).isEmpty()) time += 0.1
        assertTrue(time - 99 * INTERVAL_SECONDS < 2.0, "suspected only after ${time - 99 * INTERVAL_SECONDS} s")
    }

    /** Guards the detection of own pauses: without it, a process that was paused suspects all other members when it resumes. */
    @Test
    fun `a member that was itself paused suspects no other until the others have had time to send`() {
        runFor(20.0, listOf("one", "two"))
        now += 60.0
        assertEquals(emptyList<LivenessChange>(), detector.tick(now))
        assertTrue(detector.isRecoveringFromPause(now))
        assertEquals(emptyList<LivenessChange>(), runFor(5.0, listOf("one", "two")))
        assertEquals(1, detector.ownPauses)
        assertFalse(detector.isRecoveringFromPause(now))
        // The silence of a member that has really stopped counts from the end of the pause.
        now += 60.0
        assertEquals(listOf("one"), runFor(10.0, listOf("two")).map { it.member })
    }

    @Test
    fun `duplicate and reordered heartbeats and those of unknown members are refused`() {
        assertTrue(detector.recordHeartbeat("one", 5, 10, 1.0))
        assertFalse(detector.recordHeartbeat("one", 5, 10, 1.1))
        assertFalse(detector.recordHeartbeat("one", 5, 9, 1.1))
        assertFalse(detector.recordHeartbeat("one", 4, 99, 1.1))
        assertFalse(detector.recordHeartbeat("stranger", 5, 11, 1.1))
        assertTrue(detector.recordHeartbeat("one", 6, 1, 1.2), "a restarted member begins a new sequence")
        assertEquals(null, detector.view("stranger", 1.2))
    }

    @Test
    fun `the suspicion of a member that restarted does not count as false`() {
        runFor(20.0, listOf("one", "two"))
        runFor(5.0, listOf("two"))
        assertTrue(detector.recordHeartbeat("one", 2, 1, now))
        assertEquals(listOf("heard again, restarted"), detector.tick(now).map { it.reason })
        assertEquals(0, detector.falseSuspicions)
    }

    /** A member counts as failed only if it is silent and fenced: a live member that merely lost its term stays alive. */
    @Test
    fun `a suspected member is failed once its term is passed, a live one is not`() {
        runFor(20.0, listOf("one", "two"))
        assertEquals(null, detector.markFailed("one", 8))
        runFor(5.0, listOf("two"))
        assertEquals(Liveness.FAILED, detector.markFailed("one", 8)?.current)
        assertEquals(Liveness.FAILED, detector.view("one", now)?.liveness)
        val back = runFor(1.0, listOf("one", "two"))
        assertEquals(listOf(Liveness.ALIVE), back.map { it.current })
        assertEquals(0, detector.falseSuspicions, "it was fenced")
    }

    /** Simulates an hour in which one heartbeat in ten is late by up to two seconds, as on an overloaded CPU. */
    @Test
    fun `jitter raises few suspicions`() {
        val random = Random(7)
        var heartbeats = 0L
        var nextSendAt = 0.0
        var suspicions = 0
        var time = 0.0
        while (time < 3600.0) {
            if (time >= nextSendAt) {
                detector.recordHeartbeat("one", 1, ++heartbeats, time)
                nextSendAt = time + INTERVAL_SECONDS + if (random.nextInt(10) == 0) random.nextDouble() * 2 else random.nextDouble() * 0.1
            }
            suspicions += detector.tick(time).count { it.current == Liveness.SUSPECTED }
            time += 0.1
        }
        assertTrue(suspicions <= 12, "$suspicions suspicions in an hour")
    }

    private companion object {
        const val INTERVAL_SECONDS = 0.5
    }
}
