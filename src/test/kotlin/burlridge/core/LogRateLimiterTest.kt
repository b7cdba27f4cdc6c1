package burlridge.core

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

internal class LogRateLimiterTest {
    /** Guards against a flood of log lines when hundreds of machines are lost at once. */
    @Test
    fun `the first lines of each kind in a second are logged and the others counted`() {
        val rateLimiter = LogRateLimiter()
        assertEquals(20, (1..284).count { rateLimiter.tryAcquire("machines gone", 5.0) })
        assertEquals(3, (1..3).count { rateLimiter.tryAcquire("tasks lost", 5.4) })
        assertEquals(emptyList<String>(), rateLimiter.summarize(5.9))
        assertEquals(listOf("264 more in a second: machines gone"), rateLimiter.summarize(6.0))
        assertEquals(true, rateLimiter.tryAcquire("machines gone", 6.1))
    }
}
