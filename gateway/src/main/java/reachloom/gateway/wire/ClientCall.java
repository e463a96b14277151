package reachloom.gateway.wire;

import java.util.Map;

/** A message of a client, as {@link ThriftReader} reads it. */
public sealed interface ClientCall {
  /** The client's sequence number, which the response repeats. */
  int seq();

  /**
   * Calls the handler's method for this kind of call.
   *
   * @param context is passed on as it is
   */
  <C> void dispatch(Handler<C> handler, C context);

  /**
   * Carries out calls, one method for each kind.
   *
   * @param <C> what is known of a call beside its content
   */
  interface Handler<C> {
    /** Runs a statement. */
    void execute(C context, Execute call);

    /** Cancels an earlier call. */
    void interrupt(C context, Interrupt call);

    /** Reports whether the gateway is ready. */
    void check(C context, Check call);

    /** Turns down a call that can be read but not served. */
    void unusable(C context, Unusable call);
  }

  /** Runs a statement, whose bytes stay in the frame that brought them. */
  record Execute(int seq, Map<String, String> fields, Bytes statement) implements ClientCall {
    @Override
    public <C> void dispatch(Handler<C> handler, C context) {
      handler.execute(context, this);
    }
  }

  /** Cancels the call of the target's number: the client no longer waits for its response. */
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
   * A readable call that can't be served; the response is an application exception.
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
   * Bytes that are no call. {@link ClientCallDecoder} ends the connection on it, so that none is
   * ever dispatched.
   */
  record Broken(String why) implements ClientCall {
    @Override
    public int seq() {
      return 0;
    }

    @Override
    public <C> void dispatch(Handler<C> handler, C context) {
      throw new IllegalStateException("no call: " + why);
    }
  }
}
