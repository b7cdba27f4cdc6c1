package burlridge.settings

/** What may be done to a running task of a class so that it goes on elsewhere. */
internal enum class MovePermission(
    val key: String,
) {
    /** It is left to run to its end. */
    NEVER("never"),

    /** It is moved if it saves its progress when it is stopped. */
    SAVED("saved"),

    /** It is moved in any case; work that was not saved is done again. */
    REPEAT("repeat"),
    ;

    internal companion object {
        fun of(key: String): MovePermission? = entries.firstOrNull { it.key == key }
    }
}

/**
 * The operators' settings of `[balance]`; without that section none of this package is loaded. `docs/balance-operating.md` explains
 * each key.
 */
internal data class BalanceSettings(
    /** A task that surely ends within so many report intervals is left to finish on a machine that is drained. */
    val finishReports: Double = 20.0,
    /** Worker leases for which a task waits for room elsewhere before it is stopped without any. */
    val capacityWaitLeases: Double = 1.0,
    /** Worker leases for which room is kept for a task that was stopped. */
    val reservationLeases: Double = 1.0,
    /** What is permitted for classes that [classMovePermissions] does not name. */
    val defaultMovePermission: MovePermission = MovePermission.SAVED,
    val classMovePermissions: Map<String, MovePermission> = emptyMap(),
    /** Tasks moved within any minute, by all leaders together: in all, of a class, of a team. */
    val movesPerMinute: Int = 600,
    val classMovesPerMinute: Int = 300,
    val teamMovesPerMinute: Int = 300,
    /** How often a task may be moved at the most. */
    val movesPerTask: Int = 3,
    /** A machine is hot from this slowdown on, against the same jobs and classes elsewhere; 0 for never. */
    val hotFactor: Double = 1.3,
    /** It stays hot until its slowdown is below this. */
    val coolFactor: Double = 1.15,
    /** Whether running tasks are moved off hot machines. */
    val relieveHot: Boolean = true,
    /** Report intervals that such a move must gain beyond its cost. */
    val gainReports: Double = 2.0,
    /** Report intervals for which a machine that has joined, or whose worker began anew, is limited; 0 for never. */
    val coldReports: Double = 5.0,
    /** Starts that such a machine may get before any is seen to run; later twice as many as run. */
    val coldStarts: Int = 4,
    /** Decisions of which the reasons are kept. */
    val maxDecisions: Int = 2000,
) {
    /** What may be done to running tasks of [jobClass]. */
    fun permission(jobClass: String): MovePermission = classMovePermissions[jobClass] ?: defaultMovePermission

    /** Ends with a [InvalidSettingsException] where this names a class that the platform does not know. */
    fun validate(platform: Settings) {
        val known = platform.objectives.mapNotNullTo(sortedSetOf()) { it.jobClass }
        classMovePermissions.keys.firstOrNull { it !in known }?.let {
            throw InvalidSettingsException("class_moves in [$SECTION] names the unknown class $it; known are $known")
        }
    }

    internal companion object {
        const val SECTION: String = "balance"
        val KEYS: Set<String> =
            setOf(
                "finish_reports",
                "room_leases",
                "keep_leases",
                "moves",
                "class_moves",
                "moves_per_minute",
                "class_moves_per_minute",
                "team_moves_per_minute",
                "moves_per_task",
                "hot_factor",
                "cool_factor",
                "relieve_hot",
                "gain_reports",
                "cold_reports",
                "cold_starts",
                "decisions",
            )
        private val BUDGET_RANGE = 0..1_000_000

        fun read(section: IniSection): BalanceSettings {
            val default = BalanceSettings()
            return BalanceSettings(
                finishReports = section.number("finish_reports", default.finishReports, 0.0..10_000.0),
                capacityWaitLeases = section.number("room_leases", default.capacityWaitLeases, 0.0..1000.0),
                reservationLeases = section.number("keep_leases", default.reservationLeases, 0.1..100.0),
                defaultMovePermission = section.text("moves")?.let { parsePermission("moves", it) } ?: default.defaultMovePermission,
                classMovePermissions = section.text("class_moves")?.let(::parseClassMoves).orEmpty(),
                movesPerMinute = section.integer("moves_per_minute", default.movesPerMinute, BUDGET_RANGE),
                classMovesPerMinute = section.integer("class_moves_per_minute", default.classMovesPerMinute, BUDGET_RANGE),
                teamMovesPerMinute = section.integer("team_moves_per_minute", default.teamMovesPerMinute, BUDGET_RANGE),
                movesPerTask = section.integer("moves_per_task", default.movesPerTask, 0..1000),
                hotFactor = section.number("hot_factor", default.hotFactor, 0.0..100.0),
                coolFactor = section.number("cool_factor", default.coolFactor, 1.0..100.0),
                relieveHot = section.flag("relieve_hot", default.relieveHot),
                gainReports = section.number("gain_reports", default.gainReports, 0.0..1000.0),
                coldReports = section.number("cold_reports", default.coldReports, 0.0..1000.0),
                coldStarts = section.integer("cold_starts", default.coldStarts, 1..10_000),
                maxDecisions = section.integer("decisions", default.maxDecisions, 0..100_000),
            ).also { read ->
                if (read.hotFactor > 0 && read.hotFactor <= read.coolFactor) {
                    throw InvalidSettingsException("hot_factor in [$SECTION] must be 0 or above cool_factor, not ${read.hotFactor}")
                }
            }
        }

        /** `alarm-triage:never, poster-sweep:repeat` */
        private fun parseClassMoves(text: String): Map<String, MovePermission> {
            val pairs = text.split(',').map { it.trim() }
            return pairs.associate { pair ->
                val jobClass = pair.substringBeforeLast(':', "").trim()
                if (jobClass.isEmpty()) throw InvalidSettingsException("class_moves in [$SECTION] must be like class:saved, not \"$pair\"")
                jobClass to parsePermission("class_moves", pair.substringAfterLast(':').trim())
            }
        }

        private fun parsePermission(
            key: String,
            text: String,
        ): MovePermission =
            MovePermission.of(text) ?: throw InvalidSettingsException(
                "$key in [$SECTION] must be one of ${MovePermission.entries.joinToString { it.key }}, not \"$text\"",
            )
    }
}
