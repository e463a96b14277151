package reachloom.lab.cluster;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The resident memory of processes in MB; processes whose memory cannot be read are left out.
 *
 * @param most that of the process with the most
 * @param sum that of all processes
 */
record ProcessMemory(double most, double sum) {
  private static final double KB_PER_MB = 1024;

  static ProcessMemory of(List<Process> processes) {
    double most = 0;
    double sum = 0;
    for (Process process : processes) {
      double mb = process != null && process.isAlive() ? residentMb(process.pid()) : 0;
      most = Math.max(most, mb);
      sum += mb;
    }
    return new ProcessMemory(most, sum);
  }

  private static double residentMb(long pid) {
    try {
      String line =
          Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
              .filter(l -> l.startsWith("VmRSS:"))
              .findFirst()
              .orElse("VmRSS: 0 kB");
      return Double.parseDouble(line.replaceAll("\\D+", "")) / KB_PER_MB;
    } catch (IOException e) {
      return 0; // the process has just ended
    }
  }
}
