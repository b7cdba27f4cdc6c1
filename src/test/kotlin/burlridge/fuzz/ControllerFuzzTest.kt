package burlridge.fuzz

import burlridge.job.InvalidJobException
import burlridge.job.JobSpec
import burlridge.job.JobSpecCodec
import burlridge.json.Json
import burlridge.message.HandoverMessage
import burlridge.message.PeerMessage
import burlridge.settings.OperatorSettings
import burlridge.simulation.SimulatedCluster
import burlridge.simulation.job
import burlridge.simulation.submit
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/**
 * Seeded fuzz of whole clusters in virtual time: an exception that leaves a step fails the test, as it would end the process. More inputs
 * on demand: `mvn test -Dtest=ControllerFuzzTest -Dfuzz.rounds=200 -Dfuzz.seed=2`.
 */
internal class ControllerFuzzTest {
    private val rounds = System.getProperty("fuzz.rounds")?.toInt() ?: 4
    private val firstSeed = System.getProperty("fuzz.seed")?.toInt() ?: 1

    private class Answer(
        val member: String,
        val status: Int,
        val body: String,
    )

    private fun newCluster(seed: Int): SimulatedCluster {
        val operator = OperatorSettings.parse("[failover]\n[balance]\n")
        return SimulatedCluster(seed, operatorOf = { operator })
    }

    private fun SimulatedCluster.submitAccepted(): JobSpec = job(1, 3, runSeconds = 60.0).also { spec -> clock.after(4.0) { submit(spec) } }

    private fun SimulatedCluster.assertUnharmed(accepted: JobSpec) {
        run(clock.now + 120.0)
        assertEquals(emptyList<String>(), invariants.violations)
        assertTrue(invariants.finished(accepted.id), "the job accepted before has not finished")
    }

    private fun isValid(body: String): Boolean =
        try {
            JobSpecCodec.decode(Json.parseOrNull(body))
            true
        } catch (_: InvalidJobException) {
            false
        }

    @Test
    fun `submissions get the same final answer from every member, and only accepted ones are stored and read back`() {
        repeat(rounds) { round ->
            val random = Random(firstSeed + round)
            val mutator = InputMutator(random)
            val cluster = newCluster(firstSeed + round)
            val accepted = cluster.submitAccepted()
            cluster.run(20.0)
            // A number of its own for each, so that no two have the same id unless the mutation changes it.
            val bodies = List(SUBMISSIONS) { mutator.mutate(Examples.JOB.replace("j-000009", "j-%06d".format(FIRST_ID + it))) }
            val answers = bodies.map { ArrayList<Answer>() }
            val restartAt = SUBMISSIONS * INTERVAL * 2
            bodies.forEachIndexed { i, body ->
                cluster.members.forEachIndexed { m, member ->
                    cluster.clock.after(i * INTERVAL + m) {
                        cluster.request("fuzz", member, "POST", "/api/jobs", body, 5.0) { status, text ->
                            answers[i] +=
                                Answer(member, status, text)
                        }
                    }
                }
                cluster.clock.after(restartAt + RESTART_SECONDS + i * INTERVAL) {
                    cluster.request("fuzz", cluster.anyMember(), "POST", "/api/jobs", body, 5.0) { status, text ->
                        answers[i] += Answer("restarted", status, text)
                    }
                }
            }
            cluster.clock.after(restartAt) { cluster.members.forEach { cluster.crash(it, 1.0) } }
            cluster.run(20.0 + restartAt + RESTART_SECONDS + SUBMISSIONS * INTERVAL + 10.0)
            bodies.forEachIndexed { i, body -> assertOneAnswer(body, accepted.id, answers[i].filter { it.status !in RETRIED }) }
            val known =
                answers.indices
                    .filter { i ->
                        answers[i].any { it.status in ACCEPTED }
                    }.mapTo(HashSet()) { Json.parse(bodies[it]).path("id").asText() }
            val stored = (cluster.state.keys("live/") + cluster.state.keys("over/")).mapTo(HashSet()) { it.substringAfter('/') }
            assertEquals(emptySet<String>(), stored - known - accepted.id, "stored without being accepted")
            cluster.assertUnharmed(accepted)
        }
    }

    /**
     * A valid body is accepted or can never run; another gets one 400 that names the field. If its id is that of an accepted job it is a
     * repetition, which must get neither 400 nor 422 (PROTOCOL, `forgotten`).
     */
    private fun assertOneAnswer(
        body: String,
        acceptedId: String,
        answers: List<Answer>,
    ) {
        val statuses = answers.mapTo(HashSet()) { it.status }
        val shown = "${body.take(SHOWN)} -> ${answers.map { "${it.member} ${it.status} ${it.body}" }}"
        assertTrue(answers.isNotEmpty(), shown)
        val isRepetition = Json.parseOrNull(body)?.path("id")?.asText() == acceptedId
        if (isRepetition) {
            assertTrue(statuses.all { it in ACCEPTED || it == CONFLICT }, shown)
        } else if (isValid(body)) {
            assertTrue(statuses.all { it in ACCEPTED } || statuses == setOf(UNPROCESSABLE) || statuses == setOf(CONFLICT), shown)
        } else {
            assertEquals(setOf(BAD_REQUEST), statuses, shown)
            assertEquals(1, answers.mapTo(HashSet()) { it.body }.size, shown)
        }
    }

