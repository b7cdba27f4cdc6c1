package burlridge.fuzz

/** Valid inputs of each kind, from which the fuzz tests derive theirs. */
internal object Examples {
    const val JOB: String =
        """{"id":"j-000009","lane":"urgent","crew":"crew-y","shape":"array","urgency":"high","pieces":2,"vcpus":1.0,"gpus":0.0,"ramGb":2.0,
        "bundle":"img-1","pullGb":1.0,"breeds":["small"],"yard":"a","together":false,"spread":false,"loaners":true,"guessS":5.0,
        "markEveryS":0.0,"markCostS":0.0,"dueS":900.0}"""

    const val HEARTBEAT: String =
        """{"drover":"m-000900","addr":"10.9.9.9:9000","breed":"small","yard":"a","loaners":true,"stint":1,"tally":1,"baton":0,
        "recallS":null,"pieces":[{"piece":"j-000900/3","try":2,"standing":"running"},
        {"piece":"j-000901/0","try":1,"standing":"exited","cause":"stopped","kept":true}]}"""

    /** Method and path of requests that no user, worker or operator sends exactly so. */
    val targets: List<Pair<String, String>> =
        listOf(
            "GET" to "/ready",
            "GET" to "/api/jobs/j-000001",
            "POST" to "/api/jobs/j-000009/abort",
            "GET" to "/admin/failover",
            "GET" to "/admin/builds",
            "POST" to "/admin/drain/drover-1",
            "POST" to "/admin/balance/drain",
            "GET" to "/admin/balance/explain/j-000001/0",
            "DELETE" to "/api/jobs",
        )

    const val DRAIN: String = """{"machine":"m-000001","force":false,"requested_at":1}"""

    const val SETTINGS: String =
        """{"member":"drover-0","zone":"a","serve_on":"10.0.0.1:80","peer_bind":"10.0.0.1:81",
        "others":[{"member":"drover-1","zone":"a","endpoint":"10.0.0.9:1"}],"services":{"cloud":"10.2.0.2:1","state":"10.2.0.1:1"},
        "params":{"count":2,"zones":["a"],"teams":[{"name":"crew","cpus":1.0,"cpus_max":48,"gpus":0,"gpus_max":0}],
        "objectives":[{"kind":"wait","class":"urgent","within_s":10.0,"share":0.9},{"kind":"deadline","class":"bulk","times":1.0,"share":0.9}],
        "workers":{"report_s":3.0,"lease_s":24.0,"gang_wait_s":50.0,"gang_peer_s":5.0,"cancel_s":54.0},
        "state":{"rps":200,"write_rps":25.0,"value_kb":8,"txn_ops":8},"cloud":{"rps":8,"list_lag_s":3},
        "limits":{"cpu_share":0.25,"memory_mb":268.0,"max_connections":2000}}}"""

    val operatorSettings: String =
        """
        [placement]
        sample = 5
        [failover]
        standbys = 1
        suspect_level = 4
        [balance]
        finish_reports = 20
        moves = saved
        class_moves = urgent:never
        """.trimIndent()
}
