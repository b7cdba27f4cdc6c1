package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A proxy between the controllers. A link that is held passes on nothing; what was written waits and is delivered in order afterwards. */
final class PeerLinks implements AutoCloseable {
  private static final class Link {
    final String from;
    final String to;
    volatile boolean held;

    Link(String from, String to) {
      this.from = from;
      this.to = to;
    }

    synchronized void awaitOpen() throws InterruptedException {
      while (held) wait();
    }

    synchronized void hold(boolean hold) {
      held = hold;
      notifyAll();
    }
  }

  private final Map<String, Link> links = new HashMap<>();
  private final List<ServerSocket> listeners = new ArrayList<>();

  int open(String from, String to, int port) throws IOException {
    Link link = new Link(from, to);
    links.put(from + ">" + to, link);
    ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName(Http.HOST));
    listeners.add(listener);
    Threads.start("link-" + from + "-" + to, () -> accept(listener, link, port));
    return listener.getLocalPort();
  }

  /** Holds back, or passes on again, everything between two controllers, in both directions. */
  void hold(String one, String other, boolean hold) {
    links.get(one + ">" + other).hold(hold);
    links.get(other + ">" + one).hold(hold);
    Record.line((hold ? "cut" : "join") + " " + one + " and " + other);
  }

  private void accept(ServerSocket listener, Link link, int port) {
    while (true) {
      try {
        Socket client = listener.accept();
        Threads.start("link", () -> serve(client, link, port));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket client, Link link, int port) {
    try {
      link.awaitOpen();
      Socket server = new Socket();
      server.connect(new InetSocketAddress(Http.HOST, port), 2000);
      client.setTcpNoDelay(true);
      server.setTcpNoDelay(true);
      Threads.start("link-back", () -> copy(server, client, link));
      copy(client, server, link);
    } catch (IOException | InterruptedException e) {
      close(client);
    }
  }

  private void copy(Socket from, Socket to, Link link) {
    byte[] buffer = new byte[16 * 1024];
    try {
      while (true) {
        int size = from.getInputStream().read(buffer);
        link.awaitOpen();
        if (size < 0) break;
        to.getOutputStream().write(buffer, 0, size);
      }
    } catch (IOException | InterruptedException e) {
      // One side has gone.
    }
    close(from);
    close(to);
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // It is closed already.
    }
  }

  @Override
  public void close() throws IOException {
    for (ServerSocket listener : listeners) listener.close();
  }
}
