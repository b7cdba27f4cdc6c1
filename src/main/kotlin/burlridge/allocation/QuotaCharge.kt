package burlridge.allocation

import burlridge.job.Resources

/**
 * The resources that an allocation uses and the team whose quota they count against. Stored in the batch row, since an allocation can
 * outlive its job's row.
 */
internal data class QuotaCharge(
    val team: String,
    val resources: Resources,
)
