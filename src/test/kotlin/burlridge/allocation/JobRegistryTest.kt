package burlridge.allocation

import burlridge.app.ClassArchiveTraining
import burlridge.core.StepContext
import burlridge.json.Json
import burlridge.leadership.ElectionCause
import burlridge.leadership.Leadership
import burlridge.leadership.LeadershipListener
import burlridge.leadership.StepDownReason
import burlridge.settings.Settings
import burlridge.store.Row
import burlridge.store.StoreClient
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** What a new leader makes of the rows that it finds. */
internal class JobRegistryTest {
    private val context = StepContext(Settings.parse(ClassArchiveTraining.settings()), 1)
    private val store = StoreClient(context)
    private val nobody =
        object : LeadershipListener {
            override fun onElected(cause: ElectionCause) = Unit

            override fun onDeposed(
                term: Long,
                reason: StepDownReason,
            ) = Unit
        }
    private val registry = JobRegistry(context, store, Leadership(context, store, nobody))

    private fun live(
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

    /** Starts are task, run, machine, session, zone and whether lost. */
    private fun batch(
        slot: String,
        job: String,
        vararg starts: String,
    ) {
        val jobs = """{"$job":["crew",1.0,0.0,1.0,[${starts.joinToString()}]]}"""
        val value = """{"st":"claimed","n":"$slot","tok":1,"until":0,"zones":["a"],"jobs":$jobs}"""
        registry.allocations.loadBatch(Row("round/$slot", Json.parse(value), 5))
    }

    private fun on(machine: String): Map<String, Int> =
        registry.allocations.byMachine[machine]
            .orEmpty()
            .mapValues { it.value.attempt }

    /** Found by a day of drawn troubles: the later run was on no machine's list any more, and its job was never over. */
    @Test
    fun `of two runs on one machine the later stands, in whatever order their rows are read`() {
        live("j-1", 1, "array")
        batch("1-0", "j-1", """[0,2,"m-1",1,0,0]""")
        batch("1-1", "j-1", """[0,1,"m-1",1,0,0]""")
        registry.reconcileLoaded()
        assertEquals(mapOf("j-1/0" to 2), on("m-1"))
        assertEquals(
            1.0,
            registry.allocations.usageByTeam
                .getValue("crew")
                .cpus,
        )
    }

    @Test
    fun `a gang that was claimed in part is given up, and its number is not used again`() {
        live("j-1", 3, "ensemble")
        batch("1-0", "j-1", """[0,4,"m-1",1,0,0]""", """[1,4,"m-2",1,0,0]""")
        registry.reconcileLoaded()
        val job = registry.jobs.getValue("j-1")
        assertEquals(GangState.IDLE, GangRules.state(job))
        assertEquals(4, job.highestAttempt)
        assertEquals(
            0.0,
            registry.allocations.usageByTeam
                .getValue("crew")
                .cpus,
        )
    }

    @Test
    fun `a gang that was claimed whole may be anywhere, and one that has lost a task is to be stopped`() {
        live("j-1", 2, "ensemble")
        live("j-2", 2, "ensemble")
        batch("1-0", "j-1", """[0,1,"m-1",1,0,0]""", """[1,1,"m-2",1,0,0]""")
        batch("1-1", "j-2", """[0,1,"m-1",1,0,1]""", """[1,1,"m-2",1,0,0]""")
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
