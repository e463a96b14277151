package reachloom.lab.scale;

import java.io.IOException;

/**
 * How a change of configuration comes from its source to the gateways. What is in force where is
 * told to {@link RolloutTracker} by whoever sees it.
 */
interface ConfigurationSource {
  /** Issues the change of that number; off the timeline. */
  void issue(long number) throws IOException;
}
