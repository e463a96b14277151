package reachloom.gateway;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import reachloom.config.GatewayConfig;
import reachloom.gateway.wire.Numbers;
import reachloom.scheduler.api.Idempotency;

/**
 * What a client says of a request beside its statement, checked.
 *
 * @param id the request's number, 16 hex digits
 * @param queryClass place of its class in the settings
 * @param tenant place of its tenant in the settings
 * @param limitMs milliseconds that the client waits
 * @param key the client's idempotency key, or null
 */
record RequestFields(String id, int queryClass, int tenant, long limitMs, String key) {
  private static final long LONGEST_LIMIT_MS = 24 * 60 * 60 * 1000;
  private static final Pattern ID = Pattern.compile("[0-9a-f]{16}");
  private static final Pattern KEY = Pattern.compile("[0-9A-Za-z_-]{1,64}");

  /** Reads the fields; empty where they can't be used. */
  static Optional<RequestFields> read(Map<String, String> fields, GatewayConfig config) {
    List<String> tenants = config.names().tenants();
    RequestFields read =
        new RequestFields(
            fields.getOrDefault("txn", ""),
            config.names().classes().indexOf(fields.getOrDefault("verb", "")),
            tenants.isEmpty() ? 0 : tenants.indexOf(fields.getOrDefault("team", "")),
            Numbers.whole(fields.get("limit"), 0),
            fields.get("unique"));
    return read.usable(config) ? Optional.of(read) : Optional.empty();
  }

  private boolean usable(GatewayConfig config) {
    boolean named = queryClass >= 0 && tenant >= 0 && ID.matcher(id).matches();
    boolean timed = limitMs > 0 && limitMs <= LONGEST_LIMIT_MS;
    return named && timed && (key == null ? !keyed(config) : KEY.matcher(key).matches());
  }

  private boolean keyed(GatewayConfig config) {
    return config.settings().classes().get(queryClass).idempotency()
        == Idempotency.IDEMPOTENT_BY_KEY;
  }
}
