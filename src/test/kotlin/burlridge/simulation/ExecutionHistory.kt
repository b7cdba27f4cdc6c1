package burlridge.simulation

/** What users were told and what ran where, in the order of time. */
internal class ExecutionHistory {
    data class UserResponse(
        val job: String,
        val member: String,
        val status: Int,
        val jobState: String?,
        val askedAt: Double,
        val answeredAt: Double,
    ) {
        val finalState: String? get() = jobState?.takeIf { status < MULTIPLE_CHOICES && it in FINAL_STATES }
        val isAccepted: Boolean get() = status < MULTIPLE_CHOICES
    }

    data class TaskRun(
        val task: String,
        val machine: String,
        val from: Double,
        val until: Double,
    )

    val userResponses = ArrayList<UserResponse>()
    val taskRuns = ArrayList<TaskRun>()
    private val runningSince = HashMap<Pair<String, String>, Double>()

    data class TaskStart(
        val task: String,
        val machine: String,
        val at: Double,
    )

    data class TaskStop(
        val task: String,
        val at: Double,
        /** Tasks of a gang are also stopped when another of theirs is lost, which is no move. */
        val ofGang: Boolean,
    )

    /** A drain that an operator was told of: what is begun on the machines that it [covers] from then on breaks it. */
    class AcceptedDrain(
        val covers: (machine: String) -> Boolean,
        val from: Double,
        var until: Double = Double.MAX_VALUE,
    )

    val starts = ArrayList<TaskStart>()
    val stops = ArrayList<TaskStop>()
    val acceptedDrains = ArrayList<AcceptedDrain>()

    fun stopped(
        task: String,
        at: Double,
        ofGang: Boolean = false,
    ) {
        stops += TaskStop(task, at, ofGang)
    }

    /** Starts on drained machines. What was on its way when the drain was accepted may still begin, within [slackSeconds]. */
    fun drainViolations(slackSeconds: Double): List<String> =
        starts.mapNotNull { start ->
            acceptedDrains.firstOrNull { it.covers(start.machine) && start.at > it.from + slackSeconds && start.at < it.until }?.let {
                "drain forgotten: ${start.task} starts on ${start.machine} at ${start.at}, ${start.at - it.from} s after the drain"
            }
        }

    /** More stops of single tasks within any minute than [perMinute], or of any of them than [perTask]. */
    fun moveViolations(
        perMinute: Int,
        perTask: Int,
    ): List<String> {
        val singleTaskStops = stops.filterNot { it.ofGang }
        val firstOverBudget =
            singleTaskStops.firstOrNull { first ->
                singleTaskStops.count {
                    it.at >= first.at &&
                        it.at < first.at + MINUTE_SECONDS
                } >
                    perMinute
            }
        val movedTooOften = singleTaskStops.groupBy { it.task }.filterValues { it.size > perTask }.keys
        return listOfNotNull(firstOverBudget?.let { "over budget: more than $perMinute stops from ${it.at} on" }) +
            movedTooOften.map { "moved too often: $it" }
    }

    fun started(
        task: String,
        machine: String,
        at: Double,
    ) {
        starts += TaskStart(task, machine, at)
        runningSince[task to machine] = at
    }

    fun ended(
        task: String,
        machine: String,
        at: Double,
    ) {
        runningSince.remove(task to machine)?.let { taskRuns += TaskRun(task, machine, it, at) }
    }

    /** What is wrong with this history, the jobs of [expected] all being over by its end; empty for a good one. */
    fun violations(expected: Collection<String>): List<String> {
        val byJob = userResponses.groupBy { it.job }
        return expected
            .filter { job ->
                byJob[job].orEmpty().any { it.isAccepted }
            }.mapNotNull { finalStateViolation(it, byJob.getValue(it)) } +
            byJob.mapNotNull { (job, answers) -> changedFinalState(job, answers) } +
            byJob.mapNotNull { (job, answers) -> forgotten(job, answers) } + overlaps()
    }

    private fun finalStateViolation(
        job: String,
        answers: List<UserResponse>,
    ): String? {
        val finalStates = answers.mapNotNullTo(LinkedHashSet()) { it.finalState }
        return when (finalStates.size) {
            0 -> "lost: $job was accepted and has no final answer"
            1 -> null
            else -> "two finals: $job was called $finalStates"
        }
    }

    private fun changedFinalState(
        job: String,
        answers: List<UserResponse>,
    ): String? {
        val first = answers.filter { it.finalState != null }.minByOrNull { it.answeredAt } ?: return null
        val later = answers.firstOrNull { it.askedAt >= first.answeredAt && it.isAccepted && it.jobState != first.jobState } ?: return null
        return "changed final: $job was ${first.jobState} from ${first.member}, then ${later.jobState} from ${later.member}"
    }

    private fun forgotten(
        job: String,
        answers: List<UserResponse>,
    ): String? {
        val accepted = answers.filter { it.isAccepted }.minOfOrNull { it.answeredAt } ?: return null
        val missing = answers.firstOrNull { it.askedAt >= accepted && it.status == NOT_FOUND } ?: return null
        return "forgotten: $job is answered 404 by ${missing.member}"
    }

    private fun overlaps(): List<String> =
        taskRuns.groupBy { it.task }.values.mapNotNull { runs ->
            val inOrder = runs.sortedBy { it.from }
            inOrder.zipWithNext().firstOrNull { (one, next) -> next.from < one.until }?.let { (one, next) ->
                "overlap: ${one.task} starts on ${next.machine} while on ${one.machine}"
            }
        }

    private companion object {
        const val MULTIPLE_CHOICES = 300
        const val NOT_FOUND = 404
        const val MINUTE_SECONDS = 60.0
        val FINAL_STATES = setOf("done", "withdrawn")
    }
}
