package reachloom.scheduler;

import java.util.ArrayList;
import java.util.List;
import reachloom.scheduler.api.SchedulerSettings;
import reachloom.scheduler.api.TenantQuota;
import reachloom.scheduler.state.TokenBucket;

/**
 * Query quotas of tenants (token buckets). The quotas of the settings are for all gateways
 * together; each gateway enforces an equal part.
 */
final class TenantQuotas {
  /** Minimum capacity of a bucket; the quota of one second if that is larger. */
  private static final double MIN_BURST = 5;

  private final List<TokenBucket> buckets = new ArrayList<>();

  /** Creates full buckets for the tenants of the settings. */
  TenantQuotas(SchedulerSettings settings) {
    for (TenantQuota tenant : settings.tenants()) {
      buckets.add(new TokenBucket(tenant.quotaPerSecond() / settings.gateways(), MIN_BURST));
    }
  }

  /** Takes a token for a query that has just arrived; marks the query if there is none. */
  void onQuery(long nowNanos, QueryRecord query) {
    int tenant = query.query.tenant();
    query.overQuota(tenant < buckets.size() && !buckets.get(tenant).take(nowNanos));
  }
}
