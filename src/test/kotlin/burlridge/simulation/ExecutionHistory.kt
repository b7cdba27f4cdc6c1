package burlridge.simulation

/** Records the responses that users got and which task ran where and when, and checks both against the guarantees of the service. */
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
        /** Whether the task belongs to a gang: its tasks are also stopped when another of them is lost, which is not a move. */
        val ofGang: Boolean,
    )

    /** A drain whose acceptance an operator has seen: a task that starts later on a machine that it [covers] violates it. */
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

    /** Returns task starts on drained machines, except within [slackSeconds] of the acceptance: they may have been in flight by then. */
    fun drainViolations(slackSeconds: Double): List<String> =
        starts.mapNotNull { start ->
            acceptedDrains.firstOrNull { it.covers(start.machine) && start.at > it.from + slackSeconds && start.at < it.until }?.let {
                "drain forgotten: ${start.task} starts on ${start.machine} at ${start.at}, ${start.at - it.from} s after the drain"
            }
        }

    /** Returns violations of the limits on stops of tasks outside gangs: [perMinute] within any minute, and [perTask] of one task. */
    fun moveViolations(
        perMinute: Int,
        perTask: Int,
    ): List<String> {
        val nonGangStops = stops.filterNot { it.ofGang }
        val firstOverBudget =
            nonGangStops.firstOrNull { first -> nonGangStops.count { it.at >= first.at && it.at < first.at + MINUTE_SECONDS } > perMinute }
        val movedTooOften = nonGangStops.groupBy { it.task }.filterValues { it.size > perTask }.keys
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

    /** Returns what is wrong with this history; empty if nothing is. All jobs in [expected] must have ended if they were accepted. */
    fun violations(expected: Collection<String>): List<String> {
        val byJob = userResponses.groupBy { it.job }
        return expected
            .filter { job ->
                byJob[job].orEmpty().any { it.isAccepted }
            }.mapNotNull { finalStateViolation(it, byJob.getValue(it)) } +
            byJob.mapNotNull { (job, responses) -> changedFinalState(job, responses) } +
            byJob.mapNotNull { (job, responses) -> forgotten(job, responses) } + overlaps()
    }

    private fun finalStateViolation(
        job: String,
        responses: List<UserResponse>,
    ): String? {
        val finalStates = responses.mapNotNullTo(LinkedHashSet()) { it.finalState }
        return when (finalStates.size) {
            0 -> "lost: $job was accepted and has no final answer"
            1 -> null
            else -> "two finals: $job was called $finalStates"
        }
    }

    private fun changedFinalState(
        job: String,
        responses: List<UserResponse>,
    ): String? {
        val first = responses.filter { it.finalState != null }.minByOrNull { it.answeredAt } ?: return null
        val later =
            responses.firstOrNull { it.askedAt >= first.answeredAt && it.isAccepted && it.jobState != first.jobState } ?: return null
        return "changed final: $job was ${first.jobState} from ${first.member}, then ${later.jobState} from ${later.member}"
    }

    private fun forgotten(
        job: String,
        responses: List<UserResponse>,
    ): String? {
        val accepted = responses.filter { it.isAccepted }.minOfOrNull { it.answeredAt } ?: return null
        val missing = responses.firstOrNull { it.askedAt >= accepted && it.status == NOT_FOUND } ?: return null
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
