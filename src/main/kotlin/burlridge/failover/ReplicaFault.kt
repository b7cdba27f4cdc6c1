package burlridge.failover

/** Reason why a standby replica is discarded or cannot be used; [text] is shown to operators. */
internal sealed interface ReplicaFault {
    val text: String

    /** The rows take more memory than the replica is allowed to. */
    data object TooLarge : ReplicaFault {
        override val text: String = "too large"
    }

    /** The key-value store has compacted the changes since [revision]. */
    data class ChangesCompacted(
        val prefix: String,
        val revision: Long,
    ) : ReplicaFault {
        override val text: String get() = "$prefix: the changes since $revision are not kept any more"
    }

    /** The change feed failed repeatedly while the key-value store served other requests. */
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

    /** The last changes before a takeover could not be read; [status] is the HTTP status, 0 if there was no response. */
    data class CatchUpFailed(
        val prefix: String,
        val status: Int,
    ) : ReplicaFault {
        override val text: String get() = "the changes of $prefix cannot be read ($status)"
    }

    /** The table is not known to be complete up to the fencing token of the new leader. */
    data class BehindFencingToken(
        val prefix: String,
        val revision: Long,
        val fencingToken: Long,
    ) : ReplicaFault {
        override val text: String get() = "$prefix is known up to $revision, below the fence $fencingToken"
    }

    /** The rows differ from those that were applied: their hashes do not add up to the digest. */
    data class DigestMismatch(
        val prefix: String,
    ) : ReplicaFault {
        override val text: String get() = "$prefix does not match its digest"
    }

    /** The value of a row is not valid JSON. */
    data class UnreadableRow(
        val prefix: String,
    ) : ReplicaFault {
        override val text: String get() = "a row of $prefix cannot be read"
    }
}

/** Reason why a batch of changes cannot be correct. */
internal sealed interface BatchFault : ReplicaFault {
    /** The batch ends at a revision below the replica's. */
    data class RevisionWentBack(
        val batchRevision: Long,
        val tableRevision: Long,
    ) : BatchFault {
        override val text: String get() = "revision $batchRevision after $tableRevision"
    }

    /** The response contains no list of changes. */
    data object NoChanges : BatchFault {
        override val text: String = "no list of changes"
    }

    /** A change of a key that does not have the requested prefix. */
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

    /** A change at or below the replica's revision, which the replica must contain already. */
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

    /** A change at a revision above the batch's. */
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

/** A difference between the replica and the key-value store that no concurrent change explains. */
internal sealed interface AuditDifference {
    val text: String

    /** The replica has another revision of a row than the store. */
    data class StaleRow(
        val key: String,
        /** Null if the replica has no such row. */
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
