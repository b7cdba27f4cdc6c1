import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server and client and a TCP proxy, all on loopback with blocking sockets. */
final class Net {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    private Net() {
    }

    record Response(int status, String body) {
    }

    /** Answers a request; null closes the connection without an answer. */
    interface Handler {
        Response handle(String method, String target, String body) throws Exception;
    }

    static Thread daemon(String name, Runnable work) {
        Thread thread = new Thread(null, work, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static final Set<Integer> GIVEN = ConcurrentHashMap.newKeySet();

    /** A free port below those that the system gives to outgoing connections, so that none of these takes it before it is used. */
    static int freePort() {
        while (true) {
            int port = 15_000 + (int) (Math.random() * 15_000);
            if (!GIVEN.add(port)) continue;
            try (ServerSocket socket = new ServerSocket(port, 1, LOOPBACK)) {
                return port;
            } catch (IOException e) {
                // In use: try another.
            }
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
            if (b == '\n') break;
            if (b != '\r') line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads headers and body; returns the body and sets close[0] if the sender closes the connection. */
    private static byte[] readRest(InputStream in, boolean[] close) throws IOException {
        int length = 0;
        while (true) {
            String line = readLine(in);
            if (line == null) throw new IOException("closed within the head");
            if (line.isEmpty()) break;
            String lower = line.toLowerCase();
            if (lower.startsWith("content-length:")) length = Integer.parseInt(lower.substring(15).trim());
            if (lower.startsWith("connection:") && lower.contains("close")) close[0] = true;
        }
        byte[] body = in.readNBytes(length);
        if (body.length < length) throw new IOException("closed within the body");
        return body;
    }

    /** Serves HTTP on a port until the process ends; one thread per connection. */
    static final class Server {
        final int port;
        private final ServerSocket socket;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();
        /** Largest accepted body; a longer one is answered 400, as the limit of the protocol allows. */
        volatile int maxBody = Integer.MAX_VALUE;

        Server(Handler handler) throws IOException {
            socket = new ServerSocket(0, 512, LOOPBACK);
            port = socket.getLocalPort();
            daemon("server-" + port, () -> {
                while (!socket.isClosed()) {
                    try {
                        Socket client = socket.accept();
                        open.add(client);
                        daemon("connection-" + port, () -> serve(client, handler));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        void close() throws IOException {
            socket.close();
            for (Socket each : open) each.close();
        }

        private void serve(Socket client, Handler handler) {
            try (client) {
                client.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(client.getInputStream());
                OutputStream out = client.getOutputStream();
                while (true) {
                    String first = readLine(in);
                    if (first == null) return;
                    String[] parts = first.split(" ");
                    boolean[] close = new boolean[1];
                    byte[] body = readRest(in, close);
                    Response response = body.length > maxBody
                        ? new Response(400, "{\"error\":\"body too long\"}")
                        : handler.handle(parts[0], parts[1], new String(body, StandardCharsets.UTF_8));
                    if (response == null) return;
                    byte[] bytes = response.body().getBytes(StandardCharsets.UTF_8);
                    String head = "HTTP/1.1 " + response.status() + " X\r\nContent-Type: application/json\r\nContent-Length: "
                        + bytes.length + "\r\n\r\n";
                    byte[] all = new byte[head.length() + bytes.length];
                    System.arraycopy(head.getBytes(StandardCharsets.ISO_8859_1), 0, all, 0, head.length());
                    System.arraycopy(bytes, 0, all, head.length(), bytes.length);
                    out.write(all);
                    out.flush();
                    if (close[0]) return;
                }
            } catch (Exception e) {
                // The client has gone, or the request was malformed: the connection is closed.
            } finally {
                open.remove(client);
            }
        }
    }

    /** An HTTP client with one connection, kept open between calls. Status 0 stands for no response. */
    static final class Client {
        private Socket socket;
        private InputStream in;
        private int connectedTo;

        synchronized Response call(int port, String method, String path, String body, int timeoutMillis) {
            try {
                if (socket == null || socket.isClosed() || connectedTo != port) connect(port);
                socket.setSoTimeout(timeoutMillis);
                byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
                String head = method + " " + path + " HTTP/1.1\r\nHost: 127.0.0.1:" + port + "\r\n"
                    + (body == null ? "" : "Content-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n") + "\r\n";
                ByteArrayOutputStream all = new ByteArrayOutputStream();
                all.write(head.getBytes(StandardCharsets.ISO_8859_1));
                all.write(bytes);
                socket.getOutputStream().write(all.toByteArray());
                long deadline = System.nanoTime() + timeoutMillis * 1_000_000L;
                String status = readLine(in);
                if (status == null) throw new IOException("closed");
                boolean[] close = new boolean[1];
                byte[] answer = readRest(in, close);
                if (close[0]) close();
                if (System.nanoTime() > deadline) throw new IOException("too late");
                return new Response(Integer.parseInt(status.split(" ")[1]), new String(answer, StandardCharsets.UTF_8));
            } catch (Exception e) {
                close();
                return new Response(0, "");
            }
        }

        private void connect(int port) throws IOException {
            close();
            Socket fresh = new Socket();
            fresh.setTcpNoDelay(true);
            fresh.connect(new InetSocketAddress(LOOPBACK, port), 500);
            socket = fresh;
            in = new BufferedInputStream(fresh.getInputStream());
            connectedTo = port;
        }

        synchronized void close() {
            try {
                if (socket != null) socket.close();
            } catch (IOException e) {
                // Already closed.
            }
            socket = null;
        }
    }

    /** A TCP proxy in front of one port. */
    static final class Proxy {
        enum Mode {
            PASS,
            /** Bytes wait in both directions, new connections too, and go on later in order. */
            HOLD,
            /** Bytes towards the target pass, answers wait. */
            HOLD_ANSWERS,
            /** New connections are reset at once. */
            REFUSE
        }

        final int port;
        private final int target;
        private volatile Mode mode = Mode.PASS;
        private volatile int delayMillis;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();

        Proxy(int target) throws IOException {
            this.target = target;
            ServerSocket server = new ServerSocket(0, 512, LOOPBACK);
            port = server.getLocalPort();
            daemon("proxy-" + port, () -> {
                while (true) {
                    try {
                        Socket client = server.accept();
                        daemon("proxied-" + port, () -> carry(client));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        synchronized void set(Mode next) {
            mode = next;
            notifyAll();
        }

        void delay(int millis) {
            delayMillis = millis;
        }

        /** Resets all open connections. */
        void reset() {
            for (Socket each : open) reset(each);
        }

        private static void reset(Socket socket) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // Already closed.
            }
        }

        private void carry(Socket client) {
            if (mode == Mode.REFUSE) {
                reset(client);
                return;
            }
            await(false);
            try {
                Socket server = new Socket(LOOPBACK, target);
                client.setTcpNoDelay(true);
                server.setTcpNoDelay(true);
                open.add(client);
                open.add(server);
                daemon("proxied-" + port, () -> pump(server, client, true));
                pump(client, server, false);
            } catch (IOException e) {
                reset(client);
            }
        }

        private synchronized void await(boolean answers) {
            try {
                while (mode == Mode.HOLD || (answers && mode == Mode.HOLD_ANSWERS)) wait();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private void pump(Socket from, Socket to, boolean answers) {
            byte[] buffer = new byte[64 * 1024];
            try {
                while (true) {
                    int size = from.getInputStream().read(buffer);
                    await(answers);
                    if (delayMillis > 0) Thread.sleep(delayMillis);
                    if (size < 0) {
                        to.shutdownOutput();
                        return;
                    }
                    to.getOutputStream().write(buffer, 0, size);
                }
            } catch (IOException e) {
                reset(from);
                reset(to);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                if (from.isClosed() || to.isClosed()) {
                    open.remove(from);
                    open.remove(to);
                }
            }
        }
    }
}
