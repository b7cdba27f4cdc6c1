package burlridge.balance

import burlridge.json.Json
import burlridge.store.Row
import com.fasterxml.jackson.databind.JsonNode

/** The state of a drain; only the leader changes it, by a fenced write. */
internal enum class DrainState(
    val wireName: String,
) {
    /** Accepted and durable; processing has not begun. */
    REQUESTED("requested"),

    /** Its machines are cordoned; their tasks finish or are moved. */
    DRAINING("draining"),

    /** None of its machines is left. Matching machines that join later are drained too. */
    DRAINED("drained"),

    /** Cancelled; tasks that have not been moved yet stay where they are. */
    CANCELLED("cancelled"),
    ;

    internal companion object {
        fun of(wireName: String): DrainState? = entries.firstOrNull { it.wireName == wireName }
    }
}

/** Why machines are drained. */
internal enum class DrainCause(
    val wireName: String,
) {
    OPERATOR("operator"),

    /** The machine is a straggler. Stored in a row so that the next leader need not detect it again. */
    SLOW("slow"),
    ;

    internal companion object {
        fun of(wireName: String): DrainCause? = entries.firstOrNull { it.wireName == wireName }
    }
}

/** One drain, as stored in its row. */
internal data class Drain(
    val target: DrainTarget,
    val cause: DrainCause,
    val state: DrainState,
    /** Wall-clock time of the request, in milliseconds. */
    val requestedMillis: Long,
    /** Wall-clock time of the last change, in milliseconds. */
    val changedMillis: Long,
    /** Revision at which the row was last modified; 0 if there is no row yet. */
    val modRevision: Long = 0,
) {
    /** Key of the row. */
    val rowKey: String get() = PREFIX + target.key

    /** Whether machines are cordoned for this drain. */
    val isActive: Boolean get() = state != DrainState.CANCELLED

    /** Encodes the value of the row. */
    fun encode(): JsonNode =
        Json.obj {
            put("st", state.wireName)
            put("cause", cause.wireName)
            put("at", requestedMillis)
            put("changed", changedMillis)
            target.encode(putObject("target"))
        }

    /** Whether [row] holds exactly this change; no other change has the same state and time. */
    fun isWrittenIn(row: Row): Boolean = decode(row)?.copy(modRevision = modRevision) == this

    internal companion object {
        /** Key prefix of the rows of drains. */
        const val PREFIX: String = "drain/"

        /** Decodes [row]; null if it is damaged or written by an unknown version. */
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
