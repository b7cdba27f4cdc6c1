package burlridge.settings

/** A settings file that cannot be used; the message is one line for the operator. */
internal class InvalidSettingsException(
    message: String,
    cause: Throwable? = null,
) : Exception(message, cause)
