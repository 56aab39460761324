import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** Reads HTTP/1.1 messages from a socket. */
final class Http {
    private Http() {}

    /** A message: its first line, its header fields by lower-case name, and its body. */
    static final class Message {
        final String firstLine;
        final Map<String, String> headers = new HashMap<>();
        byte[] body = new byte[0];

        Message(String firstLine) {
            this.firstLine = firstLine;
        }

        /** The word at [index] of the first line. */
        String word(int index) {
            return firstLine.split(" ")[index];
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads a message with its body; null if the connection ends before it. */
    static Message read(InputStream input) throws IOException {
        Message message = readHead(input);
        if (message != null) message.body = readBody(input, message);
        return message;
    }

    static Message readHead(InputStream input) throws IOException {
        String line = readLine(input);
        if (line == null) return null;
        Message message = new Message(line);
        while (true) {
            line = readLine(input);
            if (line == null) return null;
            if (line.isEmpty()) return message;
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
        }
    }

    static byte[] readBody(InputStream input, Message message) throws IOException {
        if ("chunked".equalsIgnoreCase(message.headers.get("transfer-encoding"))) return readChunks(input);
        return readBytes(input, Integer.parseInt(message.headers.getOrDefault("content-length", "0")));
    }

    private static byte[] readChunks(InputStream input) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = readLine(input);
            if (size == null) throw new EOFException("within a chunked body");
            int length = Integer.parseInt(size.trim(), 16);
            body.write(readBytes(input, length));
            readLine(input);
            if (length == 0) return body.toByteArray();
        }
    }

    private static byte[] readBytes(InputStream input, int length) throws IOException {
        byte[] bytes = input.readNBytes(length);
        if (bytes.length < length) throw new EOFException("within a body");
        return bytes;
    }

    private static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = input.read();
            if (next < 0) return null;
            if (next == '\n') return line.toString(StandardCharsets.ISO_8859_1).replaceAll("\r$", "");
            line.write(next);
        }
    }
}
