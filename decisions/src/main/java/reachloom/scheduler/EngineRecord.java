package reachloom.scheduler;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import reachloom.scheduler.api.EngineEndpoint;
import reachloom.scheduler.api.EngineState;
import reachloom.scheduler.api.LoadReport;

/** What a gateway knows of one engine. */
final class EngineRecord {
  public final String name;
  public EngineEndpoint info;
  public EngineState state = EngineState.UP;
  public double cores;
  public double memoryMb;

  /** Threads, memory and attempts of this gateway that are out there. */
  public int threads;

  public double memory;
  public final Set<AttemptRecord> out = new LinkedHashSet<>();

  /** Loads of this gateway that are out there, by table group. */
  public final Map<Integer, Integer> loads = new LinkedHashMap<>();

  /** Until when a load of somebody else is taken to hold a table group. */
  public final Map<Integer, Long> heldGroups = new LinkedHashMap<>();

  final LatencyRatios.EngineLatency latency = new LatencyRatios.EngineLatency();

  public double bound;
  public double strain;
  public long boundChangedAt;
  public long pressedUntil;
  public long fullUntil;

  public double errors;
  public int troubles;
  public long restUntil;

  /** When a connection to it was last seen to break. */
  public long resetAt;

  public long lastSign;

  /** When its process started, on this gateway's clock; 0 for long ago. */
  public long startedAt;

  public long coldUntil;

  /**
   * The cold engine's slot that was last looked at, this gateway's part of it, and the work sent in
   * it.
   */
  public long coldSlot = Long.MIN_VALUE;

  public double coldPart;
  public double coldSpent;

  /** What other instances say against it, from 0 to 1. */
  public double hearsay;

  /** Its place in the list as it was told; a new process keeps that of the one before. */
  public long listPosition;

  public LoadReport report;
  public long reportAt;
  public boolean probing;
  public long probedAt;

  /** An engine of that name. */
  public EngineRecord(String name) {
    this.name = name;
  }

  private boolean current = true;

  /** Whether this incarnation is listed as up and has not been replaced. */
  boolean isUp() {
    return state == EngineState.UP && current;
  }

  /** Whether the scheduler still has this incarnation. */
  boolean isCurrent() {
    return current;
  }

  /** Marks the incarnation as replaced or removed. */
  void retire() {
    current = false;
  }

  /** Books an attempt that is out here. */
  public void add(AttemptRecord a) {
    out.add(a);
    threads += a.threads;
    memory += a.memoryMb;
    if (a.query.queryClass.loadsTables()) {
      loads.merge(a.query.query.tableGroup(), 1, Integer::sum);
    }
  }

  /** Takes an attempt out of the books, once. */
  public void remove(AttemptRecord a) {
    if (out.remove(a)) {
      threads -= a.threads;
      memory -= a.memoryMb;
      if (a.query.queryClass.loadsTables()) {
        loads.merge(a.query.query.tableGroup(), -1, (x, y) -> x + y == 0 ? null : x + y);
      }
    }
  }
}
