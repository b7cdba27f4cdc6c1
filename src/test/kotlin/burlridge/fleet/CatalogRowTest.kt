package burlridge.fleet

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

internal class CatalogRowTest {
    /** Guards against a rental whose row ends the leader: UTF-8 cannot encode half of a surrogate pair. */
    @Test
    fun `machine types and zones whose names are not valid Unicode are skipped`() {
        val valid = """{"sku":"g8","vcpus":8,"yards":["a","b\ud83d"]}"""
        val invalid = """{"sku":"g\ud83d","vcpus":8,"yards":["a"]}"""
        val types =
            CatalogRow
                .decode("""{"breeds":[$valid,$invalid]}""")
                ?.catalog
                ?.types
                .orEmpty()
        assertEquals(mapOf("g8" to listOf("a")), types.mapValues { it.value.zones })
        assertNull(CatalogRow.decode("""{"breeds":[$invalid]}"""))
    }
}
