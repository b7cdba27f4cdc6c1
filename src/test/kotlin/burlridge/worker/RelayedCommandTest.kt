package burlridge.worker

import burlridge.core.CallOutcome
import burlridge.core.HttpResponse
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Members of different versions exchange the path and the status values, so both must not change. */
internal class RelayedCommandTest {
    @Test
    fun `the path and the status values are fixed`() {
        assertEquals("/worker/do/", RelayedCommand.PATH_PREFIX)
        assertEquals(HttpResponse(1, ""), RelayedCommand.responseOf(CallOutcome.NotSent))
        assertEquals(HttpResponse(2, ""), RelayedCommand.responseOf(CallOutcome.Unknown))
        assertEquals(HttpResponse(409, "{}"), RelayedCommand.responseOf(CallOutcome.Responded(409, "{}")))
    }

    @Test
    fun `an outcome encoded as a response decodes to the same outcome`() {
        val outcomes = listOf(CallOutcome.NotSent, CallOutcome.Unknown, CallOutcome.Responded(200, "{}"), CallOutcome.Responded(503, ""))
        assertEquals(outcomes, outcomes.map { RelayedCommand.outcomeOf(RelayedCommand.responseOf(it)) })
    }

    @Test
    fun `a missing response decodes to an unknown outcome`() {
        assertEquals(CallOutcome.Unknown, RelayedCommand.outcomeOf(null))
    }
}
