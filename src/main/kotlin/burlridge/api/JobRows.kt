package burlridge.api

import burlridge.allocation.Ledger
import burlridge.allocation.Standing
import burlridge.store.Read
import burlridge.store.Store
import burlridge.store.Urgency

/** What the rows of a job say. */
internal sealed interface Found {
    val fingerprint: String?
    val standing: Standing

    data object Nothing : Found {
        override val fingerprint: String? = null
        override val standing: Standing = Standing.QUEUED
    }

    data class Live(
        override val fingerprint: String,
    ) : Found {
        override val standing: Standing = Standing.QUEUED
    }

    data class Over(
        val end: Ledger.End,
    ) : Found {
        override val fingerprint: String = end.fingerprint
        override val standing: Standing = end.standing
    }
}

internal class JobRows(
    private val store: Store,
    private val ledger: Ledger,
) {
    /** The live row first: a job moves from there to its end, so one that is missed there is found here. Null when a read failed. */
    fun read(
        id: String,
        then: (Found?) -> Unit,
    ) {
        store.get("live/$id", Urgency.USER) { live ->
            when (live) {
                is Read.Found -> {
                    then(
                        Found.Live(
                            live.value.value
                                .path("fp")
                                .asText(),
                        ),
                    )
                }

                Read.Failed -> {
                    then(null)
                }

                Read.Absent -> {
                    store.get("over/$id", Urgency.USER) { over ->
                        when (over) {
                            is Read.Found -> then(ledger.learnEnd(id, over.value.value)?.let { Found.Over(it) })
                            Read.Absent -> then(Found.Nothing)
                            Read.Failed -> then(null)
                        }
                    }
                }
            }
        }
    }
}
