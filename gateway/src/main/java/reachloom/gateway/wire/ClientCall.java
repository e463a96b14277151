package reachloom.gateway.wire;

import java.util.Map;

/** A decoded message of a client; {@link ThriftReader} decodes it. */
public sealed interface ClientCall {
  /** Returns the client's sequence number, which the response repeats. */
  int seq();

  /**
   * Calls the handler's method for this kind of call.
   *
   * @param context is passed to the handler unchanged
   */
  <C> void dispatch(Handler<C> handler, C context);

  /**
   * Handles calls, one method for each kind.
   *
   * @param <C> the context of a call
   */
  interface Handler<C> {
    /** Runs a statement. */
    void execute(C context, Execute call);

    /** Cancels an earlier call. */
    void interrupt(C context, Interrupt call);

    /** Reports whether the gateway is ready. */
    void check(C context, Check call);

    /** Rejects a call that was decoded but can't be served. */
    void unusable(C context, Unusable call);
  }

  /** Runs a statement, whose bytes are a range of the received frame. */
  record Execute(int seq, Map<String, String> fields, Bytes statement) implements ClientCall {
    @Override
    public <C> void dispatch(Handler<C> handler, C context) {
      handler.execute(context, this);
    }
  }

  /**
   * Cancels the call with the sequence number {@code target}: the client waits no longer for it.
   */
  record Interrupt(int seq, int target) implements ClientCall {
    @Override
    public <C> void dispatch(Handler<C> handler, C context) {
      handler.interrupt(context, this);
    }
  }

  /** Asks whether the gateway is ready. */
  record Check(int seq) implements ClientCall {
    @Override
    public <C> void dispatch(Handler<C> handler, C context) {
      handler.check(context, this);
    }
  }

  /**
   * A decoded call that can't be served; the response is an application exception.
   *
   * @param type the type of that exception
   */
  record Unusable(int seq, String method, int type, String why) implements ClientCall {
    @Override
    public <C> void dispatch(Handler<C> handler, C context) {
      handler.unusable(context, this);
    }
  }

  /**
   * Bytes that are not a valid call. {@link ClientCallDecoder} reports them as a fault, which
   * closes the connection, so that none is ever dispatched.
   */
  record Broken(String why) implements ClientCall {
    @Override
    public int seq() {
      return 0;
    }

    @Override
    public <C> void dispatch(Handler<C> handler, C context) {
      throw new IllegalStateException("a malformed call can't be dispatched: " + why);
    }
  }
}
