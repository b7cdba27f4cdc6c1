package burlridge.worker

/** State of a task, as reported by its worker. */
internal sealed interface TaskState {
    /** Name of the state in the protocol. */
    val text: String

    /** A state that this version recognizes. */
    enum class Known(
        override val text: String,
    ) : TaskState {
        /** The image of the task is being pulled. */
        FETCHING("fetching"),

        /** The task has its image and waits until every task of its gang has its own. */
        AWAITING_GANG("gathering"),

        RUNNING("running"),

        /** The task is being stopped and saves its progress. */
        CHECKPOINTING("saving"),

        /** The task has ended for the reason in [TaskStatus.exitReason]. */
        EXITED("exited"),
    }

    /** A state of a later protocol version; all that is known is that the machine has the task. */
    data class Unrecognized(
        override val text: String,
    ) : TaskState

    companion object {
        private val byText: Map<String, TaskState> = Known.entries.associateBy { it.text }

        /** Returns the state named [text] in the protocol. */
        fun of(text: String): TaskState = byText[text] ?: Unrecognized(text)
    }
}

/** Reason why a task ended, as reported by its worker. */
internal sealed interface ExitReason {
    /** Name of the reason in the protocol. */
    val text: String

    /** A reason that this version recognizes. */
    enum class Known(
        override val text: String,
    ) : ExitReason {
        /** The task completed. */
        DONE("done"),

        /** The leader stopped the task. */
        STOPPED("stopped"),

        /** The task itself failed. */
        ERROR("error"),

        /** Another task of its gang ended. */
        GANG_LOST("peers"),

        /** Its gang was not complete in time. */
        GANG_INCOMPLETE("incomplete"),

        /** The start was refused: the machine does not have enough free resources. */
        FULL("full"),

        /** The start was refused: another attempt of the task is on the machine. */
        IN_USE("in_use"),

        /** The start was refused: the worker could not get the description of the task. */
        TASK_UNKNOWN("unknown"),
    }

    /** A reason of a later protocol version; treated as a refused start. */
    data class Unrecognized(
        override val text: String,
    ) : ExitReason

    companion object {
        private val byText: Map<String, ExitReason> = Known.entries.associateBy { it.text }

        /** Returns the reason named [text] in the protocol. */
        fun of(text: String): ExitReason = byText[text] ?: Unrecognized(text)
    }
}

/** One attempt of a task, as reported by its worker. */
internal data class TaskStatus(
    /** Name of the task, `<job>/<index>`. */
    val task: String,
    val attempt: Int,
    val state: TaskState,
    /** Null while the task has not ended, or if the worker reports no reason. */
    val exitReason: ExitReason?,
    /** Whether a stopped task has saved its progress. */
    val saved: Boolean,
) {
    val isExited: Boolean get() = state == TaskState.Known.EXITED

    /** Key of this attempt of the task, see [taskKey]. */
    val key: String get() = taskKey(task, attempt)
}

/** Returns the key that identifies one [attempt] of [task]. */
internal fun taskKey(
    task: String,
    attempt: Int,
): String = "$task@$attempt"
