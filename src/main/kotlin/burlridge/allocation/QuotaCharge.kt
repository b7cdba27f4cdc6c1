package burlridge.allocation

import burlridge.job.Resources

/**
 * The resources that an allocation takes and the team whose quota they count against. It is stored in the batch row, since an allocation
 * can outlive its job's row.
 */
internal data class QuotaCharge(
    val team: String,
    val size: Resources,
)
