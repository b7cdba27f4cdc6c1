package burlridge.core

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

internal class LogRateLimiterTest {
    /** Guards the log on the day that hundreds of machines are lost at once. */
    @Test
    fun `of hundreds of lines alike the first are logged and the others summed up`() {
        val rateLimiter = LogRateLimiter()
        assertEquals(20, (1..284).count { rateLimiter.tryAcquire("machines gone", 5.0) })
        assertEquals(3, (1..3).count { rateLimiter.tryAcquire("tasks lost", 5.4) })
        assertEquals(emptyList<String>(), rateLimiter.summarize(5.9))
        assertEquals(listOf("264 more in a second: machines gone"), rateLimiter.summarize(6.0))
        assertEquals(true, rateLimiter.tryAcquire("machines gone", 6.1))
    }
}
