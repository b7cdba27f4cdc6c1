package burlridge.core

import burlridge.failover.FailoverSettings
import org.ini4j.Ini
import java.io.StringReader

/**
 * The operators' own settings, an INI file beside the platform's. Every figure is a ratio to one of the platform's, so that
 * the defaults suit any deployment; `docs/operating.md` explains each key.
 */
internal data class OperatorSettings(
    /** Machines sampled for a task's best fit. */
    val sample: Int = 5,
    /** Report intervals that a machine stays idle before it is returned. */
    val idleReports: Double = 20.0,
    /** Room kept free for job classes with a wait aim, in jobs of the usual size. */
    val headroom: Double = 1.5,
    /** Room kept free for gangs that are likely to come, in standard deviations above their mean. */
    val gangDeviations: Double = 2.0,
    /** The leader's lease, in report intervals. */
    val leaseReports: Double = 0.75,
    /** Null where failover is off. */
    val failover: FailoverSettings? = null,
) {
    internal companion object {
        private val KEYS =
            mapOf(
                "placement" to setOf("sample"),
                "fleet" to setOf("idle_reports", "headroom", "gang_deviations"),
                "leadership" to setOf("lease_reports"),
                "failover" to setOf("suspect_level", "standbys", "refresh_reports", "replica_part", "slow_stalls", "trace_file"),
            )

        fun parse(text: String): OperatorSettings {
            val ini =
                try {
                    Ini(StringReader(text))
                } catch (e: java.io.IOException) {
                    throw SettingsError("not an INI file: ${e.message}")
                }
            for ((name, section) in ini) {
                val known = KEYS[name] ?: throw SettingsError("unknown section [$name]; known are ${KEYS.keys}")
                section.keys.firstOrNull { it !in known }?.let { throw SettingsError("unknown key $it in [$name]; known are $known") }
            }
            val usual = OperatorSettings()
            return OperatorSettings(
                sample = ini.number("placement", "sample", usual.sample.toDouble(), 1.0..1000.0).toInt(),
                failover = ini["failover"]?.let { failover(ini) },
                idleReports = ini.number("fleet", "idle_reports", usual.idleReports, 1.0..1000.0),
                headroom = ini.number("fleet", "headroom", usual.headroom, 0.0..10.0),
                gangDeviations = ini.number("fleet", "gang_deviations", usual.gangDeviations, 0.0..10.0),
                leaseReports = ini.number("leadership", "lease_reports", usual.leaseReports, 0.4..3.0),
            )
        }

        private fun failover(ini: Ini): FailoverSettings {
            val usual = FailoverSettings()
            val section = "failover"
            return FailoverSettings(
                suspectLevel = ini.number(section, "suspect_level", usual.suspectLevel, 1.0..20.0),
                standbys = ini.whole(section, "standbys", usual.standbys, 0..10),
                refreshReports = ini.number(section, "refresh_reports", usual.refreshReports, 0.1..10.0),
                replicaPart = ini.number(section, "replica_part", usual.replicaPart, 0.001..0.5),
                slowStalls = ini.whole(section, "slow_stalls", usual.slowStalls, 0..100),
                traceFile =
                    ini
                        .get(
                            section,
                        )?.get("trace_file")
                        ?.trim()
                        ?.ifEmpty { throw SettingsError("trace_file in [$section] is empty") },
            )
        }

        private fun Ini.whole(
            section: String,
            key: String,
            usual: Int,
            range: IntRange,
        ): Int {
            val value = number(section, key, usual.toDouble(), range.first.toDouble()..range.last.toDouble())
            if (value != Math.rint(value)) throw SettingsError("$key in [$section] must be a whole number, not \"$value\"")
            return value.toInt()
        }

        private fun Ini.number(
            section: String,
            key: String,
            usual: Double,
            range: ClosedFloatingPointRange<Double>,
        ): Double {
            val text = get(section)?.get(key) ?: return usual
            val value = text.trim().toDoubleOrNull()
            if (value == null ||
                value !in range
            ) {
                throw SettingsError("$key in [$section] must be a number from ${range.start} to ${range.endInclusive}, not \"$text\"")
            }
            return value
        }
    }
}
