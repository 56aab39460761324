package standin;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A stand-in for a client with one kept connection. */
public final class Client implements AutoCloseable {
    /** An answer; [status] is 0 if the connection ended before a complete one. */
    public record Answer(int status, Map<String, String> headers, String body) {
        public String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    public static final Answer NONE = new Answer(0, Map.of(), "");
    private final Router router;
    private final int timeoutMillis;
    private Socket socket;
    private InputStream in;

    public Client(Router router, int timeoutMillis) {
        this.router = router;
        this.timeoutMillis = timeoutMillis;
    }

    /** The text of a request. */
    public static String request(String method, String path, String id, int deadlineMillis, String more, String body) {
        return method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: "
            + deadlineMillis + "\r\nAuthorization: Bearer secret\r\n" + more
            + (body.isEmpty() && method.equals("GET") ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n" + body;
    }

    /** Sends [text] on the kept connection, or a new one if there is none, and reads one answer. */
    public Answer send(String text) {
        try {
            if (socket == null) connect();
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            Answer answer = read();
            if (answer.status() == 0 || "close".equalsIgnoreCase(answer.header("Connection"))) close();
            return answer;
        } catch (IOException exception) {
            close();
            return NONE;
        }
    }

    public void connect() throws IOException {
        socket = new Socket(router.host, router.clientPort);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMillis);
        in = new BufferedInputStream(socket.getInputStream());
    }

    public Socket socket() {
        return socket;
    }

    /** Reads one complete answer. */
    public Answer read() throws IOException {
        String start = line();
        if (start == null) return NONE;
        Map<String, String> headers = new LinkedHashMap<>();
        while (true) {
            String line = line();
            if (line == null) return NONE;
            if (line.isEmpty()) break;
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            while (true) {
                String size = line();
                if (size == null) return NONE;
                int length = Integer.parseInt(size.trim(), 16);
                byte[] chunk = in.readNBytes(length);
                if (chunk.length < length || line() == null) return NONE;
                if (length == 0) break;
                body.write(chunk);
            }
        } else {
            int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
            byte[] bytes = in.readNBytes(length);
            if (bytes.length < length) return NONE;
            body.write(bytes);
        }
        return new Answer(Integer.parseInt(start.split(" ")[1]), headers, body.toString(StandardCharsets.ISO_8859_1));
    }

    private String line() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') return line.toString();
            if (next != '\r') line.append((char) next);
        }
        return null;
    }

    @Override
    public void close() {
        try {
            if (socket != null) socket.close();
        } catch (IOException exception) {
            // Nothing is left to close.
        }
        socket = null;
    }
}
