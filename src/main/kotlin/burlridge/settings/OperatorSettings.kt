package burlridge.settings

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
    /** Null where drains and moves are off. */
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

        fun parse(text: String): OperatorSettings {
            val sections = IniSection.parse(text, KEYS)
            val default = OperatorSettings()
            val placement = sections[PLACEMENT] ?: IniSection(PLACEMENT, emptyMap())
            val fleet = sections[FLEET] ?: IniSection(FLEET, emptyMap())
            val leadership = sections[LEADERSHIP] ?: IniSection(LEADERSHIP, emptyMap())
            return OperatorSettings(
                sample = placement.whole("sample", default.sample, 1..1000),
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
