package burlridge.balance

import burlridge.placement.PlacementReason

/** A decision of this package with its reason, which operators can read with `burlridge explain`. */
internal sealed interface Decision {
    /** Name of this kind of decision in responses and counters; part of the external interface, so independent of the class name. */
    val kind: String

    /** Names of the jobs, tasks and machines that the decision concerns. */
    val subjects: List<String>

    /** The decision and its reason in one sentence, for operators. */
    val text: String

    /** A task was placed by another rule than best fit over a sample of machines. */
    data class TaskPlaced(
        val task: String,
        val machine: String,
        val reason: PlacementReason,
    ) : Decision {
        override val kind: String get() = "Placed"
        override val subjects: List<String> get() = listOf(task, machine)
        override val text: String get() = "$task is placed on $machine: ${reason.text}"
    }

    /** A move of a running task or gang was planned. */
    data class MovePlanned(
        val move: Move,
    ) : Decision {
        override val kind: String get() = "Planned"
        override val subjects: List<String> get() = listOfNotNull(move.taskName, move.job, move.from, move.to)
        override val text: String get() {
            val what = if (move.isGang) "gang ${move.job} of ${move.taskCount}" else move.taskName
            val where = move.to?.let { "to $it, where room is kept" } ?: "to wherever there is room"
            return "$what run ${move.attempt} is moved from ${move.from} $where (${move.reason.wireName}), move ${move.moveNumber} of it"
        }
    }

    /** The capacity reserved at the target of a move was released. */
    data class ReservationReleased(
        val move: Move,
    ) : Decision {
        override val kind: String get() = "RoomGivenUp"
        override val subjects: List<String> get() = listOfNotNull(move.taskName, move.to)
        override val text: String
            get() = "room kept on ${move.to} for ${move.taskName} is given up: it came too late, or the machine is out of service"
    }

    /** A planned move was revoked before its stop was sent. */
    data class MoveRevoked(
        val move: Move,
    ) : Decision {
        override val kind: String get() = "PutBack"
        override val subjects: List<String> get() = listOf(move.taskName, move.from)
        override val text: String get() = "${move.taskName} stays on ${move.from}: its drain was called off before the stop was sent"
    }

    /** A machine became hot: it receives no new tasks because its tasks are slow. */
    data class MachineBecameHot(
        val machine: String,
        /** Run time of its tasks as a multiple of the run time elsewhere. */
        val slowdown: Double,
    ) : Decision {
        override val kind: String get() = "BecameHot"
        override val subjects: List<String> get() = listOf(machine)
        override val text: String
            get() = "$machine is hot and gets nothing new: its tasks take %.2f times as long as elsewhere".format(slowdown)
    }

    /** A machine is no longer hot and receives new tasks again. */
    data class MachineCooledDown(
        val machine: String,
        /** Run time of its tasks as a multiple of the run time elsewhere. */
        val slowdown: Double,
    ) : Decision {
        override val kind: String get() = "Cooled"
        override val subjects: List<String> get() = listOf(machine)
        override val text: String get() = "$machine is not counted as hot any more (slowdown %.2f)".format(slowdown)
    }

    /** A machine is drained and returned because it is a straggler. */
    data class StragglerEvicted(
        val machine: String,
    ) : Decision {
        override val kind: String get() = "LeftForSlowness"
        override val subjects: List<String> get() = listOf(machine)
        override val text: String get() = "$machine is left for being slow"
    }

    /** A machine was cordoned because a drain covers it. */
    data class MachineCordoned(
        val machine: String,
        val drain: Drain,
    ) : Decision {
        override val kind: String get() = "Covered"
        override val subjects: List<String> get() = listOf(machine)
        override val text: String
            get() = "$machine is out of service: drain of ${drain.target.kind} ${drain.target.value} (${drain.cause.wireName})"
    }

    /** A machine was uncordoned because no drain covers it any more. */
    data class MachineUncordoned(
        val machine: String,
    ) : Decision {
        override val kind: String get() = "BackInService"
        override val subjects: List<String> get() = listOf(machine)
        override val text: String get() = "$machine is back in service: no drain covers it"
    }
}
