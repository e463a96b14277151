package reachloom.lab.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Measures the cost of control for each gateway and each control machine, and the load of the run
 * on the machine it runs on. Processor time, traffic and delays are sampled each second and count
 * between the first query and the last. Memory and the number of processes are maxima until the end
 * of the run; those of real gateways count from the first query on.
 */
final class ResourceMonitor {
  private static final double MAX_MEMORY_MB = 12 * 1024;
  private static final int MAX_PROCESSES = 300;

  /**
   * Maximum delay of clients and of the task that synthetic processes run each 100 ms; beyond it,
   * measured times are dominated by the machine's own run queue. A busy machine alone does not make
   * a run void; its idle time is a figure of its own.
   */
  private static final long MAX_DELAY_MS = 1_000;

  private static final class GatewayCounters {
    private long cpuNanos;
    private long bytes;
  }

  /** Cumulative traffic at a point in time. */
  record Count(long atMs, long messages, long bytes) {
    /** Returns messages and bytes a second since an earlier count. */
    double[] since(Count earlier) {
      double seconds = (atMs - earlier.atMs) / 1e3;
      return new double[] {
        (messages - earlier.messages) / seconds, (bytes - earlier.bytes) / seconds
      };
    }
  }

  private static final class SyntheticProcess {
    private long pid;
    private long atMs;
    private long cpuNanos;
    private final Map<Integer, GatewayCounters> gateways = new LinkedHashMap<>();
  }

  private static final class ControlMachine {
    private long pid;
    private long atMs;
    private long cpuNanos;
    private long bytes;
    private final Map<Integer, Count> first = new LinkedHashMap<>();
    private final Map<Integer, Count> last = new LinkedHashMap<>();
  }

  private final ScaleRun.Size size;
  private final Map<Integer, SyntheticProcess> processesByNumber = new LinkedHashMap<>();
  private final Map<Integer, ControlMachine> machines = new LinkedHashMap<>();
  private final List<Double> cpuShares = new ArrayList<>();
  private final List<Double> gossipRates = new ArrayList<>();
  private final List<Double> changeLogRates = new ArrayList<>();
  private final List<Double> controlCpuShares = new ArrayList<>();
  private final List<Double> controlByteRates = new ArrayList<>();
  private Supplier<List<Long>> realPids = List::of;
  private boolean measuring;
  private long maxDelayMs;
  private double syntheticMemoryMb;
  private double totalMemoryMb;
  private double realMemoryMb;
  private int processes;
  private long[] ticksAtBegin = {0, 0};
  private long[] ticksAtEnd = {0, 0};
  private long ownCpuAtBegin;
  private long ownCpuNanos;
  private double ownMemoryMb;
  private double syntheticCpuNanos;

  ResourceMonitor(ScaleRun.Size size) {
    this.size = size;
  }

  synchronized void syntheticProcessStarted(int process, long pid) {
    processesByNumber.computeIfAbsent(process, p -> new SyntheticProcess()).pid = pid;
  }

  synchronized void controlMachineStarted(int machine, long pid) {
    ControlMachine m = new ControlMachine();
    m.pid = pid;
    machines.put(machine, m);
  }

  synchronized void begin(Supplier<List<Long>> running) {
    realPids = running;
    measuring = true;
    ticksAtBegin = Usage.machineCpuTicks();
    ownCpuAtBegin = Usage.cpuNanos(ProcessHandle.current().pid());
  }

  synchronized void end() {
    measuring = false;
    ticksAtEnd = Usage.machineCpuTicks();
    ownCpuNanos = Usage.cpuNanos(ProcessHandle.current().pid()) - ownCpuAtBegin;
  }