    @Test
    fun `heartbeats, messages of members and requests of any kind end no member and lose no job`() {
        repeat(rounds) { round ->
            val random = Random(firstSeed + round)
            val mutator = InputMutator(random)
            val cluster = newCluster(firstSeed + round)
            val accepted = cluster.submitAccepted()
            cluster.run(20.0)
            val unanswered = HashSet<String>()
            repeat(REQUESTS) { i ->
                cluster.clock.after(i * SHORT_INTERVAL) {
                    val (method, path, body) = randomRequest(random, mutator)
                    val shown = "$method ${path.take(SHOWN)} ${body.take(SHOWN)}"
                    unanswered += shown
                    cluster.request("fuzz", cluster.members.random(random), method, path, body, 5.0) { status, _ ->
                        if (status !=
                            0
                        ) {
                            unanswered -= shown
                        }
                    }
                    cluster.deliverMessage(cluster.members.random(random), randomMessage(random, mutator))
                }
            }
            cluster.run(20.0 + REQUESTS * SHORT_INTERVAL + 10.0)
            assertEquals(emptySet<String>(), unanswered)
            cluster.assertUnharmed(accepted)
        }
    }

    private fun randomRequest(
        random: Random,
        mutator: InputMutator,
    ): Triple<String, String, String> {
        if (random.nextInt(2) == 0) {
            val heartbeat = Examples.HEARTBEAT.replace("m-000900", "m-9%05d".format(random.nextInt(MACHINES)))
            // A token above every term deposes the leader (issue 47), which is tested there.
            return Triple("POST", "/agent/beat", mutator.mutate(heartbeat).replace(TOKEN, "\"baton\":0"))
        }
        val (method, path) = Examples.targets.random(random)
        return Triple(method, if (random.nextInt(2) == 0) path else mutator.mutate(path), mutator.mutate(Examples.DRAIN))
    }

    /** A message as the protobuf codec can deliver it, with any text. */
    private fun randomMessage(
        random: Random,
        mutator: InputMutator,
    ): PeerMessage {
        val from = if (random.nextInt(2) == 0) "drover-1" else mutator.mutate("drover-1")
        val (method, path, body) = randomRequest(random, mutator)
        return when (random.nextInt(5)) {
            0 -> PeerMessage.ForwardedRequest(from, random.nextLong(), method, path, body)
            1 -> PeerMessage.ForwardedRequest(from, random.nextLong(), method, mutator.mutate("/worker/do/10.0.0.1:80"), body)
            2 -> PeerMessage.ForwardedResponse(from, random.nextLong(), random.nextInt(), body, random.nextInt())
            3 -> PeerMessage.JobAccepted(from, mutator.mutate("j-000001"))
            else -> PeerMessage.Handover(from, HandoverMessage.Offer(random.nextLong(), random.nextLong(2), mutator.mutate("draining")))
        }
    }

    @Test
    fun `mutated answers of the cloud and of workers end no member`() = assertNoEndUnderMutatedAnswers { it != STATE_SERVICE }

    /** What the state service says is believed, so nothing but the absence of an end can be asked. */
    @Test
    fun `mutated answers of the state service end no member`() = assertNoEndUnderMutatedAnswers { it == STATE_SERVICE }

    private fun assertNoEndUnderMutatedAnswers(isMutated: (from: String) -> Boolean) {
        var replaced = 0
        repeat(rounds) { round ->
            val random = Random(firstSeed + round)
            val mutator = InputMutator(random)
            val cluster = newCluster(firstSeed + round)
            cluster.replaceAnswer = { from, body ->
                if (isMutated(from) && cluster.clock.now in MUTATED_SECONDS && random.nextInt(2) == 0) {
                    replaced++
                    mutator.mutate(body).replace(TOKEN, "\"baton\":0")
                } else {
                    body
                }
            }
            repeat(JOBS) { i -> cluster.clock.after(4.0 + i) { cluster.submit(cluster.job(i, 2, runSeconds = 10.0)) } }
            cluster.run(MUTATED_SECONDS.endInclusive + 60.0)
        }
        // A catalog that cannot be read leaves little to ask in one round.
        assertTrue(replaced > JOBS * rounds, "only $replaced answers were replaced")
    }

    private companion object {
        val ACCEPTED = setOf(200, 201)
        val RETRIED = setOf(0, 429, 503, 504)
        const val STATE_SERVICE = "state"
        const val BAD_REQUEST = 400
        const val CONFLICT = 409
        const val UNPROCESSABLE = 422
        val TOKEN = Regex("\"baton\"\\s*:\\s*[^,}]*")
        const val SUBMISSIONS = 60
        const val FIRST_ID = 1000
        const val INTERVAL = 0.2
        const val RESTART_SECONDS = 20.0
        const val REQUESTS = 1500
        const val SHORT_INTERVAL = 0.02
        const val MACHINES = 50
        const val JOBS = 12
        const val SHOWN = 200
        val MUTATED_SECONDS = 3.0..60.0
    }
}
