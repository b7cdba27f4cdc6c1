package burlridge.worker

import burlridge.core.HttpResponse
import burlridge.core.HttpStatus
import burlridge.json.Json

/** HTTP protocol between workers and members, except for the bodies of heartbeats and commands. */
internal object WorkerApi {
    /** Path on a member that accepts heartbeats. */
    const val HEARTBEAT_PATH: String = "/agent/beat"

    /** Path on a worker that accepts commands. */
    const val COMMAND_PATH: String = "/do"

    /** Path on a worker that returns its report. */
    const val INSPECTION_PATH: String = "/inspect"

    /** Returns the response that redirects a worker to [leader]; null if no leader is known. */
    fun redirectTo(leader: String?): HttpResponse =
        HttpResponse(HttpStatus.MISDIRECTED_REQUEST, Json.write(Json.obj { leader?.let { put("herder", it) } }))
}
