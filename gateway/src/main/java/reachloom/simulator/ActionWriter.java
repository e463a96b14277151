package reachloom.simulator;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import reachloom.scheduler.api.SchedulerActions;

/** Writes the actions of one gateway instance into the reply to the current batch. */
final class ActionWriter implements SchedulerActions {
  private final String instance;
  private JsonGenerator out;

  ActionWriter(String instance) {
    this.instance = instance;
  }

  /** Sets the reply to which the next actions are written. */
  void writeTo(JsonGenerator reply) {
    out = reply;
  }

  @Override
  public void forward(String query, String engine, long timeoutNanos) {
    write(
        "Relay",
        () -> {
          out.writeStringField("handle", query);
          out.writeStringField("node", engine);
          out.writeNumberField("tryFor", timeoutNanos);
        });
  }

  @Override
  public void setResources(String query, double grantMb, int priority) {
    write(
        "LimitsFor",
        () -> {
          out.writeStringField("handle", query);
          out.writeNumberField("allotMb", grantMb);
          out.writeNumberField("weightClass", priority);
        });
  }

  @Override
  public void cancelAttempt(String query, int attempt) {
    write(
        "StopAttempt",
        () -> {
          out.writeStringField("handle", query);
          out.writeNumberField("sendNo", attempt);
        });
  }

  @Override
  public void reject(String query, long retryAfterNanos) {
    write(
        "Busy",
        () -> {
          out.writeStringField("handle", query);
          out.writeNumberField("stayAway", retryAfterNanos);
        });
  }

  @Override
  public void fail(String query) {
    write("Surrender", () -> out.writeStringField("handle", query));
  }

  @Override
  public void setTimer(long delayNanos, long token) {
    write(
        "WakeAt",
        () -> {
          out.writeNumberField("sleepFor", delayNanos);
          out.writeNumberField("nonce", token);
        });
  }

  @Override
  public void checkHealth(String engine) {
    write("SoundOut", () -> out.writeStringField("node", engine));
  }

  @Override
  public void watchEndpoints() {
    write("Watch", () -> out.writeBooleanField("on", true));
  }

  @Override
  public void log(String line) {
    write("JournalLine", () -> out.writeStringField("words", line));
  }

  /** Sends a message to another instance. */
  void publish(int peer, byte[] message) {
    write(
        "Publish",
        () -> {
          out.writeNumberField("peer", peer);
          out.writeBinaryField("raw", message);
        });
  }

  /** Reports that the instance has failed and was removed. */
  void bailOut(String cause) {
    write("BailOut", () -> out.writeStringField("words", cause));
  }

  private void write(String name, Fields fields) {
    try {
      out.writeStartObject();
      out.writeStringField("cmd", name);
      out.writeStringField("gatewayId", instance);
      fields.write();
      out.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Writes the fields of one action. */
  private interface Fields {
    void write() throws IOException;
  }
}
