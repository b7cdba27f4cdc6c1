package burlridge.worker

import burlridge.settings.Endpoint
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

/** Heartbeats are untrusted input: malformed ones are rejected, and a field that is missing or has the wrong type gets its default. */
internal class HeartbeatTest {
    private val completeBody =
        """{"drover":"m-000231","addr":"10.1.0.232:9000","breed":"g8","yard":"a","loaners":true,"stint":2,"tally":88,"baton":41,
        "recallS":7.5,"pieces":[{"piece":"j-000412/3","try":2,"standing":"running"},
        {"piece":"j-000398/0","try":1,"standing":"exited","cause":"stopped","kept":true}],"later":{"deep":[1,{"a":2}]}}"""

    @Test
    fun `a complete heartbeat is decoded and unknown fields are ignored`() {
        val tasks =
            listOf(
                TaskStatus("j-000412/3", 2, TaskState.Known.RUNNING, null, saved = false),
                TaskStatus("j-000398/0", 1, TaskState.Known.EXITED, ExitReason.Known.STOPPED, saved = true),
            )
        val expected =
            Heartbeat("m-000231", Endpoint("10.1.0.232", 9000), "g8", "a", true, 2, 88, 41, 7.5, tasks.associateBy { it.key })
        assertEquals(expected, Heartbeat.decode(completeBody))
    }

    @Test
    fun `a body that is not one object naming a machine is rejected`() {
        val malformed =
            listOf(
                "",
                "null",
                "[]",
                "7",
                "{}",
                "{\"drover\":7}",
                "{\"drover\":\"\"}",
                "{\"drover\":null}",
                "{\"drover\":\"m-1\"",
                "{\"drover\":\"m-1\"} {}",
                "{\"drover\":\"m-1\"}x",
                "{\"drover\":\"m-1\",}",
                "{\"drover\":\"m-1\",\"tally\":1e}",
                "{\"drover\":\"m-1\",\"tally\":99999999999999999999}",
                "{\"drover\":\"m-1\",\"pieces\":[{\"piece\":\"j-1/0\"]}",
                "{\"drover\":\"m-1\",\"later\":" + "[".repeat(5_000) + "]".repeat(5_000) + "}",
            )
        malformed.forEach { assertNull(Heartbeat.decode(it), it.take(60)) }
    }

    /** Guards against a machine whose name ends the leader with the first allocation that is stored for it. */
    @Test
    fun `a text that is not valid Unicode gets its default value, and a machine of such a name is rejected`() {
        assertNull(Heartbeat.decode("""{"drover":"m-\ud83d"}"""))
        val body = """{"drover":"m-1","addr":"a\ud83d:80","breed":"\ud83d","yard":"\ude00","pieces":[{"piece":"\ud83d"}],"\ud83d":1}"""
        val task = TaskStatus("", 0, TaskState.Unrecognized(""), null, saved = false)
        assertEquals(Heartbeat("m-1", tasks = mapOf(task.key to task)), Heartbeat.decode(body))
        assertEquals("\ud83d\ude00", Heartbeat.decode("""{"drover":"\ud83d\ude00"}""")?.machine)
    }

    @Test
    fun `a field of the wrong type gets its default value`() {
        val wrongTypes =
            """{"drover":"m-1","addr":"nowhere","breed":[1],"yard":{"a":1},"loaners":"yes","stint":"2","tally":null,"baton":true,
            "recallS":"soon","pieces":{"piece":"j-1/0"}}"""
        assertEquals(Heartbeat("m-1"), Heartbeat.decode(wrongTypes))
        assertNull(Heartbeat.decode("""{"drover":"m-1","addr":"10.0.0.1:70000"}""")?.address)
        assertEquals(emptyMap<String, TaskStatus>(), Heartbeat.decode("""{"drover":"m-1","pieces":[1,"x",[],null]}""")?.tasks)
        val task = TaskStatus("j-1/0", 0, TaskState.Unrecognized(""), null, saved = false)
        assertEquals(
            mapOf(task.key to task),
            Heartbeat.decode("""{"drover":"m-1","pieces":[{"piece":"j-1/0","try":"1","standing":[],"cause":5,"kept":1}]}""")?.tasks,
        )
    }

    @Test
    fun `the last occurrence of a duplicate field wins`() {
        assertEquals(Heartbeat("m-2", sequence = 9), Heartbeat.decode("""{"drover":"m-1","tally":8,"drover":"m-2","tally":9}"""))
    }

    @Test
    fun `states and exit reasons keep their text whether recognized or not`() {
        val states = listOf("fetching", "gathering", "running", "saving", "exited", "assembling", "")
        assertEquals(states, states.map { TaskState.of(it).text })
        assertEquals(TaskState.Unrecognized("assembling"), TaskState.of("assembling"))
        val reasons = listOf("done", "stopped", "error", "peers", "incomplete", "full", "in_use", "unknown", "bereft")
        assertEquals(reasons, reasons.map { ExitReason.of(it).text })
        assertEquals(ExitReason.Unrecognized("bereft"), ExitReason.of("bereft"))
    }
}
