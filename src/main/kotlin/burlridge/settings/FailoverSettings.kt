package burlridge.settings

/**
 * The operators' settings in the section `[failover]`; without that section the package `failover` is not used. Each number is a multiple
 * of one of the platform's settings or a plain number. `docs/failover-operating.md` explains each key.
 */
internal data class FailoverSettings(
    /** Suspicion level at or above which a member is suspected: the negative decimal logarithm of the probability that it is alive. */
    val suspectLevel: Double = 4.0,
    /** Number of members that keep a standby replica of the leader's rows; 0 for none. */
    val standbys: Int = 1,
    /** Interval between two refreshes of the standby replica, in heartbeat intervals. */
    val refreshReports: Double = 0.5,
    /** Share of the process's memory limit that the standby replica may use. */
    val replicaMemoryShare: Double = 0.06,
    /** Number of stalls within [STALL_WINDOW_LEASES] leases after which a leader hands over on its own initiative; 0 to disable. */
    val slowStalls: Int = 0,
    /** File to which traces of leader changes are appended, one JSON object per line; null to disable traces. */
    val traceFile: String? = null,
) {
    /** How long a process that was requested to stop waits for a successor, in seconds. */
    fun drainTimeoutSeconds(settings: Settings): Double =
        settings.workers.reportSeconds * settings.operator.leaseReports * DRAIN_TIMEOUT_LEASES

    internal companion object {
        val KEYS: Set<String> = setOf("suspect_level", "standbys", "refresh_reports", "replica_part", "slow_stalls", "trace_file")

        fun read(section: IniSection): FailoverSettings {
            val default = FailoverSettings()
            return FailoverSettings(
                suspectLevel = section.number("suspect_level", default.suspectLevel, 1.0..20.0),
                standbys = section.integer("standbys", default.standbys, 0..10),
                refreshReports = section.number("refresh_reports", default.refreshReports, 0.1..10.0),
                replicaMemoryShare = section.number("replica_part", default.replicaMemoryShare, 0.001..0.5),
                slowStalls = section.integer("slow_stalls", default.slowStalls, 0..100),
                traceFile = section.text("trace_file"),
            )
        }

        /** Length of the window in which a leader's stalls are counted, in leader leases. */
        const val STALL_WINDOW_LEASES: Double = 8.0
        private const val DRAIN_TIMEOUT_LEASES = 4.0
    }
}
