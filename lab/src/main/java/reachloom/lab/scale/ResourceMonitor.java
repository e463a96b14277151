package reachloom.lab.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * What control costs each gateway and each control machine, and what the run costs the machine that
 * it runs on. Samples are a second long and count between the first query and the last.
 */
final class ResourceMonitor {
  private static final double MAX_MEMORY_MB = 12 * 1024;
  private static final int MAX_PROCESSES = 300;

  /**
   * Clients, or what the rig does each 100 ms, may come so late; beyond, times are those of the
   * machine's own queue. That it is busy alone makes no run void: the figure of its idle time says
   * so.
   */
  private static final long MAX_LATE_MS = 1_000;

  private static final class Gateway {
    private long processor;
    private long bytes;
  }

  /** What had gone through by then. */
  record Count(long atMs, long messages, long bytes) {
    /** Messages and bytes a second since that earlier one. */
    double[] since(Count earlier) {
      double seconds = (atMs - earlier.atMs) / 1e3;
      return new double[] {
        (messages - earlier.messages) / seconds, (bytes - earlier.bytes) / seconds
      };
    }
  }

  private static final class Host {
    private long pid;
    private long at;
    private long processor;
    private final Map<Integer, Gateway> gateways = new LinkedHashMap<>();
  }

  private static final class Machine {
    private long pid;
    private long at;
    private long processor;
    private long bytes;
    private final Map<Integer, Count> first = new LinkedHashMap<>();
    private final Map<Integer, Count> last = new LinkedHashMap<>();
  }

  private final ScaleRun.Size size;
  private final Map<Integer, Host> hosts = new LinkedHashMap<>();
  private final Map<Integer, Machine> machines = new LinkedHashMap<>();
  private final List<Double> cpu = new ArrayList<>();
  private final List<Double> gossip = new ArrayList<>();
  private final List<Double> log = new ArrayList<>();
  private final List<Double> machineCpu = new ArrayList<>();
  private final List<Double> machineBytes = new ArrayList<>();
  private Supplier<List<Long>> gateways = List::of;
  private boolean on;
  private long lag;
  private double hollowMemory;
  private double memory;
  private double realMemory;
  private int processes;
  private long[] began = {0, 0};
  private long[] ended = {0, 0};
  private long rigBegan;
  private long rigSpent;
  private double rigMemory;
  private double hollowSpent;

  ResourceMonitor(ScaleRun.Size size) {
    this.size = size;
  }

  synchronized void hollowStarts(int host, long pid) {
    hosts.computeIfAbsent(host, h -> new Host()).pid = pid;
  }

  synchronized void controlStarts(int machine, long pid) {
    Machine m = new Machine();
    m.pid = pid;
    machines.put(machine, m);
  }

  synchronized void begin(Supplier<List<Long>> running) {
    gateways = running;
    on = true;
    began = Usage.machine();
    rigBegan = Usage.processor(ProcessHandle.current().pid());
  }

  synchronized void end() {
    on = false;
    ended = Usage.machine();
    rigSpent = Usage.processor(ProcessHandle.current().pid()) - rigBegan;
  }

  /** {@code usage MS LAG N:CPU:SENT:BYTES:RECEIVED:BYTES ...}. */
  synchronized void hollow(int host, String[] words) {
    Host h = hosts.get(host);
    long at = Long.parseLong(words[1]);
    long processor = Usage.processor(h.pid);
    double seconds = (at - h.at) / 1e3;
    boolean counts = on && h.at > 0 && seconds > 0.5;
    if (on) {
      lag = Math.max(lag, Long.parseLong(words[2]));
    }
    double own = 0;
    List<Double> shares = new ArrayList<>();
    for (int i = 3; i < words.length; i++) {
      String[] w = words[i].split(":");
      long spent = Long.parseLong(w[1]);
      long bytes = Long.parseLong(w[3]) + Long.parseLong(w[5]);
      Gateway before = h.gateways.computeIfAbsent(Integer.parseInt(w[0]), g -> new Gateway());
      if (counts && bytes >= before.bytes && spent >= before.processor) {
        shares.add((spent - before.processor) / 1e9 / seconds);
        own += (spent - before.processor) / 1e9 / seconds;
        gossip.add((bytes - before.bytes) / seconds);
      }
      before.processor = spent;
      before.bytes = bytes;
    }
    if (counts && !shares.isEmpty()) {
      double all = (processor - h.processor) / 1e9 / seconds;
      hollowSpent += processor - h.processor;
      double each =
          Math.max(0, all - own) / shares.size(); // collector and compiler: of each a part
      shares.forEach(s -> cpu.add(s + each));
    }
    h.at = at;
    h.processor = processor;
  }

