package burlridge.job

/** A submission does not describe a job; [reason] is the answer to its user. */
internal class InvalidJobException(
    val reason: String,
) : Exception(reason)