  /**
   * Handles {@code usage MS LAG N:CPU:SENT:BYTES:RECEIVED:BYTES ...}: LAG in milliseconds, and per
   * gateway N the CPU time in nanoseconds and the messages and bytes of gossip so far.
   */
  synchronized void onSyntheticUsage(int process, String[] words) {
    SyntheticProcess last = processesByNumber.get(process);
    long at = Long.parseLong(words[1]);
    long cpuNanos = Usage.cpuNanos(last.pid);
    double seconds = (at - last.atMs) / 1e3;
    boolean counts = measuring && last.atMs > 0 && seconds > 0.5;
    if (measuring) {
      maxDelayMs = Math.max(maxDelayMs, Long.parseLong(words[2]));
    }
    double threadCores = 0;
    List<Double> shares = new ArrayList<>();
    for (int i = 3; i < words.length; i++) {
      String[] fields = words[i].split(":");
      long spent = Long.parseLong(fields[1]);
      long bytes = Long.parseLong(fields[3]) + Long.parseLong(fields[5]);
      GatewayCounters before =
          last.gateways.computeIfAbsent(Integer.parseInt(fields[0]), g -> new GatewayCounters());
      if (counts && bytes >= before.bytes && spent >= before.cpuNanos) {
        shares.add((spent - before.cpuNanos) / 1e9 / seconds);
        threadCores += (spent - before.cpuNanos) / 1e9 / seconds;
        gossipRates.add((bytes - before.bytes) / seconds);
      }
      before.cpuNanos = spent;
      before.bytes = bytes;
    }
    if (counts && !shares.isEmpty()) {
      double all = (cpuNanos - last.cpuNanos) / 1e9 / seconds;
      syntheticCpuNanos += cpuNanos - last.cpuNanos;
      // The time of garbage collector and compiler is shared evenly among the gateways.
      double each = Math.max(0, all - threadCores) / shares.size();
      shares.forEach(s -> cpuShares.add(s + each));
    }
    last.atMs = at;
    last.cpuNanos = cpuNanos;
  }

  /**
   * Handles {@code usage MS LAG BYTES,... BYTES/FRAMES,...}: the bytes sent to each follower since
   * the last line, or {@code -} without followers, and the bytes and frames so far by zone.
   */
  synchronized void onControlUsage(int machine, String line) {
    String[] words = line.split(" ");
    ControlMachine m = machines.get(machine);
    long at = Long.parseLong(words[1]);
    long cpuNanos = Usage.cpuNanos(m.pid);
    long bytes = 0;
    int zone = 0;
    for (String sent : words[4].split(",")) {
      String[] fields = sent.split("/");
      bytes += Long.parseLong(fields[0]);
      if (measuring) {
        Count count = new Count(at, Long.parseLong(fields[1]), Long.parseLong(fields[0]));
        m.first.putIfAbsent(zone, count);
        m.last.put(zone, count);
      }
      zone++;
    }
    double seconds = (at - m.atMs) / 1e3;
    if (measuring && m.atMs > 0 && seconds > 0.5 && cpuNanos >= m.cpuNanos) {
      controlCpuShares.add((cpuNanos - m.cpuNanos) / 1e9 / seconds);
      controlByteRates.add((bytes - m.bytes) / seconds);
      for (String each : words[3].equals("-") ? new String[0] : words[3].split(",")) {
        changeLogRates.add(Long.parseLong(each) / seconds);
      }
    }
    m.atMs = at;
    m.cpuNanos = cpuNanos;
    m.bytes = bytes;
  }

  /** Samples memory and the number of processes. */
  synchronized void sample() {
    List<Long> real = realPids.get();
    double all =
        ownMemoryMb = Math.max(ownMemoryMb, Usage.residentMegabytes(ProcessHandle.current().pid()));
    for (long pid : real) {
      double mb = Usage.residentMegabytes(pid);
      realMemoryMb = Math.max(realMemoryMb, mb);
      all += mb;
    }
    for (SyntheticProcess h : processesByNumber.values()) {
      double mb = Usage.residentMegabytes(h.pid);
      syntheticMemoryMb = Math.max(syntheticMemoryMb, mb / Math.max(1, h.gateways.size()));
      all += mb;
    }
    for (ControlMachine m : machines.values()) {
      all += Usage.residentMegabytes(m.pid);
    }
    totalMemoryMb = Math.max(totalMemoryMb, all);
    // The other two: the laboratory, and the shell that kills the gateways once it has ended.
    processes = Math.max(processes, real.size() + processesByNumber.size() + machines.size() + 2);
  }

