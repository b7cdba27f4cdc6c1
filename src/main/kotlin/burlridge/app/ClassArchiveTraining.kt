package burlridge.app

import burlridge.core.Effect
import burlridge.json.Json
import burlridge.settings.Endpoint
import java.net.InetAddress
import java.net.ServerSocket

/** Settings and calls for [Service.trainClassArchive]: everything on loopback, and every outside system is the controller itself. */
internal object ClassArchiveTraining {
    /** A platform settings file with free ports. */
    fun settings(): String {
        val (serve, peer) =
            List(2) { ServerSocket(0, 1, InetAddress.getLoopbackAddress()) }
                .also { all ->
                    all.forEach { it.close() }
                }.map { it.localPort }
        return Json.write(
            Json.obj {
                put("member", "drover-0")
                put("zone", "a")
                put("serve_on", "127.0.0.1:$serve")
                put("peer_bind", "127.0.0.1:$peer")
                putArray("others")
                    .addObject()
                    .put("member", "rehearsal")
                    .put("zone", "a")
                    .put("endpoint", "127.0.0.1:$peer")
                putObject("services").put("cloud", "127.0.0.1:$serve").put("state", "127.0.0.1:$serve")
                putObject("params").apply {
                    putArray("teams").addObject().put("name", "crew").put("cpus", 1.0)
                    putArray("objectives")
                        .addObject()
                        .put("kind", "wait")
                        .put("class", "lane")
                        .put("within_s", 1.0)
                    putObject("workers")
                        .put("report_s", 3.0)
                        .put("lease_s", 24.0)
                        .put("cancel_s", 54.0)
                    putObject("state")
                        .put("rps", 100.0)
                        .put("write_rps", 25.0)
                        .put("value_kb", 8.0)
                        .put("txn_ops", 8)
                    putObject("cloud").put("rps", 8.0).put("list_lag_s", 3.0)
                    putObject("limits").put("cpu_share", 0.2).put("memory_mb", 200.0).put("max_connections", 1000)
                }
            },
        )
    }

    /** One call of each kind to [endpoint]. */
    fun calls(endpoint: Endpoint): List<Effect.HttpCall> =
        listOf(
            "GET /ready ",
            "GET /api/jobs/j-000001 ",
            "POST /api/jobs/j-000001/abort ",
            "POST /api/jobs $JOB",
            "POST /agent/beat {}",
        ).map {
            val (method, path, body) = it.split(' ', limit = 3)
            Effect.HttpCall(0, endpoint, method, path, body.ifEmpty { null }, 1.0)
        }

    /** A call to a port on which nobody listens. */
    fun refusedCall(): Effect.HttpCall {
        val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
        return Effect.HttpCall(0, Endpoint("127.0.0.1", port), "GET", "/", null, 1.0)
    }

    private const val JOB =
        """{"id":"j-000001","lane":"lane","crew":"crew","shape":"array","urgency":"high","pieces":1,"vcpus":1.0,"gpus":0.0,"ramGb":1.0,
        "bundle":"img","pullGb":1.0,"breeds":null,"yard":null,"together":false,"spread":false,"loaners":true,"guessS":1.0,"markEveryS":0.0,
        "markCostS":0.0,"dueS":null}"""
}
