package burlridge.placement

/** Why a task was placed by another rule than best fit over a sample; [text] is shown to operators. */
internal enum class PlacementReason(
    val text: String,
) {
    RESERVED_CAPACITY("room was kept there for it"),
    AVOIDED_AFTER_WAIT("it had waited too long to go round a hot machine"),
    SLOW_STARTING_FOR_OBJECTIVE("its class is to start at once, and only machines that have just joined had room"),
}
