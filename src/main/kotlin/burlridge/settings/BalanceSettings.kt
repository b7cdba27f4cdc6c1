package burlridge.settings

/** Whether running tasks of a class may be stopped in order to continue on another machine. */
internal enum class MovePermission(
    val key: String,
) {
    /** Tasks are not moved. */
    NEVER("never"),

    /** Tasks are moved only if they save their progress when they are stopped. */
    SAVED("saved"),

    /** Tasks are moved even if they do not save their progress; unsaved work is repeated. */
    REPEAT("repeat"),
    ;

    internal companion object {
        fun of(key: String): MovePermission? = entries.firstOrNull { it.key == key }
    }
}

/**
 * The operators' settings in the section `[balance]`; without that section the package `balance` is not used. Most periods are multiples of
 * the platform's heartbeat interval or worker lease. `docs/balance-operating.md` explains each key.
 */
internal data class BalanceSettings(
    /** A task that certainly ends within this many heartbeat intervals is not moved off a machine that is being drained. */
    val finishReports: Double = 20.0,
    /** How long a task waits for capacity on another machine before it is stopped without a reservation, in worker leases. */
    val capacityWaitLeases: Double = 1.0,
    /** How long capacity stays reserved for a task that was stopped to be moved, in worker leases. */
    val reservationLeases: Double = 1.0,
    /** The permission for classes that are not in [classMovePermissions]. */
    val defaultMovePermission: MovePermission = MovePermission.SAVED,
    val classMovePermissions: Map<String, MovePermission> = emptyMap(),
    /** Limits on the tasks moved within any minute, by successive leaders together: of all tasks, of each class, of each team. */
    val movesPerMinute: Int = 600,
    val classMovesPerMinute: Int = 300,
    val teamMovesPerMinute: Int = 300,
    /** Limit on how often a single task may be moved. */
    val movesPerTask: Int = 3,
    /** A machine is hot if its slowdown, relative to tasks of the same jobs and classes elsewhere, is above this; 0 to disable. */
    val hotFactor: Double = 1.3,
    /** A hot machine stays hot until its slowdown is below this. */
    val coolFactor: Double = 1.15,
    /** Whether running tasks are moved off hot machines. */
    val relieveHot: Boolean = true,
    /** The run time that a move off a hot machine must save beyond its cost, in heartbeat intervals. */
    val gainReports: Double = 2.0,
    /** How long starts on a machine are limited after it joined or its worker began a new epoch, in heartbeat intervals; 0 to disable. */
    val coldReports: Double = 5.0,
    /** Number of tasks that may be starting at once on such a machine; twice the number of its running tasks if that is more. */
    val coldStarts: Int = 4,
    /** Number of recent decisions that are kept with their reasons. */
    val maxDecisions: Int = 2000,
) {
    /** The move permission of [jobClass]. */
    fun permission(jobClass: String): MovePermission = classMovePermissions[jobClass] ?: defaultMovePermission

    /** Throws [InvalidSettingsException] if [classMovePermissions] names a class for which the platform sets no objective. */
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

        /** Parses a list such as `alarm-triage:never, poster-sweep:repeat`. */
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
