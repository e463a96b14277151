package reachloom.scheduler.api;

/**
 * The part of the service that one tenant may use before its queries are beyond its quota.
 *
 * @param quotaPerSecond queries a second over all gateways together; 0 sets no quota
 */
public record TenantQuota(double quotaPerSecond) {}
