package reachloom.scheduler.api;

import java.util.List;

/**
 * All settings of one gateway, as its configuration gives them.
 *
 * @param gateways gateways in the installation, at least 1
 * @param selfIndex this gateway's number among them, from 0; -1 where the configuration has none
 * @param zone this gateway's zone
 * @param subscribe whether the scheduler has to subscribe to the endpoint list itself
 * @param tickNanos the resolution of the platform's clock
 * @param overQuotaWeight factor on the weight of a query beyond its tenant's quota
 * @param crossZonePrice price of an attempt in another zone, as a share of a query's weight
 * @param healthCheckPrice price of one health check, in the same unit
 * @param wastePrice price of work whose result is not used, in the same unit
 * @param classes classes of queries, by the index in {@link Query#queryClass}
 * @param kinds kinds of engines, by the index in {@link EngineEndpoint#kind}
 * @param tenants quotas, by the index in {@link Query#tenant}
 * @param limits what the platform allows
 * @param rules the parameters of the scheduling rules
 * @param capabilities what the engines support
 */
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
    EngineCapabilities capabilities) {}
