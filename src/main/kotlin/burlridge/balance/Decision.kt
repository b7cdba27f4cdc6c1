package burlridge.balance

import burlridge.placement.PlacementReason

/** Something that this package decided, with its reason; [subjects] are the tasks and machines that it is about. */
internal sealed interface Decision {
    val subjects: List<String>
    val text: String

    data class Placed(
        val task: String,
        val machine: String,
        val reason: PlacementReason,
    ) : Decision {
        override val subjects: List<String> get() = listOf(task, machine)
        override val text: String get() = "$task is placed on $machine: ${reason.text}"
    }

    data class Planned(
        val move: Move,
    ) : Decision {
        override val subjects: List<String> get() = listOfNotNull(move.taskName, move.job, move.from, move.to)
        override val text: String get() {
            val what = if (move.isGang) "gang ${move.job} of ${move.tasks}" else move.taskName
            val where = move.to?.let { "to $it, where room is kept" } ?: "to wherever there is room"
            return "$what run ${move.attempt} is moved from ${move.from} $where (${move.reason.wire}), move ${move.count} of it"
        }
    }

    data class RoomGivenUp(
        val move: Move,
    ) : Decision {
        override val subjects: List<String> get() = listOfNotNull(move.taskName, move.to)
        override val text: String
            get() = "room kept on ${move.to} for ${move.taskName} is given up: it came too late, or the machine is out of service"
    }

    data class PutBack(
        val move: Move,
    ) : Decision {
        override val subjects: List<String> get() = listOf(move.taskName, move.from)
        override val text: String get() = "${move.taskName} stays on ${move.from}: its drain was called off before the stop was sent"
    }

    data class BecameHot(
        val machine: String,
        val slowdown: Double,
    ) : Decision {
        override val subjects: List<String> get() = listOf(machine)
        override val text: String
            get() = "$machine is hot and gets nothing new: its tasks take %.2f times as long as elsewhere".format(slowdown)
    }

    data class Cooled(
        val machine: String,
        val slowdown: Double,
    ) : Decision {
        override val subjects: List<String> get() = listOf(machine)
        override val text: String get() = "$machine is not counted as hot any more (slowdown %.2f)".format(slowdown)
    }

    data class LeftForSlowness(
        val machine: String,
    ) : Decision {
        override val subjects: List<String> get() = listOf(machine)
        override val text: String get() = "$machine is left for being slow"
    }

    data class Covered(
        val machine: String,
        val drain: Drain,
    ) : Decision {
        override val subjects: List<String> get() = listOf(machine)
        override val text: String
            get() = "$machine is out of service: drain of ${drain.target.kind} ${drain.target.value} (${drain.cause.wire})"
    }

    data class BackInService(
        val machine: String,
    ) : Decision {
        override val subjects: List<String> get() = listOf(machine)
        override val text: String get() = "$machine is back in service: no drain covers it"
    }
}
