package reachloom.scheduler.api;

import java.util.List;

/** All settings of one gateway. */
public record SchedulerSettings(
    int gateways,
    int self,
    int zone,
    boolean subscribe,
    long tick,
    double overShareWorth,
    double crossPrice,
    double probePrice,
    double wastePrice,
    List<QueryClass> classes,
    List<EngineKind> kinds,
    List<TenantQuota> tenants,
    SchedulerLimits limits,
    SchedulingRules rules,
    EngineCapabilities traits) {}
