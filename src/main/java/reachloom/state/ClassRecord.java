package reachloom.state;

import reachloom.Decisions.QueryClass;

/** What a gateway has learned of one class. */
public final class ClassRecord {
  public final QueryClass kind;
  /** Seconds of time for a second of cost; 0 before the first cost is known. */
  public double factor;
  /** Means: time and cost in seconds, cost of those served, memory in MB. */
  public double meanTime;
  public double meanCost;
  public double servedCost;
  public double meanMemory;
  /** Memory needed for each MB estimated. */
  public double memoryFactor = 1;
  public int costs;
  public int memories;
  public int served;

  /** Nothing learned yet. */
  public ClassRecord(QueryClass kind) {
    this.kind = kind;
  }
}
