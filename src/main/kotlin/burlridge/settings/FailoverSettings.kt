package burlridge.settings

/**
 * The operators' settings of `[failover]`; without that section none of this package is loaded. Each figure is a ratio to one of
 * the platform's settings or a plain number; `docs/failover-operating.md` explains each key.
 */
internal data class FailoverSettings(
    /** Suspicion level from which on a member counts as suspected: minus the decimal logarithm of the chance that it is alive. */
    val suspectLevel: Double = 4.0,
    /** Members that keep a standby replica of the leader's rows; 0 for none. */
    val standbys: Int = 1,
    /** Report intervals between two refreshes of the standby replica. */
    val refreshReports: Double = 0.5,
    /** Part of the process's memory limit that the standby replica may take. */
    val replicaMemoryShare: Double = 0.06,
    /** Stalls within [STALL_WINDOW_LEASES] leases after which a leader hands over by itself; 0 for never. */
    val slowStalls: Int = 0,
    /** File to which traces of leader changes are appended, one JSON object a line; null for no traces. */
    val traceFile: String? = null,
) {
    /** How long a process that is asked to stop waits for a successor, in seconds. */
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

        /** How far back a leader's stalls count, in leases. */
        const val STALL_WINDOW_LEASES: Double = 8.0
        private const val DRAIN_TIMEOUT_LEASES = 4.0
    }
}
