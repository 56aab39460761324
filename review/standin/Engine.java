package standin;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Predicate;

/** A stand-in for an engine. [Behaviour] writes what the engine sends for each request that it has read in full. */
public final class Engine implements AutoCloseable {
    /** A request as the engine read it; the names of its headers are in lower case. */
    public record Request(String engine, String method, String path, Map<String, String> headers, byte[] body) {
        public String id() {
            return headers.get("x-attempt-id");
        }
    }

    /** Answers one request. Returns false to close the connection. */
    public interface Behaviour {
        boolean answer(Request request, Socket socket, OutputStream out) throws Exception;
    }

    /** Links have small windows (DEPLOY.md). */
    private static final int RECEIVE_BUFFER_BYTES = 32_768;
    private static final int BACKLOG = 200;
    public final String id;
    private final ServerSocket server;
    private final Behaviour behaviour;
    private final Predicate<String> readsBody;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();

    public Engine(String id, Behaviour behaviour) throws IOException {
        this(id, attemptId -> true, behaviour);
    }

    /** An engine that asks [readsBody], by the request's id, whether to read the body before it answers. */
    public Engine(String id, Predicate<String> readsBody, Behaviour behaviour) throws IOException {
        this.id = id;
        this.readsBody = readsBody;
        this.behaviour = behaviour;
        this.server = new ServerSocket();
        server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        server.bind(new InetSocketAddress("127.0.0.1", 0), BACKLOG);
        daemon(this::accept);
    }

    /** The entry that the engine writes of itself under servers/ID. */
    public String entry(String service, int slots, String state, long sequence) {
        return ("{\"Service\":\"%s\",\"Address\":\"127.0.0.1:%d\",\"Zone\":\"wm-a\",\"Version\":\"v1\",\"Slots\":%d,"
            + "\"State\":\"%s\",\"ColdRemainingMs\":0,\"Sequence\":%d,\"born\":1700000000000}")
            .formatted(service, server.getLocalPort(), slots, state, sequence);
    }

    /** A complete answer with a length, with the headers that the pages name. */
    public static byte[] answer(String status, String id, String more, String body) {
        return ("HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + id + "\r\n" + more + "Keep-Alive: timeout=10\r\n"
            + "Content-Length: " + body.length() + "\r\n\r\n" + body).getBytes(StandardCharsets.ISO_8859_1);
    }

    public static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                sockets.add(socket);
                daemon(() -> serve(socket));
            } catch (IOException exception) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Request request = read(in);
                if (request == null || !behaviour.answer(request, socket, out)) return;
            }
        } catch (Exception exception) {
            // The connection ended, which the router notices itself.
        } finally {
            sockets.remove(socket);
        }
    }

    private Request read(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) return null;
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        int length = readsBody.test(headers.get("x-attempt-id"))
            ? Integer.parseInt(headers.getOrDefault("content-length", "0")) : 0;
        byte[] body = in.readNBytes(length);
        if (body.length < length) return null;
        String[] parts = start.split(" ");
        return new Request(id, parts[0], parts[1], headers, body);
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') return line.toString();
            if (next != '\r') line.append((char) next);
        }
        return null;
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) socket.close();
    }
}
