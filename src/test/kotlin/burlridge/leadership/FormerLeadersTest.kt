package burlridge.leadership

import burlridge.app.ClassArchiveTraining
import burlridge.core.StepContext
import burlridge.settings.Settings
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

internal class FormerLeadersTest {
    private val context = StepContext(Settings.parse(ClassArchiveTraining.settings()), 1)
    private val member = context.settings.member
    private val others = context.settings.others.map { it.member }
    private val formerLeaders = FormerLeaders(context, ANSWER_WINDOW_SECONDS)

    private fun at(seconds: Double) = context.beginStep(seconds, WALL_MILLIS + (seconds * 1000).toLong())

    @Test
    fun `a former leader may answer for the whole answer window unless it confirms that it does not`() {
        val other = others.first()
        at(10.0)
        formerLeaders.beginTerm(mapOf(other to WALL_MILLIS, member to WALL_MILLIS))
        assertEquals(10.0 + ANSWER_WINDOW_SECONDS, formerLeaders.answerUntil)
        at(12.0)
        formerLeaders.onConfirmed("stranger")
        assertEquals(10.0 + ANSWER_WINDOW_SECONDS, formerLeaders.answerUntil)
        formerLeaders.onConfirmed(other)
        at(13.0)
        formerLeaders.onConfirmed(other)
        assertEquals(12.0, formerLeaders.answerUntil)
    }

    @Test
    fun `no former leader can be answering if this member is the only former leader`() {
        at(10.0)
        formerLeaders.beginTerm(mapOf(member to WALL_MILLIS))
        assertEquals(10.0, formerLeaders.answerUntil)
    }

    @Test
    fun `any other member may be a former leader if the rows do not name them`() {
        assertTrue(others.isNotEmpty())
        at(10.0)
        formerLeaders.beginTerm(null)
        others.drop(1).forEach(formerLeaders::onConfirmed)
        assertEquals(10.0 + ANSWER_WINDOW_SECONDS, formerLeaders.answerUntil)
        formerLeaders.onConfirmed(others.first())
        assertEquals(10.0, formerLeaders.answerUntil)
        assertNull(formerLeaders.afterTerm(TermRow(3, others.first(), null)))
        assertNull(formerLeaders.afterTerm(TermRow(3, null, emptyMap())))
    }

    @Test
    fun `a former leader is dropped after twice the answer window`() {
        at(100.0)
        val now = context.wallMillis
        val retentionMillis = (2 * ANSWER_WINDOW_SECONDS * 1000).toLong()
        val recent = mapOf("a" to now - retentionMillis + 1)
        formerLeaders.beginTerm(recent + ("b" to now - retentionMillis))
        assertEquals(recent + (member to now), formerLeaders.afterOwnTerm())
        val row = TermRow(7, "c", recent + ("b" to now - retentionMillis))
        assertEquals(recent + ("c" to now), formerLeaders.afterTerm(row))
    }

    private companion object {
        const val ANSWER_WINDOW_SECONDS = 20.0
        const val WALL_MILLIS = 1_000_000L
    }
}
