package burlridge.placement

/** Why a task was placed otherwise than by best fit over a sample. */
internal enum class PlacementReason(
    val text: String,
) {
    RESERVED_CAPACITY("room was kept there for it"),
    AVOIDED_AFTER_WAIT("it had waited too long to go round a hot machine"),
    COLD_FOR_AIM("its class is to start at once, and only machines that have just joined had room"),
}
