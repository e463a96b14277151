package reachloom.lab.scale;

import java.io.IOException;

/**
 * Distributes configuration changes to the gateways. Whether a change is in force at a gateway is
 * recorded in {@link RolloutTracker} by the component that observes it.
 */
interface ConfigurationSource {
  /** Issues the change with the given number; is not called on the timeline. */
  void issue(long number) throws IOException;
}
