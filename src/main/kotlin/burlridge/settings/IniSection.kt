package burlridge.settings

import org.ini4j.Ini
import org.ini4j.InvalidFileFormatException
import java.io.StringReader

/** One section of the operators' settings. Its getters throw [InvalidSettingsException], which names the key, for an invalid value. */
internal class IniSection(
    private val name: String,
    private val values: Map<String, String>,
) {
    /** A non-empty text; null if the key is absent. */
    fun text(key: String): String? =
        values[key]?.trim()?.also {
            if (it.isEmpty()) throw InvalidSettingsException("$key in [$name] is empty")
        }

    /** `true` or `false`; [default] if the key is absent. */
    fun flag(
        key: String,
        default: Boolean,
    ): Boolean {
        val text = text(key) ?: return default
        return text.toBooleanStrictOrNull() ?: throw InvalidSettingsException("$key in [$name] must be true or false, not \"$text\"")
    }

    /** An integer within [range]; [default] if the key is absent. */
    fun integer(
        key: String,
        default: Int,
        range: IntRange,
    ): Int {
        val value = number(key, default.toDouble(), range.first.toDouble()..range.last.toDouble())
        if (value != Math.rint(value)) throw InvalidSettingsException("$key in [$name] must be a whole number, not \"$value\"")
        return value.toInt()
    }

    /** A number within [range]; [default] if the key is absent. */
    fun number(
        key: String,
        default: Double,
        range: ClosedFloatingPointRange<Double>,
    ): Double {
        val text = values[key] ?: return default
        val value = text.trim().toDoubleOrNull()
        if (value == null || value !in range) {
            throw InvalidSettingsException("$key in [$name] must be a number from ${range.start} to ${range.endInclusive}, not \"$text\"")
        }
        return value
    }

    internal companion object {
        /** Parses [text]; throws [InvalidSettingsException] if a section or one of its keys is not in [keys]. */
        fun parse(
            text: String,
            keys: Map<String, Set<String>>,
        ): Map<String, IniSection> {
            val ini =
                try {
                    Ini(StringReader(text))
                } catch (e: InvalidFileFormatException) {
                    throw InvalidSettingsException("not an INI file: ${e.message}", e)
                } catch (unexpected: RuntimeException) {
                    // The parser throws exceptions of several types on unfinished escapes, as a backslash at the end of a name.
                    throw InvalidSettingsException("not an INI file: an escape is not complete (${unexpected.message})", unexpected)
                }
            for ((name, section) in ini) {
                val known = keys[name] ?: throw InvalidSettingsException("unknown section [$name]; known are ${keys.keys}")
                section.keys
                    .firstOrNull { it !in known }
                    ?.let { throw InvalidSettingsException("unknown key $it in [$name]; known are $known") }
            }
            return ini.mapValues { (name, section) -> IniSection(name, section) }
        }
    }
}
