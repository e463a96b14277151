package reachloom.state;

/** How much of its share a tenant has left at this gateway. */
public final class TenantRecord {
  public final double perSecond;
  public double left;
  public long filledAt;

  /** A share, in queries a second; 0 sets none. */
  public TenantRecord(double perSecond) {
    this.perSecond = perSecond;
  }
}
