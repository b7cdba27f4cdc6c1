package burlridge.failover

/** Why a standby replica is discarded or cannot be used; [text] is shown to operators. */
internal sealed interface ReplicaFault {
    val text: String

    /** The rows take more memory than the replica may. */
    data object TooLarge : ReplicaFault {
        override val text: String = "too large"
    }

    /** The state service has compacted the changes since [revision]. */
    data class ChangesCompacted(
        val prefix: String,
        val revision: Long,
    ) : ReplicaFault {
        override val text: String get() = "$prefix: the changes since $revision are not kept any more"
    }

    /** The feed failed again and again while the state service served other requests. */
    data class ChangesUnavailable(
        val prefix: String,
    ) : ReplicaFault {
        override val text: String get() = "$prefix: its changes cannot be read"
    }

    /** A batch of changes contradicts itself or the replica. */
    data class InconsistentChanges(
        val prefix: String,
        val fault: BatchFault,
    ) : ReplicaFault {
        override val text: String get() = "$prefix: ${fault.text}"
    }

    /** A page of the store differs from the replica. */
    data class AuditFailed(
        val prefix: String,
        val difference: AuditDifference,
    ) : ReplicaFault {
        override val text: String get() = "audit of $prefix: ${difference.text}"
    }

    /** The last changes before a takeover could not be read; [status] is the HTTP status, 0 where none came. */
    data class CatchUpFailed(
        val prefix: String,
        val status: Int,
    ) : ReplicaFault {
        override val text: String get() = "the changes of $prefix cannot be read ($status)"
    }

    /** The table is not shown to be complete up to the fencing token of the new leader. */
    data class BehindFence(
        val prefix: String,
        val revision: Long,
        val fence: Long,
    ) : ReplicaFault {
        override val text: String get() = "$prefix is known up to $revision, below the fence $fence"
    }

    /** The rows are not those that were written. */
    data class DigestMismatch(
        val prefix: String,
    ) : ReplicaFault {
        override val text: String get() = "$prefix does not match its digest"
    }

    /** A row is not JSON. */
    data class UnreadableRow(
        val prefix: String,
    ) : ReplicaFault {
        override val text: String get() = "a row of $prefix cannot be read"
    }
}

/** Why a batch of changes cannot be what the state service says it is. */
internal sealed interface BatchFault : ReplicaFault {
    /** The batch ends before the replica. */
    data class RevisionWentBack(
        val batchRevision: Long,
        val tableRevision: Long,
    ) : BatchFault {
        override val text: String get() = "revision $batchRevision after $tableRevision"
    }

    /** The answer holds no list of changes. */
    data object NoChanges : BatchFault {
        override val text: String = "no list of changes"
    }

    /** A change of a key that was not asked for. */
    data class KeyOutsidePrefix(
        val key: String,
        val prefix: String,
    ) : BatchFault {
        override val text: String get() = "a change of \"${key.take(MAX_KEY_LENGTH)}\" under $prefix"
    }

    /** A change without a value. */
    data class MissingValue(
        val key: String,
    ) : BatchFault {
        override val text: String get() = "$key has no value"
    }

    /** A change that the replica must know already. */
    data class ChangeTooOld(
        val key: String,
        val modRevision: Long,
        val tableRevision: Long,
    ) : BatchFault {
        override val text: String get() = "$key changed at $modRevision, before $tableRevision"
    }

    /** A change that is listed after a later one. */
    data class ChangeOutOfOrder(
        val key: String,
        val modRevision: Long,
        val previousRevision: Long,
    ) : BatchFault {
        override val text: String get() = "$key changed at $modRevision, listed after $previousRevision"
    }

    /** A change after the end of the batch. */
    data class ChangeTooNew(
        val key: String,
        val modRevision: Long,
        val batchRevision: Long,
    ) : BatchFault {
        override val text: String get() = "$key changed at $modRevision, after $batchRevision"
    }

    private companion object {
        const val MAX_KEY_LENGTH = 40
    }
}

/** A difference between the replica and the state service that no concurrent change explains. */
internal sealed interface AuditDifference {
    val text: String

    /** The replica has another revision of a row than the store. */
    data class StaleRow(
        val key: String,
        /** Null where the replica has no such row. */
        val replicaRevision: Long?,
        val storeRevision: Long,
    ) : AuditDifference {
        override val text: String get() = "$key has stamp ${replicaRevision ?: "none"}, not $storeRevision"
    }

    /** The replica has a row that was deleted. */
    data class SurplusRow(
        val key: String,
    ) : AuditDifference {
        override val text: String get() = "$key is gone from the state service"
    }
}
