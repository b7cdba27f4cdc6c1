package burlridge.fleet

import burlridge.settings.Endpoint
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

/** The cloud's list is external input: a malformed page is rejected as a whole, and fields of the wrong type have their defaults. */
internal class MachinePageTest {
    @Test
    fun `decoding a valid page reads its machines and ignores unknown fields`() {
        val page =
            """{"drovers":[{"id":"m-000231","addr":"10.1.0.232:9000","breed":"g8","yard":"a","loaners":true,"standing":"running","ageS":61.5,
            "later":[{}]},{"id":"m-000232"}],"truncated":true}"""
        val machines =
            listOf(ListedMachine("m-000231", Endpoint("10.1.0.232", 9000), "g8", "a", true, "running", 61.5), ListedMachine("m-000232"))
        assertEquals(MachinePage(machines, isTruncated = true), MachinePage.decode(page))
        assertEquals(MachinePage(emptyList(), isTruncated = false), MachinePage.decode("""{"drovers":[]}"""))
    }

    @Test
    fun `decoding a malformed page returns null`() {
        val malformed =
            listOf("", "[]", "{}", "{\"drovers\":{}}", "{\"drovers\":null}", "{\"drovers\":[]", "{\"drovers\":[]}{}", "{\"drovers\":[{]}")
        malformed.forEach { assertNull(MachinePage.decode(it), it) }
    }

    @Test
    fun `fields of the wrong type have their defaults`() {
        val page = """{"drovers":[7,{"id":5,"addr":"x","breed":null,"yard":[],"loaners":1,"standing":{},"ageS":"old"}],"truncated":"yes"}"""
        assertEquals(MachinePage(listOf(ListedMachine("")), isTruncated = false), MachinePage.decode(page))
    }

    /** Guards against a machine whose name ends the leader with the first row that is stored for it. */
    @Test
    fun `a text that is not valid Unicode has its default`() {
        val page = """{"drovers":[{"id":"m-\ud83d","addr":"\ud83d:80","breed":"\ude00","yard":"\ud83d","standing":"\ud83d"}]}"""
        assertEquals(MachinePage(listOf(ListedMachine("")), isTruncated = false), MachinePage.decode(page))
        assertEquals(listOf("m-2"), CloudApiCodec.decodeRentedIds("""{"drovers":["m-\ud83d","m-2"]}"""))
    }
}
