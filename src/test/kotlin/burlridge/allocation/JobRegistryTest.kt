package burlridge.allocation

import burlridge.app.ClassArchiveTraining
import burlridge.core.StepContext
import burlridge.json.Json
import burlridge.leadership.Leadership
import burlridge.settings.Settings
import burlridge.simulation.AllocationAudit
import burlridge.store.Row
import burlridge.store.StoreClient
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Reconciliation of the rows that a new leader finds. */
internal class JobRegistryTest {
    private val context = StepContext(Settings.parse(ClassArchiveTraining.settings()), 1)
    private val store = StoreClient(context)
    private val registry = JobRegistry(context, store, Leadership(context, store, IgnoringListener))

    private fun admit(
        job: String,
        tasks: Int,
        shape: String,
    ) {
        val row =
            """{"job":{"id":"$job","lane":"l","crew":"crew","shape":"$shape","urgency":"high","pieces":$tasks,"vcpus":1.0,"gpus":0.0,
            "ramGb":1.0,"bundle":"i","pullGb":1.0,"together":false,"spread":false,"loaners":true,"guessS":1.0,"markEveryS":0.0,
            "markCostS":0.0},"fp":"x","at":0}"""
        registry.admit(Row("live/$job", Json.parse(row), 1))
    }

    /** Each of [allocations] is task, attempt, machine, agent epoch, index of the zone, and 1 if it is lost. */
    private fun loadBatch(
        slot: String,
        job: String,
        vararg allocations: String,
    ) {
        val jobs = """{"$job":["crew",1.0,0.0,1.0,[${allocations.joinToString()}]]}"""
        val value = """{"st":"claimed","n":"$slot","tok":1,"until":0,"zones":["a"],"jobs":$jobs}"""
        registry.allocations.loadBatch(Row("round/$slot", Json.parse(value), 5))
    }

    private fun attemptsOn(machine: String): Map<String, Int> =
        registry.allocations.byMachine[machine]
            .orEmpty()
            .mapValues { it.value.attempt }

    private fun cpusOf(team: String): Double =
        registry.allocations.usageByTeam[team]
            ?.cpus ?: 0.0

    /** Guards against a failure found by random fault injection: the later attempt was missing on its machine and its job never ended. */
    @Test
    fun `only the later of two attempts on one machine is open, even if its row is loaded first`() {
        admit("j-1", 1, "array")
        loadBatch("1-0", "j-1", """[0,2,"m-1",1,0,0]""")
        loadBatch("1-1", "j-1", """[0,1,"m-1",1,0,0]""")
        registry.reconcileLoaded()
        assertEquals(mapOf("j-1/0" to 2), attemptsOn("m-1"))
        assertEquals(1.0, cpusOf("crew"))
    }

    /** How the job of a loaded allocation looks to a new leader. */
    private enum class JobRow { ACTIVE, ENDED, UNREADABLE }

    private fun load(
        jobRow: JobRow,
        shape: String,
    ) {
        when (jobRow) {
            JobRow.ACTIVE -> admit("j-1", 1, shape)
            JobRow.ENDED -> Unit
            JobRow.UNREADABLE -> registry.admit(Row("live/j-1", Json.parse("""{"job":{"id":"j-1"},"fp":"x","at":0}"""), 1))
        }
    }

    /** Guards against a team that loses a part of its quota for a whole term: both attempts were counted, and one could not be released. */
    @ParameterizedTest
    @ValueSource(strings = ["array", "ensemble"])
    fun `only the latest of three attempts is counted, whatever became of its job and in whatever order the rows are loaded`(
        shape: String,
    ) {
        val orders = listOf(listOf(1, 2, 3), listOf(1, 3, 2), listOf(2, 1, 3), listOf(2, 3, 1), listOf(3, 1, 2), listOf(3, 2, 1))
        for (jobRow in JobRow.entries) {
            for (order in orders) {
                registry.clear()
                load(jobRow, shape)
                order.forEach { attempt -> loadBatch("1-$attempt", "j-1", """[0,$attempt,"m-${1 + attempt % 2}",1,0,0]""") }
                registry.reconcileLoaded()
                assertEquals(emptyList<String>(), AllocationAudit(registry).differences(), "$jobRow $order")
                assertEquals(mapOf("j-1/0" to 3), attemptsOn("m-2"), "$jobRow $order")
                assertEquals(emptyMap<String, Int>(), attemptsOn("m-1"), "$jobRow $order")
                assertEquals(1.0, cpusOf("crew"), "$jobRow $order")
            }
        }
    }

    @Test
    fun `no attempt of an ended job is counted if its latest one is marked as lost`() {
        loadBatch("1-0", "j-1", """[0,2,"m-1",1,0,1]""")
        loadBatch("1-1", "j-1", """[0,1,"m-1",1,0,0]""")
        registry.reconcileLoaded()
        assertEquals(0.0, cpusOf("crew"))
        assertEquals(emptyMap<String, Int>(), attemptsOn("m-1"))
    }

    @Test
    fun `nothing is counted on a machine that is gone, and rows loaded twice are counted once`() {
        repeat(2) {
            registry.clear()
            loadBatch("1-0", "j-1", """[0,1,"m-1",1,0,0]""", """[1,1,"m-1",1,0,0]""")
            loadBatch("1-1", "j-1", """[0,2,"m-1",1,0,0]""")
        }
        registry.reconcileLoaded()
        assertEquals(2.0, cpusOf("crew"))
        registry.allocations.notEnded.forEach { registry.allocations.release(it, isLost = true) }
        registry.allocations.removeMachine("m-1")
        assertEquals(0.0, cpusOf("crew"))
        assertEquals(emptySet<String>(), registry.allocations.usageByMachine.keys)
    }

    @Test
    fun `a partially allocated gang attempt is released, and its number is not reused`() {
        admit("j-1", 3, "ensemble")
        loadBatch("1-0", "j-1", """[0,4,"m-1",1,0,0]""", """[1,4,"m-2",1,0,0]""")
        registry.reconcileLoaded()
        val job = registry.jobs.getValue("j-1")
        assertEquals(GangState.IDLE, GangRules.state(job))
        assertEquals(4, job.highestAttempt)
        assertEquals(0.0, cpusOf("crew"))
    }

    @Test
    fun `a fully allocated gang attempt is restored, and one that has lost a task is marked to be stopped`() {
        admit("j-1", 2, "ensemble")
        admit("j-2", 2, "ensemble")
        loadBatch("1-0", "j-1", """[0,1,"m-1",1,0,0]""", """[1,1,"m-2",1,0,0]""")
        loadBatch("1-1", "j-2", """[0,1,"m-1",1,0,1]""", """[1,1,"m-2",1,0,0]""")
        registry.reconcileLoaded()
        assertEquals(GangState.AWAITING_GANG, GangRules.state(registry.jobs.getValue("j-1")))
        assertEquals(GangState.BROKEN, GangRules.state(registry.jobs.getValue("j-2")))
        assertEquals(
            0.0,
            registry.allocations.byMachine
                .getValue("m-2")
                .getValue("j-2/1")
                .stopGraceSeconds,
        )
    }
}
