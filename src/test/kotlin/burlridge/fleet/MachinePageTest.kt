package burlridge.fleet

import burlridge.settings.Endpoint
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

/** The cloud's list comes from outside: a page that is not one is no page at all, and odd fields have their default. */
internal class MachinePageTest {
    @Test
    fun `a page is read, and unknown fields are ignored`() {
        val page =
            """{"drovers":[{"id":"m-000231","addr":"10.1.0.232:9000","breed":"g8","yard":"a","loaners":true,"standing":"running","ageS":61.5,
            "later":[{}]},{"id":"m-000232"}],"truncated":true}"""
        val machines =
            listOf(ListedMachine("m-000231", Endpoint("10.1.0.232", 9000), "g8", "a", true, "running", 61.5), ListedMachine("m-000232"))
        assertEquals(MachinePage(machines, isTruncated = true), MachinePage.decode(page))
        assertEquals(MachinePage(emptyList(), isTruncated = false), MachinePage.decode("""{"drovers":[]}"""))
    }

    @Test
    fun `what is no page is refused`() {
        val malformed =
            listOf("", "[]", "{}", "{\"drovers\":{}}", "{\"drovers\":null}", "{\"drovers\":[]", "{\"drovers\":[]}{}", "{\"drovers\":[{]}")
        malformed.forEach { assertNull(MachinePage.decode(it), it) }
    }

    @Test
    fun `fields of another type have their default`() {
        val odd = """{"drovers":[7,{"id":5,"addr":"x","breed":null,"yard":[],"loaners":1,"standing":{},"ageS":"old"}],"truncated":"yes"}"""
        assertEquals(MachinePage(listOf(ListedMachine("")), isTruncated = false), MachinePage.decode(odd))
    }
}
