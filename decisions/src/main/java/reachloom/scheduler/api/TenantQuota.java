package reachloom.scheduler.api;

/**
 * The rate of queries above which the queries of one tenant are over its quota.
 *
 * @param quotaPerSecond queries per second through all gateways together; 0 sets no quota
 */
public record TenantQuota(double quotaPerSecond) {}
