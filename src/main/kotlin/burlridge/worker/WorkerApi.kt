package burlridge.worker

import burlridge.core.HttpResponse
import burlridge.core.HttpStatus
import burlridge.json.Json

/** The HTTP protocol between workers and members, as far as it is not about heartbeats and commands themselves. */
internal object WorkerApi {
    /** Of a member: takes heartbeats. */
    const val HEARTBEAT_PATH: String = "/agent/beat"

    /** Of a worker: takes commands. */
    const val COMMAND_PATH: String = "/do"

    /** Sends a worker to [leader]; null if no leader is known. */
    fun redirectTo(leader: String?): HttpResponse =
        HttpResponse(HttpStatus.MISDIRECTED_REQUEST, Json.write(Json.obj { leader?.let { put("herder", it) } }))
}
