package reachloom.scheduler;

/** Is notified by {@link AttemptForwarder} of each attempt that is forwarded. */
interface ForwardingListener {
  /** An attempt was forwarded; it is already among those of its query. */
  void onForwarded(long nowNanos, AttemptRecord attempt);
}
