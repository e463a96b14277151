package reachloom.scheduler.api;

/** A tenant's share, in queries a second over all gateways; 0 sets none. */
public record TenantQuota(double quotaPerSecond) {}
