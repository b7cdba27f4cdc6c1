package burlridge.store

import burlridge.app.ClassArchiveTraining
import burlridge.core.StepContext
import burlridge.settings.Settings
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Tests the order in which requests are sent while the rate limits hold them back. */
internal class RequestQueueTest {
    private val context = StepContext(Settings.parse(ClassArchiveTraining.settings()), 1)
    private val queue = RequestQueue(context)
    private val sent = ArrayList<String>()
    private val dropped = ArrayList<String>()

    private fun at(seconds: Double) = context.beginStep(seconds, 0)

    private fun add(
        name: String,
        priority: RequestPriority,
        changeCount: Int = 0,
        maxWaitSeconds: Double = 100.0,
    ) = queue.enqueue(priority, changeCount, maxWaitSeconds, { dropped += name }) { sent += name }

    /** Removes all tokens and stops sending until the end of the pause. */
    private fun pause() {
        at(1.0)
        queue.pause()
    }

    @Test
    fun `after a pause requests are sent by priority regardless of their order of arrival`() {
        pause()
        RequestPriority.entries.reversed().forEach { add(it.name, it) }
        queue.sendQueued()
        assertEquals(emptyList<String>(), sent)
        at(60.0)
        queue.sendQueued()
        assertEquals(RequestPriority.entries.map { it.name }, sent)
        assertEquals(1, context.counters.getLong("store.requests.cleanup"))
    }

    /** Guards against polls that go unanswered behind a burst of submissions. */
    @Test
    fun `reads do not wait for writes that lack tokens, and no write overtakes one of higher priority`() {
        at(0.0)
        repeat(1000) { add("submission $it", RequestPriority.USER, changeCount = 8) }
        val submissions = sent.size
        assertTrue(submissions in 1..999, "$submissions were sent")
        add("clean-up", RequestPriority.CLEANUP, changeCount = 1)
        add("poll", RequestPriority.CLEANUP)
        assertEquals(listOf("poll"), sent.drop(submissions))
    }

    @Test
    fun `a request that has waited too long is dropped and never sent`() {
        pause()
        add("short", RequestPriority.USER, maxWaitSeconds = 0.1)
        add("long", RequestPriority.USER, maxWaitSeconds = 100.0)
        at(60.0)
        queue.sendQueued()
        assertEquals(listOf("short"), dropped)
        assertEquals(listOf("long"), sent)
    }
}
