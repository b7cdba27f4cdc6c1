package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/** A small HTTP/1.1 server and client on loopback, without pipelining. */
final class Http {
  static final String HOST = "127.0.0.1";

  record Reply(int status, String body) {}

  interface Handler {
    /** Returns the reply; null closes the connection without a reply. */
    Reply handle(String method, String target, String body) throws Exception;
  }

  private record Message(String firstLine, String body, boolean close) {}

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    while (true) {
      int c = in.read();
      if (c < 0) {
        if (line.size() == 0) return null;
        throw new IOException("the stream ended within a line");
      }
      if (c == '\n') break;
      if (c != '\r') line.write(c);
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  private static Message read(InputStream in) throws IOException {
    String first = readLine(in);
    if (first == null) return null;
    int length = 0;
    boolean close = false;
    while (true) {
      String line = readLine(in);
      if (line == null) throw new IOException("the stream ended within a head");
      if (line.isEmpty()) break;
      String lower = line.toLowerCase(Locale.ROOT);
      if (lower.startsWith("content-length:")) length = Integer.parseInt(lower.substring(15).trim());
      if (lower.startsWith("connection:") && lower.contains("close")) close = true;
    }
    byte[] body = in.readNBytes(length);
    if (body.length < length) throw new IOException("the stream ended within a body");
    return new Message(first, new String(body, StandardCharsets.UTF_8), close);
  }

  private static final Set<Integer> GIVEN = new HashSet<>();

  /** A free port below the range from which the system usually takes the ports of outgoing connections. */
  static synchronized int freePort() {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(12_000, 32_000);
      if (!GIVEN.add(port)) continue;
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
        return socket.getLocalPort();
      } catch (IOException e) {
        // In use by another process.
      }
    }
  }

  /** Accepts connections until it is closed. It can be cut off from the network and joined to it again. */
  static final class Server implements AutoCloseable {
    final int port;
    private final Handler handler;
    private final Set<Socket> open = new HashSet<>();
    private final List<Socket> fillers = new ArrayList<>();
    private final ServerSocket listener = new ServerSocket();
    private boolean cut;

    Server(int port, int backlog, Handler handler) throws IOException {
      this.port = port;
      this.handler = handler;
      listener.setReuseAddress(true);
      listener.bind(new InetSocketAddress(HOST, port), backlog);
      Threads.start("http-" + port, this::accept);
    }

    private void accept() {
      while (!listener.isClosed()) {
        try {
          Socket client = listener.accept();
          synchronized (open) {
            while (cut) open.wait();
            open.add(client);
          }
          Threads.start("conn-" + port, () -> serve(client));
        } catch (IOException | InterruptedException e) {
          return;
        }
      }
    }

    private void serve(Socket client) {
      try (client) {
        client.setTcpNoDelay(true);
        InputStream in = new BufferedInputStream(client.getInputStream());
        while (true) {
          Message request = read(in);
          if (request == null) return;
          String[] words = request.firstLine.split(" ");
          Reply reply = handler.handle(words[0], words[1], request.body);
          if (reply == null) return;
          byte[] body = reply.body.getBytes(StandardCharsets.UTF_8);
          String head =
              "HTTP/1.1 " + reply.status + " Status\r\nContent-Type: application/json\r\nContent-Length: " + body.length + "\r\n\r\n";
          ByteArrayOutputStream all = new ByteArrayOutputStream();
          all.write(head.getBytes(StandardCharsets.ISO_8859_1));
          all.write(body);
          client.getOutputStream().write(all.toByteArray());
          if (request.close) return;
        }
      } catch (IOException e) {
        // The peer has gone, or the connection was reset.
      } catch (Exception e) {
        e.printStackTrace();
      } finally {
        synchronized (open) {
          open.remove(client);
        }
      }
    }

    /** Resets all open connections. New connection attempts stay without an answer: the queue of the listening socket is full. */
    void cut() throws IOException {
      synchronized (open) {
        cut = true;
        for (Socket socket : open) {
          socket.setSoLinger(true, 0);
          socket.close();
        }
        open.clear();
      }
      int refused = 0;
      while (refused < 2) {
        Socket filler = new Socket();
        try {
          filler.connect(new InetSocketAddress(HOST, port), 150);
          fillers.add(filler);
          refused = 0;
        } catch (IOException e) {
          filler.close();
          refused++;
        }
      }
    }

    void join() throws IOException {
      for (Socket filler : fillers) filler.close();
      fillers.clear();
      synchronized (open) {
        cut = false;
        open.notifyAll();
      }
    }

    @Override
    public void close() throws IOException {
      listener.close();
      synchronized (open) {
        for (Socket socket : open) socket.close();
      }
    }
  }

  /** A connection that is kept open between calls. A call returns null if there was no reply in time or the connection failed. */
  static final class Client {
    private Socket socket;
    private InputStream in;
    private int port = -1;

    synchronized Reply call(int toPort, String method, String target, String body, int timeoutMillis) {
      try {
        if (socket == null || socket.isClosed() || port != toPort) {
          close();
          Socket fresh = new Socket();
          socket = fresh;
          fresh.setTcpNoDelay(true);
          fresh.connect(new InetSocketAddress(HOST, toPort), Math.min(timeoutMillis, 2000));
          in = new BufferedInputStream(fresh.getInputStream());
          port = toPort;
        }
        socket.setSoTimeout(timeoutMillis);
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head = method + " " + target + " HTTP/1.1\r\nHost: " + HOST + "\r\nContent-Length: " + bytes.length + "\r\n\r\n";
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.getBytes(StandardCharsets.ISO_8859_1));
        all.write(bytes);
        socket.getOutputStream().write(all.toByteArray());
        Message reply = read(in);
        if (reply == null) {
          close();
          return null;
        }
        if (reply.close) close();
        return new Reply(Integer.parseInt(reply.firstLine.split(" ")[1]), reply.body);
      } catch (IOException e) {
        close();
        return null;
      }
    }

    synchronized void close() {
      try {
        if (socket != null) socket.close();
      } catch (IOException e) {
        // Nothing is left to close.
      }
      socket = null;
    }
  }

  /** One call on a connection of its own, as a load balancer makes it for a new connection of a user. */
  static Reply once(int port, String method, String target, String body, int timeoutMillis) {
    Client client = new Client();
    try {
      return client.call(port, method, target, body, timeoutMillis);
    } finally {
      client.close();
    }
  }

  private Http() {}
}
