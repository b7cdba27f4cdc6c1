package burlridge.balance

import burlridge.json.Json
import burlridge.store.Row
import com.fasterxml.jackson.databind.JsonNode

/** How far a drain has come; only the leader moves it on, by a write under its fence. */
internal enum class DrainState(
    val wire: String,
) {
    /** Accepted and durable; no machine of it has been looked at. */
    REQUESTED("requested"),

    /** Nothing more is placed on its machines, and what runs there finishes or moves. */
    DRAINING("draining"),

    /** No machine of it is left; machines that join later and match are drained too. */
    DRAINED("drained"),

    /** Called off: what has not moved stays. */
    CANCELLED("cancelled"),
    ;

    internal companion object {
        fun of(wire: String): DrainState? = entries.firstOrNull { it.wire == wire }
    }
}

/** Who wants the machines empty. */
internal enum class DrainCause(
    val wire: String,
) {
    OPERATOR("operator"),

    /** The leader found the machine slow; kept in a row so that the next leader need not find it again. */
    SLOW("slow"),
    ;

    internal companion object {
        fun of(wire: String): DrainCause? = entries.firstOrNull { it.wire == wire }
    }
}

/** One drain, as it stands in its row. */
internal data class Drain(
    val target: DrainTarget,
    val cause: DrainCause,
    val state: DrainState,
    val requestedMillis: Long,
    val changedMillis: Long,
    /** Revision of the row; 0 where there is none yet. */
    val modRevision: Long = 0,
) {
    val rowKey: String get() = PREFIX + target.key
    val active: Boolean get() = state != DrainState.CANCELLED

    fun encode(): JsonNode =
        Json.obj {
            put("st", state.wire)
            put("cause", cause.wire)
            put("at", requestedMillis)
            put("changed", changedMillis)
            target.encode(putObject("target"))
        }

    /** Whether [row] holds this very change: no other has its state and time. */
    fun isWrittenIn(row: Row): Boolean = decode(row)?.copy(modRevision = modRevision) == this

    internal companion object {
        const val PREFIX: String = "drain/"

        /** Null for a row that is damaged, or of another version. */
        fun decode(row: Row): Drain? {
            val value = row.value
            val target =
                try {
                    DrainTarget.parse(value.path("target"))
                } catch (_: InvalidDrainTargetException) {
                    return null
                }
            val state = DrainState.of(value.path("st").asText()) ?: return null
            val cause = DrainCause.of(value.path("cause").asText()) ?: return null
            if (!value.path("at").isIntegralNumber || !value.path("changed").isIntegralNumber) return null
            return Drain(target, cause, state, value.path("at").asLong(), value.path("changed").asLong(), row.modRevision)
                .takeIf { it.rowKey == row.key }
        }
    }
}
