import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Sends requests as clients do, each on a connection of its own. */
final class Caller {
    private static final int CONNECT_MILLIS = 1_000;

    private Caller() {}

    /** The status of the response to a POST of [body], or why there is none. */
    static String post(int port, String host, String path, String id, String key, int deadlineMillis, String body) {
        return post(port, host, path, id, key, deadlineMillis, "", body);
    }

    /** The same with further header [fields], each with its line end. */
    static String post(
        int port,
        String host,
        String path,
        String id,
        String key,
        int deadlineMillis,
        String fields,
        String body
    ) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), CONNECT_MILLIS);
            socket.setSoTimeout(deadlineMillis);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            String head = "POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: "
                + deadlineMillis + "\r\nAuthorization: Bearer " + key + "\r\n" + fields + "Content-Length: " + bytes.length + "\r\n\r\n";
            OutputStream output = socket.getOutputStream();
            output.write(head.getBytes(StandardCharsets.ISO_8859_1));
            output.write(bytes);
            output.flush();
            Http.Message response = Http.read(new BufferedInputStream(socket.getInputStream()));
            return response == null ? "closed" : response.word(1);
        } catch (IOException exception) {
            return exception.getClass().getSimpleName();
        }
    }
}
