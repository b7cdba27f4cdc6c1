package burlridge.job

import burlridge.json.Json
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test

internal class JobSpecTest {
    private val validJob =
        """{"id":"j-000412","lane":"train","crew":"vision","shape":"array","urgency":"high","pieces":16,"vcpus":8.0,"gpus":1.0,
        "ramGb":64.0,"bundle":"img-07","pullGb":6.2,"breeds":["g8"],"yard":null,"together":true,"spread":false,"loaners":true,
        "guessS":240.0,"markEveryS":30.0,"markCostS":4.0,"dueS":900.0}"""

    private fun reasonFor(
        from: String,
        to: String,
    ): String =
        assertThrows(InvalidJobException::class.java) {
            JobSpecCodec.decode(Json.parseOrNull(validJob.replace(from, to).also { check(it != validJob) }))
        }.message.orEmpty()

    @Test
    fun `a job array is unchanged after being encoded and decoded`() {
        val spec = JobSpecCodec.decode(Json.parse(validJob))
        assertEquals(spec, JobSpecCodec.decode(JobSpecCodec.encode(spec)))
        assertEquals(spec.fingerprint, JobSpecCodec.decode(JobSpecCodec.encode(spec)).fingerprint)
    }

    @Test
    fun `a gang is unchanged after being encoded and decoded, and differs from an array`() {
        val spec = JobSpecCodec.decode(Json.parse(validJob.replace("\"array\"", "\"ensemble\"")))
        assertEquals(true, spec.gang)
        assertEquals(spec, JobSpecCodec.decode(JobSpecCodec.encode(spec)))
        assertNotEquals(JobSpecCodec.decode(Json.parse(validJob)).fingerprint, spec.fingerprint)
    }

    @Test
    fun `a malformed job is refused with a reason`() {
        assertEquals("id must look like j-000412", reasonFor("j-000412", "x/../y"))
        assertEquals("pieces must be from 1 to 100000", reasonFor("\"pieces\":16", "\"pieces\":0"))
        assertEquals("pieces must be a whole number", reasonFor("\"pieces\":16", "\"pieces\":1.5"))
        assertEquals("vcpus must be a number from 0", reasonFor("\"vcpus\":8.0", "\"vcpus\":-8.0"))
        assertEquals("vcpus must be a number from 0", reasonFor("\"vcpus\":8.0", "\"vcpus\":1e999"))
        assertEquals("shape must be \"array\" or \"ensemble\"", reasonFor("\"array\"", "\"ring\""))
        assertEquals("crew is missing", reasonFor("\"crew\"", "\"team\""))
        assertEquals("the body is not JSON", reasonFor("{", ""))
    }
}
