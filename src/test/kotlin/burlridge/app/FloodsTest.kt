package burlridge.app

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

internal class FloodsTest {
    /** Guards the log on the day that hundreds of machines are lost at once. */
    @Test
    fun `of hundreds of lines alike the first are logged and the others summed up`() {
        val floods = Floods()
        assertEquals(20, (1..284).count { floods.admits("machines gone", 5.0) })
        assertEquals(3, (1..3).count { floods.admits("tasks lost", 5.4) })
        assertEquals(emptyList<String>(), floods.sumUp(5.9))
        assertEquals(listOf("264 more in a second: machines gone"), floods.sumUp(6.0))
        assertEquals(true, floods.admits("machines gone", 6.1))
    }
}
