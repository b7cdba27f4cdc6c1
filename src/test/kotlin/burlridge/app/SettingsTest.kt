package burlridge.app

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test

internal class SettingsTest {
    private val good = Rehearsal.settings()

    private fun complaint(text: String): String = assertThrows(SettingsError::class.java) { Settings.parse(text) }.message.orEmpty()

    @Test
    fun `the platform's settings are read, and unknown fields ignored`() {
        val settings = Settings.parse(good.replaceFirst("{", "{\"later\":1,"))
        assertEquals("drover-0", settings.member)
        assertEquals(24.0, settings.workers.leaseS)
    }

    @Test
    fun `what is wrong is said in one line`() {
        assertEquals("member must be a non-empty text", complaint(good.replace("\"member\":\"drover-0\"", "\"member\":7")))
        assertEquals("params.workers.lease_s must be a number above 0", complaint(good.replace("\"lease_s\":24.0", "\"lease_s\":-1")))
        assertEquals("params is missing", complaint(good.replace("\"params\"", "\"param\"")))
        assertEquals("the settings are not a JSON object", complaint("[]"))
    }

    @Test
    fun `operators' settings refuse unknown keys and figures out of range`() {
        assertEquals(7, OperatorSettings.parse("[placement]\nsample = 7\n").sample)
        assertThrows(SettingsError::class.java) { OperatorSettings.parse("[placement]\nsampel = 7\n") }
        assertThrows(SettingsError::class.java) { OperatorSettings.parse("[fleets]\n") }
        assertThrows(SettingsError::class.java) { OperatorSettings.parse("[leadership]\nlease_reports = 0\n") }
    }
}
