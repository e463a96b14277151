package reachloom.gateway;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import reachloom.config.GatewayConfig;
import reachloom.gateway.wire.Numbers;
import reachloom.scheduler.api.Idempotency;

/**
 * The validated fields of a request beside its statement. The protocol's names of the fields are
 * {@code txn}, {@code verb}, {@code team}, {@code limit} and {@code unique}.
 *
 * @param id the request's id, 16 hexadecimal digits
 * @param queryClass the index of its class in the settings
 * @param tenant the index of its tenant in the settings
 * @param limitMs how long the client waits for the response, in milliseconds
 * @param key the client's idempotency key, or null
 */
record RequestFields(String id, int queryClass, int tenant, long limitMs, String key) {
  private static final long MAX_LIMIT_MS = 24 * 60 * 60 * 1000;
  private static final Pattern ID = Pattern.compile("[0-9a-f]{16}");
  private static final Pattern KEY = Pattern.compile("[0-9A-Za-z_-]{1,64}");

  /** Reads the fields of a call; returns empty if any is missing or invalid. */
  static Optional<RequestFields> read(Map<String, String> fields, GatewayConfig config) {
    List<String> tenants = config.names().tenants();
    RequestFields read =
        new RequestFields(
            fields.getOrDefault("txn", ""),
            config.names().classes().indexOf(fields.getOrDefault("verb", "")),
            tenants.isEmpty() ? 0 : tenants.indexOf(fields.getOrDefault("team", "")),
            Numbers.parseNonNegative(fields.get("limit"), 0),
            fields.get("unique"));
    return read.isValid(config) ? Optional.of(read) : Optional.empty();
  }

  private boolean isValid(GatewayConfig config) {
    boolean known = queryClass >= 0 && tenant >= 0 && ID.matcher(id).matches();
    boolean limited = limitMs > 0 && limitMs <= MAX_LIMIT_MS;
    return known && limited && isKeyValid(config);
  }

  private boolean isKeyValid(GatewayConfig config) {
    return key == null ? !needsKey(config) : KEY.matcher(key).matches();
  }

  private boolean needsKey(GatewayConfig config) {
    return config.settings().classes().get(queryClass).idempotency()
        == Idempotency.IDEMPOTENT_BY_KEY;
  }
}
