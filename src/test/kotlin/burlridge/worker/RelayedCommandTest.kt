package burlridge.worker

import burlridge.core.CallOutcome
import burlridge.core.HttpResponse
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** The path and the statuses go between members of different versions. */
internal class RelayedCommandTest {
    @Test
    fun `path and statuses stay as they are`() {
        assertEquals("/worker/do/", RelayedCommand.PATH_PREFIX)
        assertEquals(HttpResponse(1, ""), RelayedCommand.responseOf(CallOutcome.NotSent))
        assertEquals(HttpResponse(2, ""), RelayedCommand.responseOf(CallOutcome.Unknown))
        assertEquals(HttpResponse(409, "{}"), RelayedCommand.responseOf(CallOutcome.Responded(409, "{}")))
    }

    @Test
    fun `an outcome is the same after its way between members`() {
        val outcomes = listOf(CallOutcome.NotSent, CallOutcome.Unknown, CallOutcome.Responded(200, "{}"), CallOutcome.Responded(503, ""))
        assertEquals(outcomes, outcomes.map { RelayedCommand.outcomeOf(RelayedCommand.responseOf(it)) })
    }

    @Test
    fun `without a response the outcome is unknown`() {
        assertEquals(CallOutcome.Unknown, RelayedCommand.outcomeOf(null))
    }
}
