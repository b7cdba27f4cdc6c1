package burlridge.simulation

/** What users were told and what ran where, in the order of time. */
internal class ExecutionHistory {
    data class Told(
        val job: String,
        val member: String,
        val status: Int,
        val standing: String?,
        val askedAt: Double,
        val answeredAt: Double,
    ) {
        val final: String? get() = standing?.takeIf { status < MULTIPLE_CHOICES && it in FINALS }
        val accepts: Boolean get() = status < MULTIPLE_CHOICES
    }

    data class Ran(
        val task: String,
        val machine: String,
        val from: Double,
        val until: Double,
    )

    val told = ArrayList<Told>()
    val ran = ArrayList<Ran>()
    private val running = HashMap<Pair<String, String>, Double>()

    data class Started(
        val task: String,
        val machine: String,
        val at: Double,
    )

    data class Stopped(
        val task: String,
        val at: Double,
        /** Tasks of a gang are also stopped when another of theirs is lost, which is no move. */
        val ofGang: Boolean,
    )

    /** A drain that an operator was told of: what is begun on the machines that it [covers] from then on breaks it. */
    class Drained(
        val covers: (machine: String) -> Boolean,
        val from: Double,
        var until: Double = Double.MAX_VALUE,
    )

    val starts = ArrayList<Started>()
    val stops = ArrayList<Stopped>()
    val drained = ArrayList<Drained>()

    fun stopped(
        task: String,
        at: Double,
        ofGang: Boolean = false,
    ) {
        stops += Stopped(task, at, ofGang)
    }

    /** Starts on drained machines. What was on its way when the drain was accepted may still begin, within [slackSeconds]. */
    fun drainBreaches(slackSeconds: Double): List<String> =
        starts.mapNotNull { start ->
            drained.firstOrNull { it.covers(start.machine) && start.at > it.from + slackSeconds && start.at < it.until }?.let {
                "drain forgotten: ${start.task} starts on ${start.machine} at ${start.at}, ${start.at - it.from} s after the drain"
            }
        }

    /** More stops of single tasks within any minute than [perMinute], or of any of them than [perTask]. */
    fun moveBreaches(
        perMinute: Int,
        perTask: Int,
    ): List<String> {
        val alone = stops.filterNot { it.ofGang }
        val crowded = alone.firstOrNull { first -> alone.count { it.at >= first.at && it.at < first.at + MINUTE_SECONDS } > perMinute }
        val often = alone.groupBy { it.task }.filterValues { it.size > perTask }.keys
        return listOfNotNull(crowded?.let { "over budget: more than $perMinute stops from ${it.at} on" }) +
            often.map { "moved too often: $it" }
    }

    fun started(
        task: String,
        machine: String,
        at: Double,
    ) {
        starts += Started(task, machine, at)
        running[task to machine] = at
    }

    fun ended(
        task: String,
        machine: String,
        at: Double,
    ) {
        running.remove(task to machine)?.let { ran += Ran(task, machine, it, at) }
    }

    /** What is wrong with this history, the jobs of [expected] all being over by its end; empty for a good one. */
    fun breaches(expected: Collection<String>): List<String> {
        val byJob = told.groupBy { it.job }
        return expected.filter { job -> byJob[job].orEmpty().any { it.accepts } }.mapNotNull { finalBreach(it, byJob.getValue(it)) } +
            byJob.mapNotNull { (job, answers) -> changedFinal(job, answers) } +
            byJob.mapNotNull { (job, answers) -> forgotten(job, answers) } + overlaps()
    }

    private fun finalBreach(
        job: String,
        answers: List<Told>,
    ): String? {
        val finals = answers.mapNotNullTo(LinkedHashSet()) { it.final }
        return when (finals.size) {
            0 -> "lost: $job was accepted and has no final answer"
            1 -> null
            else -> "two finals: $job was called $finals"
        }
    }

    private fun changedFinal(
        job: String,
        answers: List<Told>,
    ): String? {
        val first = answers.filter { it.final != null }.minByOrNull { it.answeredAt } ?: return null
        val later = answers.firstOrNull { it.askedAt >= first.answeredAt && it.accepts && it.standing != first.standing } ?: return null
        return "changed final: $job was ${first.standing} from ${first.member}, then ${later.standing} from ${later.member}"
    }

    private fun forgotten(
        job: String,
        answers: List<Told>,
    ): String? {
        val accepted = answers.filter { it.accepts }.minOfOrNull { it.answeredAt } ?: return null
        val missing = answers.firstOrNull { it.askedAt >= accepted && it.status == NOT_FOUND } ?: return null
        return "forgotten: $job is answered 404 by ${missing.member}"
    }

    private fun overlaps(): List<String> =
        ran.groupBy { it.task }.values.mapNotNull { runs ->
            val inOrder = runs.sortedBy { it.from }
            inOrder.zipWithNext().firstOrNull { (one, next) -> next.from < one.until }?.let { (one, next) ->
                "overlap: ${one.task} starts on ${next.machine} while on ${one.machine}"
            }
        }

    private companion object {
        const val MULTIPLE_CHOICES = 300
        const val NOT_FOUND = 404
        const val MINUTE_SECONDS = 60.0
        val FINALS = setOf("done", "withdrawn")
    }
}
