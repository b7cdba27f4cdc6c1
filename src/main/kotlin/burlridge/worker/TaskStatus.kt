package burlridge.worker

/** The state of a task, as its worker reports it. */
internal sealed interface TaskState {
    /** The state as the protocol spells it. */
    val text: String

    /** A state that this version knows. */
    enum class Known(
        override val text: String,
    ) : TaskState {
        /** The image of the task is being pulled. */
        FETCHING("fetching"),

        /** The task waits until every task of its gang has its image. */
        AWAITING_GANG("gathering"),

        RUNNING("running"),

        /** The task has been stopped and saves its progress. */
        CHECKPOINTING("saving"),

        /** The task has ended; [TaskStatus.exitReason] says why. */
        EXITED("exited"),
    }

    /** A state of a later protocol version: the machine has the task, and that is all that is known. */
    data class Unrecognized(
        override val text: String,
    ) : TaskState

    companion object {
        private val byText: Map<String, TaskState> = Known.entries.associateBy { it.text }

        /** The state that the protocol spells [text]. */
        fun of(text: String): TaskState = byText[text] ?: Unrecognized(text)
    }
}

/** Why a task ended, as its worker reports it. */
internal sealed interface ExitReason {
    /** The reason as the protocol spells it. */
    val text: String

    /** A reason that this version knows. */
    enum class Known(
        override val text: String,
    ) : ExitReason {
        /** The task ran to its end. */
        DONE("done"),

        /** The leader stopped the task. */
        STOPPED("stopped"),

        /** The task failed by itself. */
        ERROR("error"),

        /** Another task of its gang ended. */
        GANG_LOST("peers"),

        /** Its gang was not complete in time. */
        GANG_INCOMPLETE("incomplete"),

        /** The start was refused: the machine lacks the resources. */
        FULL("full"),

        /** The start was refused: another attempt of the task is on the machine. */
        IN_USE("in_use"),

        /** The start was refused: the worker cannot find out what the task is. */
        TASK_UNKNOWN("unknown"),
    }

    /** A reason of a later protocol version; treated as a refused start. */
    data class Unrecognized(
        override val text: String,
    ) : ExitReason

    companion object {
        private val byText: Map<String, ExitReason> = Known.entries.associateBy { it.text }

        /** The reason that the protocol spells [text]. */
        fun of(text: String): ExitReason = byText[text] ?: Unrecognized(text)
    }
}

/** A task as its worker reports it. */
internal data class TaskStatus(
    /** The task's name, `<job>/<index>`. */
    val task: String,
    val attempt: Int,
    val state: TaskState,
    /** Null while the task has not ended, and where its worker gives no reason. */
    val exitReason: ExitReason?,
    /** Whether a stopped task saved its progress. */
    val saved: Boolean,
) {
    val isExited: Boolean get() = state == TaskState.Known.EXITED

    /** The task and its attempt as one name. */
    val key: String get() = taskKey(task, attempt)
}

/** The name of one [attempt] of [task]. */
internal fun taskKey(
    task: String,
    attempt: Int,
): String = "$task@$attempt"
