package burlridge.leadership

/** How this member came to lead. */
internal sealed interface ElectionCause {
    /** The cause as operators see it. */
    val text: String

    /** No leader row existed. */
    data object LeaseExpired : ElectionCause {
        override val text: String = "the leader's lease had ended"
    }

    /** The leader row still named this member, from before it restarted or was deposed. */
    data object OwnRowFound : ElectionCause {
        override val text: String = "its former self led"
    }

    /** [from] transferred its leadership to this member; null if its name is not known. */
    data class HandedOver(
        val from: String?,
    ) : ElectionCause {
        override val text: String get() = "handed over by ${from ?: "its leader"}"
    }
}
