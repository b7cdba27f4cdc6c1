package burlridge.core

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

internal class LogRateLimiterTest {
    /** Guards the log on the day that hundreds of machines are lost at once. */
    @Test
    fun `of hundreds of lines alike the first are logged and the others summed up`() {
        val logRateLimiter = LogRateLimiter()
        assertEquals(20, (1..284).count { logRateLimiter.admits("machines gone", 5.0) })
        assertEquals(3, (1..3).count { logRateLimiter.admits("tasks lost", 5.4) })
        assertEquals(emptyList<String>(), logRateLimiter.summarize(5.9))
        assertEquals(listOf("264 more in a second: machines gone"), logRateLimiter.summarize(6.0))
        assertEquals(true, logRateLimiter.admits("machines gone", 6.1))
    }
}