  /** {@code usage MS LAG BYTES,... BYTES/FRAMES,...}. */
  synchronized void control(int machine, String line) {
    String[] words = line.split(" ");
    Machine m = machines.get(machine);
    long at = Long.parseLong(words[1]);
    long processor = Usage.processor(m.pid);
    long bytes = 0;
    int zone = 0;
    for (String sent : words[4].split(",")) {
      String[] w = sent.split("/");
      bytes += Long.parseLong(w[0]);
      if (on) {
        Count c = new Count(at, Long.parseLong(w[1]), Long.parseLong(w[0]));
        m.first.putIfAbsent(zone, c);
        m.last.put(zone, c);
      }
      zone++;
    }
    double seconds = (at - m.at) / 1e3;
    if (on && m.at > 0 && seconds > 0.5 && processor >= m.processor) {
      machineCpu.add((processor - m.processor) / 1e9 / seconds);
      machineBytes.add((bytes - m.bytes) / seconds);
      for (String each : words[3].equals("-") ? new String[0] : words[3].split(",")) {
        log.add(Long.parseLong(each) / seconds);
      }
    }
    m.at = at;
    m.processor = processor;
    m.bytes = bytes;
  }

  /** Looks at memory and processes. */
  synchronized void look() {
    List<Long> real = gateways.get();
    double all = rigMemory = Math.max(rigMemory, Usage.memory(ProcessHandle.current().pid()));
    for (long pid : real) {
      double mb = Usage.memory(pid);
      realMemory = Math.max(realMemory, mb);
      all += mb;
    }
    for (Host h : hosts.values()) {
      double mb = Usage.memory(h.pid);
      hollowMemory = Math.max(hollowMemory, mb / Math.max(1, h.gateways.size()));
      all += mb;
    }
    for (Machine m : machines.values()) {
      all += Usage.memory(m.pid);
    }
    memory = Math.max(memory, all);
    processes =
        Math.max(
            processes, real.size() + hosts.size() + machines.size() + 2); // the rig, its watcher
  }

  /** What a control machine sent to the gateways of a zone, in frames and bytes a second. */
  synchronized double[] changeLog(int machine, int zone) {
    Machine m = machines.get(machine);
    return m.last.get(zone).since(m.first.get(zone));
  }

  synchronized double idleShare() {
    double all = ended[1] - began[1];
    return all <= 0 ? 0 : Math.round(1e3 * (ended[0] - began[0]) / all) / 1e3;
  }

  synchronized void figures(Map<String, Object> to) {
    Double inGossip = Samples.percentile(gossip, 0.99);
    Double inLog = Samples.percentile(log, 0.99);
    to.put("control_cpu_share_p99", Samples.round(Samples.percentile(cpu, 0.99), 4));
    to.put("control_cpu_share_p50", Samples.round(Samples.percentile(cpu, 0.5), 4));
    to.put(
        "control_bytes_per_s_p99",
        inGossip == null || inLog == null ? null : Samples.round(inGossip + inLog, 0));
    to.put("gossip_bytes_per_s_p50", Samples.round(Samples.percentile(gossip, 0.5), 0));
    to.put("gossip_bytes_per_s_p99", Samples.round(inGossip, 0));
    to.put("change_log_bytes_per_s_p99", Samples.round(inLog, 0));
    // Of a real gateway the whole process, with what clients cost: more than control alone.
    to.put("control_memory_mb_max", realMemory == 0 ? null : Samples.round(realMemory, 1));
    to.put("hollow_memory_mb", hollowMemory == 0 ? null : Samples.round(hollowMemory, 1));
    to.put("control_machine_cpu_max", Samples.round(Samples.percentile(machineCpu, 1), 3));
    to.put(
        "control_machine_bytes_per_s_max", Samples.round(Samples.percentile(machineBytes, 1), 0));
    to.put("processes", processes);
    to.put("memory_mb_all", Samples.round(memory, 0));
    to.put("rig_memory_mb", Samples.round(rigMemory, 0));
    to.put("rig_cores", Samples.round(rigSpent / 1e9 / size.seconds(), 2));
    to.put("hollow_cores", Samples.round(hollowSpent / 1e9 / size.seconds(), 2));
    to.put("rig_late_ms", lag);
  }

  /** Why the figures are not those of the installation; empty where they are. */
  synchronized List<String> unbearable(Map<String, Object> figures) {
    List<String> why = new ArrayList<>();
    if (!Integer.valueOf(size.gateways()).equals(figures.get("gateways_ready"))) {
      why.add(figures.get("gateways_ready") + " of " + size.gateways() + " gateways were ready");
    }
    if (memory > MAX_MEMORY_MB) {
      why.add("more than 12 GB of memory");
    }
    if (processes > MAX_PROCESSES) {
      why.add("more than " + MAX_PROCESSES + " processes");
    }
    if (lag > MAX_LATE_MS) {
      why.add("a process with hollow gateways was " + lag + " ms late");
    }
    if (((Number) figures.get("clients_late_ms")).longValue() > MAX_LATE_MS) {
      why.add("clients were " + figures.get("clients_late_ms") + " ms late");
    }
    return why;
  }
}
