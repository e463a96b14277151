package reachloom.scheduler;

/** Is notified by {@link AttemptForwarder} of each attempt that is forwarded. */
interface ForwardingListener {
  /** An attempt was forwarded; the attempt is already in {@link QueryRecord#attempts}. */
  void onForwarded(long nowNanos, AttemptRecord attempt);
}
