package reachloom.scheduler.api;

import java.util.List;

/** All settings of one gateway. */
public record SchedulerSettings(
    int gateways,
    int selfIndex,
    int zone,
    boolean subscribe,
    long tickNanos,
    double overQuotaWeight,
    double crossZonePrice,
    double healthCheckPrice,
    double wastePrice,
    List<QueryClass> classes,
    List<EngineKind> kinds,
    List<TenantQuota> tenants,
    SchedulerLimits limits,
    SchedulingRules rules,
    EngineCapabilities traits) {}
