package burlridge.app

import burlridge.settings.InvalidSettingsException
import burlridge.settings.OperatorSettings
import burlridge.settings.Settings
import java.io.File
import java.io.IOException

/** Paths of the platform's JSON file and of the operators' INI file; the latter is null if there is none. */
internal data class SettingsFiles(
    val platform: String,
    val operator: String?,
) {
    /** Reads both files; prints one line and exits if one cannot be read or is invalid. */
    fun read(): Settings {
        val settings = load(platform, Settings::parse)
        return if (operator == null) settings else settings.copy(operator = load(operator) { operatorSettings(it, settings) })
    }

    private fun operatorSettings(
        text: String,
        platform: Settings,
    ): OperatorSettings = OperatorSettings.parse(text).also { it.balance?.validate(platform) }

    private fun <T> load(
        file: String,
        parse: (String) -> T,
    ): T =
        try {
            parse(File(file).readText())
        } catch (e: InvalidSettingsException) {
            fail("$file: ${e.message}")
        } catch (e: IOException) {
            fail("$file cannot be read: ${e.message}")
        }
}
