package burlridge.failover

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

internal class FailureDetectorTest {
    private val detector = FailureDetector(listOf("one", "two"), EXPECTED_SECONDS, suspectLevel = 4.0)
    private var now = 0.0
    private var sequence = 0L

    /** Steps of a tenth of a second; heartbeats of [alive] come every [everySeconds]. */
    private fun live(
        seconds: Double,
        alive: List<String>,
        everySeconds: Double = EXPECTED_SECONDS,
    ): List<LivenessChange> {
        val changes = ArrayList<LivenessChange>()
        val until = now + seconds
        var next = now
        while (now < until - 1e-9) {
            if (now >= next - 1e-9) {
                sequence++
                alive.forEach { assertTrue(detector.recordHeartbeat(it, 1, sequence, now)) }
                next += everySeconds
            }
            changes += detector.tick(now)
            now += 0.1
        }
        return changes
    }

    @Test
    fun `a silent member is suspected, and alive again once heard`() {
        assertEquals(emptyList<LivenessChange>(), live(20.0, listOf("one", "two")))
        val changes = live(5.0, listOf("two"))
        assertEquals(listOf("one" to Liveness.SUSPECTED), changes.map { it.member to it.current })
        assertTrue(detector.view("one", now)!!.level >= 4.0)
        assertTrue(detector.isAlive("two"))
        assertEquals(listOf(Liveness.ALIVE), live(1.0, listOf("one", "two")).map { it.current })
        assertEquals(1, detector.falseSuspicions)
    }

    /** Guards the adaptation: what is usual for a slow link is no reason for a suspicion, and for a steady one it is. */
    @Test
    fun `the silence that raises a suspicion follows what is usual`() {
        live(60.0, listOf("one"), everySeconds = 2.0)
        assertEquals(emptyList<LivenessChange>(), live(2.0, emptyList()).filter { it.member == "one" })
        val steady = FailureDetector(listOf("one"), EXPECTED_SECONDS, 4.0)
        repeat(100) { steady.recordHeartbeat("one", 1, it.toLong(), it * EXPECTED_SECONDS) }
        var at = 99 * EXPECTED_SECONDS
        while (steady.tick(at).isEmpty()) at += 0.1
        assertTrue(at - 99 * EXPECTED_SECONDS < 2.0, "suspected only after ${at - 99 * EXPECTED_SECONDS} s")
    }

    /** Guards the doubt of its own view: without it a process that was paused suspects everybody as it wakes. */
    @Test
    fun `a member that was itself paused suspects nobody until the others had their chance`() {
        live(20.0, listOf("one", "two"))
        now += 60.0
        assertEquals(emptyList<LivenessChange>(), detector.tick(now))
        assertTrue(detector.isRecoveringFromPause(now))
        assertEquals(emptyList<LivenessChange>(), live(5.0, listOf("one", "two")))
        assertEquals(1, detector.ownPauses)
        assertFalse(detector.isRecoveringFromPause(now))
        // The silence of one that is really gone counts from the wake-up on.
        now += 60.0
        assertEquals(listOf("one"), live(10.0, listOf("two")).map { it.member })
    }

    @Test
    fun `copies, overtaken heartbeats and strangers are refused`() {
        assertTrue(detector.recordHeartbeat("one", 5, 10, 1.0))
        assertFalse(detector.recordHeartbeat("one", 5, 10, 1.1))
        assertFalse(detector.recordHeartbeat("one", 5, 9, 1.1))
        assertFalse(detector.recordHeartbeat("one", 4, 99, 1.1))
        assertFalse(detector.recordHeartbeat("stranger", 5, 11, 1.1))
        assertTrue(detector.recordHeartbeat("one", 6, 1, 1.2), "a restarted member counts anew")
        assertEquals(null, detector.view("stranger", 1.2))
    }

    @Test
    fun `a restarted member was rightly suspected`() {
        live(20.0, listOf("one", "two"))
        live(5.0, listOf("two"))
        assertTrue(detector.recordHeartbeat("one", 2, 1, now))
        assertEquals(listOf("heard again, restarted"), detector.tick(now).map { it.reason })
        assertEquals(0, detector.falseSuspicions)
    }

    /** Failed is only what is silent and fenced: a live member that merely lost its term stays alive. */
    @Test
    fun `a suspected member is failed once its term is passed, a live one never`() {
        live(20.0, listOf("one", "two"))
        assertEquals(null, detector.markFailed("one", 8))
        live(5.0, listOf("two"))
        assertEquals(Liveness.FAILED, detector.markFailed("one", 8)?.current)
        assertEquals(Liveness.FAILED, detector.view("one", now)?.liveness)
        val back = live(1.0, listOf("one", "two"))
        assertEquals(listOf(Liveness.ALIVE), back.map { it.current })
        assertEquals(0, detector.falseSuspicions, "it was fenced")
    }

    /** An hour with heartbeats that are late by up to two seconds now and then, as on a starved processor. */
    @Test
    fun `jitter raises few suspicions`() {
        val random = Random(7)
        var heard = 0L
        var next = 0.0
        var suspicions = 0
        var at = 0.0
        while (at < 3600.0) {
            if (at >= next) {
                detector.recordHeartbeat("one", 1, ++heard, at)
                next = at + EXPECTED_SECONDS + if (random.nextInt(10) == 0) random.nextDouble() * 2 else random.nextDouble() * 0.1
            }
            suspicions += detector.tick(at).count { it.current == Liveness.SUSPECTED }
            at += 0.1
        }
        assertTrue(suspicions <= 12, "$suspicions suspicions in an hour")
    }

    private companion object {
        const val EXPECTED_SECONDS = 0.5
    }
}