  /**
   * Returns the frames and bytes a second that a control machine sent to a zone's gateways between
   * the first query and the last.
   */
  synchronized double[] changeLog(int machine, int zone) {
    ControlMachine m = machines.get(machine);
    return m.last.get(zone).since(m.first.get(zone));
  }

  synchronized double idleShare() {
    double all = ticksAtEnd[1] - ticksAtBegin[1];
    return all <= 0 ? 0 : Math.round(1e3 * (ticksAtEnd[0] - ticksAtBegin[0]) / all) / 1e3;
  }

  synchronized void figures(Map<String, Object> to) {
    Double gossipP99 = Samples.percentile(gossipRates, 0.99);
    Double changeLogP99 = Samples.percentile(changeLogRates, 0.99);
    to.put("control_cpu_share_p99", Samples.round(Samples.percentile(cpuShares, 0.99), 4));
    to.put("control_cpu_share_p50", Samples.round(Samples.percentile(cpuShares, 0.5), 4));
    to.put(
        "control_bytes_per_s_p99",
        gossipP99 == null || changeLogP99 == null
            ? null
            : Samples.round(gossipP99 + changeLogP99, 0));
    to.put("gossip_bytes_per_s_p50", Samples.round(Samples.percentile(gossipRates, 0.5), 0));
    to.put("gossip_bytes_per_s_p99", Samples.round(gossipP99, 0));
    to.put("change_log_bytes_per_s_p99", Samples.round(changeLogP99, 0));
    // Memory of a real gateway's whole process, with the cost of clients: more than control alone.
    to.put("control_memory_mb_max", realMemoryMb == 0 ? null : Samples.round(realMemoryMb, 1));
    to.put("hollow_memory_mb", syntheticMemoryMb == 0 ? null : Samples.round(syntheticMemoryMb, 1));
    to.put("control_machine_cpu_max", Samples.round(Samples.percentile(controlCpuShares, 1), 3));
    to.put(
        "control_machine_bytes_per_s_max",
        Samples.round(Samples.percentile(controlByteRates, 1), 0));
    to.put("processes", processes);
    to.put("memory_mb_all", Samples.round(totalMemoryMb, 0));
    to.put("rig_memory_mb", Samples.round(ownMemoryMb, 0));
    to.put("rig_cores", Samples.round(ownCpuNanos / 1e9 / size.seconds(), 2));
    to.put("hollow_cores", Samples.round(syntheticCpuNanos / 1e9 / size.seconds(), 2));
    to.put("rig_late_ms", maxDelayMs);
  }

  /** Returns the reasons why the run is void; empty if its figures are valid. */
  synchronized List<String> voidReasons(Map<String, Object> figures) {
    List<String> reasons = new ArrayList<>();
    if (!Integer.valueOf(size.gateways()).equals(figures.get("gateways_ready"))) {
      reasons.add(
          figures.get("gateways_ready") + " of " + size.gateways() + " gateways were ready");
    }
    if (totalMemoryMb > MAX_MEMORY_MB) {
      reasons.add("more than 12 GB of memory");
    }
    if (processes > MAX_PROCESSES) {
      reasons.add("more than " + MAX_PROCESSES + " processes");
    }
    if (maxDelayMs > MAX_DELAY_MS) {
      reasons.add("a process with hollow gateways was " + maxDelayMs + " ms late");
    }
    if (((Number) figures.get("clients_late_ms")).longValue() > MAX_DELAY_MS) {
      reasons.add("clients were " + figures.get("clients_late_ms") + " ms late");
    }
    return reasons;
  }
}
