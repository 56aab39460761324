import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A loopback server on a free port that handles each connection on a thread of its own. */
abstract class Listener {
    private final ServerSocket server;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

    Listener() throws IOException {
        server = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
    }

    /** Starts to accept connections. */
    final void listen() {
        startThread(this::acceptAll);
    }

    final int port() {
        return server.getLocalPort();
    }

    /** Ends the listener and all its connections, as the kernel does when a process crashes. */
    final void shut() throws IOException {
        server.close();
        for (Socket connection : connections) connection.close();
    }

    abstract void serve(Socket connection) throws Exception;

    static void startThread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptAll() {
        while (!server.isClosed()) {
            try {
                Socket connection = server.accept();
                connection.setTcpNoDelay(true);
                connections.add(connection);
                startThread(() -> handle(connection));
            } catch (IOException closed) {
                return;
            }
        }
    }

    /** A connection that fails or is closed by its peer simply ends. */
    private void handle(Socket connection) {
        try (connection) {
            serve(connection);
        } catch (Exception ended) {
            return;
        } finally {
            connections.remove(connection);
        }
    }
}
