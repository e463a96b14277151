package reachloom.requestid;

/** What is known of the request that has, or had last, the id of a request that has arrived. */
public sealed interface EarlierRequest {
  /**
   * An earlier request that still needs a response, as far as is known.
   *
   * @param sameConnection whether both requests arrived on one connection
   * @param sameStatement whether both requests have the same statement
   * @param inputUnread whether input of the earlier request's client is left unread
   */
  record Open(boolean sameConnection, boolean sameStatement, boolean inputUnread)
      implements EarlierRequest {}

  /**
   * An earlier request that was responded to.
   *
   * @param sameConnection whether both requests arrived on one connection
   * @param sameStatement whether both requests have the same statement
   * @param clientConnected whether the connection of the earlier request is open
   * @param attemptMayRun whether an engine may still run an attempt of it
   * @param sinceEndNanos the time from its end until the arrival of the later request, in
   *     nanoseconds; negative if that arrived before
   */
  record Answered(
      boolean sameConnection,
      boolean sameStatement,
      boolean clientConnected,
      boolean attemptMayRun,
      long sinceEndNanos)
      implements EarlierRequest {}

  /**
   * An earlier request whose client has cancelled it or left.
   *
   * @param sameConnection whether both requests arrived on one connection
   * @param sameStatement whether both requests have the same statement
   * @param attemptMayRun whether an engine may still run an attempt of it
   * @param sinceEndNanos the time from its end until the arrival of the later request, in
   *     nanoseconds; negative if that arrived before
   */
  record Abandoned(
      boolean sameConnection, boolean sameStatement, boolean attemptMayRun, long sinceEndNanos)
      implements EarlierRequest {}
}
