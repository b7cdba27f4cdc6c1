package burlridge.core

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

internal class LogLineTest {
    @Test
    fun `details follow the event as key=value, quoted if needed, and nulls are omitted`() {
        assertEquals("leader elected", logLine("leader elected", emptyArray()))
        val line =
            logLine(
                "leader elected",
                arrayOf(
                    "term" to 3L,
                    "cause" to "lease expired",
                    "member" to "a\"b",
                    "lease" to null,
                    "zone" to "",
                ),
            )
        assertEquals("leader elected term=3 cause=\"lease expired\" member=\"a\\\"b\" zone=\"\"", line)
    }
}
