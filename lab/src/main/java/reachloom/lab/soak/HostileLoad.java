package reachloom.lab.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import reachloom.lab.cluster.ClusterPlan;
import reachloom.lab.cluster.Companion;
import reachloom.standin.HostileClient;
import reachloom.standin.model.RealTimeScheduler;

/** Runs the hostile and the idle clients of a plan. */
final class HostileLoad implements Companion, AutoCloseable {
  private static final Map<String, String> SOUND_FIELDS =
      Map.of("verb", "lookup", "limit", "3000", "team", "one");

  private final SoakPlan plan;
  private final RealTimeScheduler time;
  private final List<AutoCloseable> open = new ArrayList<>();

  HostileLoad(SoakPlan plan, RealTimeScheduler time) {
    this.plan = plan;
    this.time = time;
  }

  @Override
  public void begin(long start, long end, List<InetSocketAddress> gateways) {
    for (SoakPlan.Episode episode : plan.episodes()) {
      time.at(
          start + nanos(episode.atS()),
          () -> beginEpisode(episode, gateways.get(episode.gateway()), end));
    }
    time.at(start, () -> gateways.forEach(this::connectIdleClients));
    time.at(end, this::closeAll);
  }

  private static long nanos(double seconds) {
    return (long) (seconds * ClusterPlan.SECOND);
  }

  private void beginEpisode(SoakPlan.Episode episode, InetSocketAddress gateway, long end) {
    List<HostileClient> clients = new ArrayList<>();
    for (int i = 0; i < episode.clients(); i++) {
      clients.add(new HostileClient(gateway, episode.behavior(), SOUND_FIELDS));
    }
    open.addAll(clients);
    long until = Math.min(end, time.now() + nanos(episode.lastsS()));
    time.at(until, () -> clients.forEach(HostileLoad::close));
  }

  private void connectIdleClients(InetSocketAddress gateway) {
    for (int i = 0; i < plan.idleClients(); i++) {
      Socket socket = new Socket();
      open.add(socket);
      try {
        socket.connect(gateway, (int) (ClusterPlan.SECOND / ClusterPlan.MILLISECOND));
      } catch (IOException e) {
        // the gateway shuts down, or its accept queue is full
      }
    }
  }

  private void closeAll() {
    open.forEach(HostileLoad::close);
    open.clear();
  }

  private static void close(AutoCloseable client) {
    try {
      client.close();
    } catch (Exception e) {
      // a connection that has ended
    }
  }

  @Override
  public void close() {
    closeAll();
  }
}
