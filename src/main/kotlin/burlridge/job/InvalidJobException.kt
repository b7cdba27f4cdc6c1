package burlridge.job

/** Thrown if a submission or a row does not describe a valid job; [reason] is the answer to the user. */
internal class InvalidJobException(
    val reason: String,
) : Exception(reason)
