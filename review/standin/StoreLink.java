package standin;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * The way from one router to the store. While the store turns that router away without a response, the calls of the
 * router are read and nothing is returned to it.
 */
public final class StoreLink {
    private final ServerSocket server;
    private final String store;
    private volatile boolean isTurnedAway;
    private volatile long lastListReadAt;

    public StoreLink(String store) throws IOException {
        this.store = store;
        this.server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Engine.daemon(this::accept);
    }

    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Whether the store gives this router no response from now on. */
    public void setTurnedAway(boolean isTurnedAway) {
        this.isTurnedAway = isTurnedAway;
    }

    /** When the router last read or watched the list of engines, by [System.nanoTime]. */
    public long lastListReadAt() {
        return lastListReadAt;
    }

    private void accept() {
        while (true) {
            try {
                Socket router = server.accept();
                Socket target = new Socket("127.0.0.1", Integer.parseInt(store.substring(store.indexOf(':') + 1)));
                Engine.daemon(() -> copy(router, target, true));
                Engine.daemon(() -> copy(target, router, false));
            } catch (IOException exception) {
                return;
            }
        }
    }

    private void copy(Socket from, Socket to, boolean isCall) {
        try (from; to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] bytes = new byte[65_536];
            for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
                if (isTurnedAway) continue;
                if (isCall && new String(bytes, 0, count, StandardCharsets.ISO_8859_1).contains("=servers%2F")) {
                    lastListReadAt = System.nanoTime();
                }
                out.write(bytes, 0, count);
            }
        } catch (IOException exception) {
            // One side has closed the connection; so does the other.
        }
    }
}
