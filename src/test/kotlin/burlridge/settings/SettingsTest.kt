package burlridge.settings

import burlridge.app.ClassArchiveTraining
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test

internal class SettingsTest {
    private val validSettings = ClassArchiveTraining.settings()

    private fun errorMessageOf(text: String): String =
        assertThrows(InvalidSettingsException::class.java) { Settings.parse(text) }.message.orEmpty()

    @Test
    fun `the platform's settings are read, and unknown fields ignored`() {
        val settings = Settings.parse(validSettings.replaceFirst("{", "{\"later\":1,"))
        assertEquals("drover-0", settings.member)
        assertEquals(24.0, settings.workers.leaseSeconds)
    }

    @Test
    fun `invalid settings are rejected with a one-line message that names the field`() {
        assertEquals("member must be a non-empty text", errorMessageOf(validSettings.replace("\"member\":\"drover-0\"", "\"member\":7")))
        assertEquals(
            "params.workers.lease_s must be a number above 0",
            errorMessageOf(validSettings.replace("\"lease_s\":24.0", "\"lease_s\":-1")),
        )
        assertEquals("member must be valid Unicode", errorMessageOf(validSettings.replace("\"drover-0\"", "\"\\ud83d\"")))
        assertEquals("params is missing", errorMessageOf(validSettings.replace("\"params\"", "\"param\"")))
        assertEquals("the settings are not a JSON object", errorMessageOf("[]"))
    }

    @Test
    fun `the lower of the current and the announced limits of the state service applies`() {
        val next = validSettings.replace("\"txn_ops\":8", "\"txn_ops\":8,\"next\":{\"value_kb\":2.0,\"txn_ops\":4,\"write_rps\":99.0}")
        assertEquals(StoreLimits(100.0, 25.0, 2048, 4), Settings.parse(next).storeLimits)
        assertEquals(StoreLimits(100.0, 25.0, 8192, 8), Settings.parse(validSettings).storeLimits)
        assertEquals("params.state.next must be an object", errorMessageOf(next.replace(Regex("\\{\"value_kb[^}]*}"), "7")))
        assertEquals(
            "params.state.next.txn_ops must be a number above 0",
            errorMessageOf(next.replace("\"txn_ops\":4", "\"txn_ops\":\"4\"")),
        )
    }

    @Test
    fun `gang timings must be set both or not at all`() {
        val both = validSettings.replace("\"lease_s\":24.0", "\"lease_s\":24.0,\"gang_wait_s\":50.0,\"gang_peer_s\":5.0")
        assertEquals(GangTimings(50.0, 5.0), Settings.parse(both).workers.gang)
        assertEquals(null, Settings.parse(validSettings).workers.gang)
        assertEquals("params.workers.gang_peer_s is missing", errorMessageOf(both.replace(",\"gang_peer_s\":5.0", "")))
        assertEquals("params.workers.gang_wait_s must be a number above 0", errorMessageOf(both.replace("50.0", "0")))
    }

    @Test
    fun `process limits that are missing, not a number or out of range are rejected by name`() {
        val processLimits = Settings.parse(validSettings).processLimits
        assertEquals(ProcessLimits(0.2, 200.0, 1000), processLimits)
        val ranges =
            mapOf(
                "cpu_share" to ("0.2" to "a number from 0.001 to 100.0"),
                "memory_mb" to ("200.0" to "a number from 32.0 to 1000000.0"),
                "max_connections" to ("1000" to "a number from 40.0 to 1000000.0"),
            )
        for ((field, valueAndRange) in ranges) {
            val (value, range) = valueAndRange
            val entry = "\"$field\":$value"
            assertEquals("params.limits.$field is missing", errorMessageOf(validSettings.replace(entry, "\"other\":1")))
            assertEquals("params.limits.$field is missing", errorMessageOf(validSettings.replace(entry, "\"$field\":null")))
            for (invalid in listOf("0", "-1", "\"7\"", "true", "[]", "{}", "1e99")) {
                assertEquals(
                    "params.limits.$field must be $range",
                    errorMessageOf(validSettings.replace(entry, "\"$field\":$invalid")),
                    invalid,
                )
            }
        }
        assertEquals(
            "params.limits.max_connections must be a whole number",
            errorMessageOf(validSettings.replace("\"max_connections\":1000", "\"max_connections\":1000.5")),
        )
        assertEquals("params.limits is missing", errorMessageOf(validSettings.replace("\"limits\"", "\"limit\"")))
        assertEquals(
            "params.limits must be an object",
            errorMessageOf(validSettings.replace(Regex("\"limits\":\\{[^}]*}"), "\"limits\":7")),
        )
    }

    @Test
    fun `unknown sections, unknown keys and values out of range in the operators' settings are rejected`() {
        assertEquals(7, OperatorSettings.parse("[placement]\nsample = 7\n").sampleSize)
        assertThrows(InvalidSettingsException::class.java) { OperatorSettings.parse("[placement]\nsampel = 7\n") }
        assertThrows(InvalidSettingsException::class.java) { OperatorSettings.parse("[fleets]\n") }
        assertThrows(InvalidSettingsException::class.java) { OperatorSettings.parse("[leadership]\nlease_reports = 0\n") }
    }
}
