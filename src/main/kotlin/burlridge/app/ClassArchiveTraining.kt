package burlridge.app

import burlridge.core.Effect
import burlridge.settings.Endpoint
import java.net.InetAddress
import java.net.ServerSocket

/** Settings and calls for [Service.trainClassArchive]: all on loopback, with the controller itself in place of every external system. */
internal object ClassArchiveTraining {
    /** Returns the text of a platform settings file with free ports. */
    fun settings(): String {
        val (serve, peer) =
            List(2) { ServerSocket(0, 1, InetAddress.getLoopbackAddress()) }
                .also { all ->
                    all.forEach { it.close() }
                }.map { it.localPort }
        return SETTINGS.replace("SERVE", "127.0.0.1:$serve").replace("PEER", "127.0.0.1:$peer")
    }

    /** Returns one call of each kind to [endpoint]. */
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

    /** Returns a call to a port on which no process listens. */
    fun refusedCall(): Effect.HttpCall {
        val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
        return Effect.HttpCall(0, Endpoint("127.0.0.1", port), "GET", "/", null, 1.0)
    }

    private const val SETTINGS =
        """{"member":"drover-0","zone":"a","serve_on":"SERVE","peer_bind":"PEER",
        "others":[{"member":"rehearsal","zone":"a","endpoint":"PEER"}],"services":{"cloud":"SERVE","state":"SERVE"},
        "params":{"teams":[{"name":"crew","cpus":1.0}],"objectives":[{"kind":"wait","class":"lane","within_s":1.0}],
        "workers":{"report_s":3.0,"lease_s":24.0,"cancel_s":54.0},"state":{"rps":100.0,"write_rps":25.0,"value_kb":8.0,"txn_ops":8},
        "cloud":{"rps":8.0,"list_lag_s":3.0},"limits":{"cpu_share":0.2,"memory_mb":200.0,"max_connections":1000}}}"""
    private const val JOB =
        """{"id":"j-000001","lane":"lane","crew":"crew","shape":"array","urgency":"high","pieces":1,"vcpus":1.0,"gpus":0.0,"ramGb":1.0,
        "bundle":"img","pullGb":1.0,"breeds":null,"yard":null,"together":false,"spread":false,"loaners":true,"guessS":1.0,"markEveryS":0.0,
        "markCostS":0.0,"dueS":null}"""
}
