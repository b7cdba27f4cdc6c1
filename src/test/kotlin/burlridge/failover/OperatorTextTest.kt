package burlridge.failover

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Texts that leave the process in HTTP bodies, handover messages, counters and traces; other versions and operators' tools read them. */
internal class OperatorTextTest {
    @Test
    fun `states keep their labels`() {
        assertEquals(listOf("alive", "suspected", "failed"), Liveness.entries.map { it.label })
        assertEquals(listOf("off", "loading", "following", "too_large", "taking_over"), ReplicaState.entries.map { it.label })
        assertEquals(listOf("leader", "standby", "follower"), MemberRole.entries.map { it.label })
    }

    @Test
    fun `drain refusals keep their texts`() {
        val silent = MemberView("b", Liveness.SUSPECTED, 5.0, "silent for 2.00 s, level 5.0", 1.0)
        val texts =
            mapOf(
                DrainRefusal.NoSuccessor to "no other member is alive to take over",
                DrainRefusal.UnknownMember("b") to "there is no member b",
                DrainRefusal.NoHeartbeat("b", "a") to "b has not been heard since a started, or has no failover switched on",
                DrainRefusal.NotAlive(silent) to "b is suspected: silent for 2.00 s, level 5.0",
            )
        texts.forEach { (refusal, text) -> assertEquals(text, refusal.text) }
    }

    @Test
    fun `handover reasons and outcomes keep their texts`() {
        assertEquals("it is draining", HandoverReason.Draining.text)
        assertEquals("it stood still 3 times lately", HandoverReason.Stalled(3).text)
        val texts =
            mapOf(
                DeclineReason.AlreadyLeader to "it leads itself",
                DeclineReason.FollowsOtherLeader("c") to "it follows c",
                DeclineReason.FollowsOtherLeader(null) to "it follows nobody",
                DeclineReason.StoreUnavailable to "the state service refuses it",
                DeclineReason.LeaseNotGranted to "it gets no lease",
                DeclineReason.Draining to "it is draining",
                DeclineReason.Stalled to "it stood still lately",
                DeclineReason.RecoveringFromPause to "it was paused a moment ago",
            )
        texts.forEach { (reason, text) -> assertEquals(text, reason.text) }
        val outcomes = HandoverOutcome.Result.entries.map { HandoverOutcome(it, "why").text }
        assertEquals(listOf("done: why", "declined: why", "abandoned: why", "deposed: why", "in doubt: why"), outcomes)
        assertEquals("done", HandoverOutcome(HandoverOutcome.Result.DONE).text)
    }

    @Test
    fun `replica faults keep their texts`() {
        val tooOld = BatchFault.ChangeTooOld("live/1", 3, 5)
        val texts =
            mapOf(
                ReplicaFault.TooLarge to "too large",
                ReplicaFault.ChangesCompacted("live/", 5) to "live/: the changes since 5 are not kept any more",
                ReplicaFault.ChangesUnavailable("live/") to "live/: its changes cannot be read",
                ReplicaFault.InconsistentChanges("live/", tooOld) to "live/: live/1 changed at 3, before 5",
                ReplicaFault.AuditFailed("live/", AuditDifference.SurplusRow("live/1")) to
                    "audit of live/: live/1 is gone from the state service",
                ReplicaFault.CatchUpFailed("live/", 503) to "the changes of live/ cannot be read (503)",
                ReplicaFault.BehindFencingToken("live/", 5, 7) to "live/ is known up to 5, below the fence 7",
                ReplicaFault.DigestMismatch("live/") to "live/ does not match its digest",
                ReplicaFault.UnreadableRow("live/") to "a row of live/ cannot be read",
                BatchFault.RevisionWentBack(4, 5) to "revision 4 after 5",
                BatchFault.NoChanges to "no list of changes",
                BatchFault.KeyOutsidePrefix("x".repeat(50), "live/") to "a change of \"${"x".repeat(40)}\" under live/",
                BatchFault.MissingValue("live/1") to "live/1 has no value",
                BatchFault.ChangeOutOfOrder("live/1", 7, 8) to "live/1 changed at 7, listed after 8",
                BatchFault.ChangeTooNew("live/1", 9, 8) to "live/1 changed at 9, after 8",
            )
        texts.forEach { (fault, text) -> assertEquals(text, fault.text) }
        assertEquals("live/1 has stamp none, not 3", AuditDifference.StaleRow("live/1", null, 3).text)
        assertEquals("live/1 has stamp 2, not 3", AuditDifference.StaleRow("live/1", 2, 3).text)
    }
}
