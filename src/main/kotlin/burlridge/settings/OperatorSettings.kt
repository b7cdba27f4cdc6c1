package burlridge.settings

/**
 * The operators' settings, read from an INI file that is separate from the platform's settings. Most numbers are multiples of one of the
 * platform's settings, so that the defaults suit any deployment. `docs/operating.md` explains each key.
 */
internal data class OperatorSettings(
    /** Number of machines that are sampled at random to find the best fit for a task. */
    val sampleSize: Int = 5,
    /** How long a machine stays idle before it is returned, in heartbeat intervals. */
    val idleReports: Double = 20.0,
    /** Capacity kept free for each job class with a `wait` objective, in jobs of the class's average size. */
    val headroom: Double = 1.5,
    /** Capacity kept free for gangs that are likely to arrive, in standard deviations above the mean number of arrivals. */
    val gangDeviations: Double = 2.0,
    /** Time to live of the leader's lease, in heartbeat intervals. */
    val leaseReports: Double = 0.75,
    /** Section `[failover]`; null if failover is disabled. */
    val failover: FailoverSettings? = null,
    /** Section `[balance]`; null if drains and moves are disabled. */
    val balance: BalanceSettings? = null,
) {
    internal companion object {
        private const val PLACEMENT = "placement"
        private const val FLEET = "fleet"
        private const val LEADERSHIP = "leadership"
        private const val FAILOVER = "failover"
        private val KEYS =
            mapOf(
                PLACEMENT to setOf("sample"),
                FLEET to setOf("idle_reports", "headroom", "gang_deviations"),
                LEADERSHIP to setOf("lease_reports"),
                FAILOVER to FailoverSettings.KEYS,
                BalanceSettings.SECTION to BalanceSettings.KEYS,
            )

        /** Parses and validates the operators' INI file. Throws [InvalidSettingsException]. */
        fun parse(text: String): OperatorSettings {
            val sections = IniSection.parse(text, KEYS)
            val default = OperatorSettings()
            val placement = sections[PLACEMENT] ?: IniSection(PLACEMENT, emptyMap())
            val fleet = sections[FLEET] ?: IniSection(FLEET, emptyMap())
            val leadership = sections[LEADERSHIP] ?: IniSection(LEADERSHIP, emptyMap())
            return OperatorSettings(
                sampleSize = placement.integer("sample", default.sampleSize, 1..1000),
                idleReports = fleet.number("idle_reports", default.idleReports, 1.0..1000.0),
                headroom = fleet.number("headroom", default.headroom, 0.0..10.0),
                gangDeviations = fleet.number("gang_deviations", default.gangDeviations, 0.0..10.0),
                leaseReports = leadership.number("lease_reports", default.leaseReports, 0.4..3.0),
                failover = sections[FAILOVER]?.let(FailoverSettings::read),
                balance = sections[BalanceSettings.SECTION]?.let(BalanceSettings::read),
            )
        }
    }
}
