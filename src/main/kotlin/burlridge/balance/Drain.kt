package burlridge.balance

import burlridge.json.Json
import burlridge.store.Row
import com.fasterxml.jackson.databind.JsonNode

/** How far a drain has come; only the leader changes it, by a fenced write. */
internal enum class DrainState(
    val wireName: String,
) {
    /** Accepted and durable; nothing has been done for it yet. */
    REQUESTED("requested"),

    /** Its machines are cordoned, and what runs there finishes or moves. */
    DRAINING("draining"),

    /** None of its machines is left; machines that join later and match are drained too. */
    DRAINED("drained"),

    /** Cancelled: what has not moved stays. */
    CANCELLED("cancelled"),
    ;

    internal companion object {
        fun of(wireName: String): DrainState? = entries.firstOrNull { it.wireName == wireName }
    }
}

/** Why the machines are to be emptied. */
internal enum class DrainCause(
    val wireName: String,
) {
    OPERATOR("operator"),

    /** The machine is a straggler; kept in a row so that the next leader need not detect it again. */
    SLOW("slow"),
    ;

    internal companion object {
        fun of(wireName: String): DrainCause? = entries.firstOrNull { it.wireName == wireName }
    }
}

/** One drain, as its row has it. */
internal data class Drain(
    val target: DrainTarget,
    val cause: DrainCause,
    val state: DrainState,
    /** Time of day of the request, in milliseconds. */
    val requestedMillis: Long,
    /** Time of day of the last change, in milliseconds. */
    val changedMillis: Long,
    /** Revision of the row; 0 where there is none yet. */
    val modRevision: Long = 0,
) {
    /** Key of its row. */
    val rowKey: String get() = PREFIX + target.key

    /** Whether machines are cordoned for it. */
    val isActive: Boolean get() = state != DrainState.CANCELLED

    /** The value of its row. */
    fun encode(): JsonNode =
        Json.obj {
            put("st", state.wireName)
            put("cause", cause.wireName)
            put("at", requestedMillis)
            put("changed", changedMillis)
            target.encode(putObject("target"))
        }

    /** Whether [row] holds exactly this change: no other has its state and time. */
    fun isWrittenIn(row: Row): Boolean = decode(row)?.copy(modRevision = modRevision) == this

    internal companion object {
        /** Prefix of the rows of drains. */
        const val PREFIX: String = "drain/"

        /** Null for a row that is damaged or of an unknown version. */
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
