import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The platform's store: reads, ranges, watches and conditional writes. It is always up, loses nothing and keeps its
 * whole history. Values are UTF-8 text.
 */
final class StoreStandIn extends Listener {
    private static final Pattern CONDITION = Pattern.compile("\"Key\":\"([^\"]*)\",\"Revision\":(\\d+)");
    private static final Pattern PUT = Pattern.compile("\"Key\":\"([^\"]*)\",\"Value\":\"([^\"]*)\"");
    private static final Pattern TEXT = Pattern.compile("\"([^\"]+)\"");

    private record Item(String key, String value, long revision) {
        String json() {
            if (value == null) return "{\"Key\":\"" + key + "\",\"Revision\":" + revision + ",\"IsDeleted\":true}";
            String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
            return "{\"Key\":\"" + key + "\",\"Value\":\"" + encoded + "\",\"Revision\":" + revision
                + ",\"Created\":" + revision + ",\"Lease\":0}";
        }
    }

    private record Answer(int status, String body) {}

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Item> history = new ArrayList<>();
    private long revision = 1;

    StoreStandIn() throws IOException {
        listen();
    }

    /** Writes [value] at [key]; null removes the key. */
    synchronized void put(String key, String value) {
        revision += 1;
        Item item = new Item(key, value, revision);
        if (value == null) items.remove(key); else items.put(key, item);
        history.add(item);
        notifyAll();
    }

    @Override
    void serve(Socket connection) throws Exception {
        InputStream input = new BufferedInputStream(connection.getInputStream());
        OutputStream output = connection.getOutputStream();
        while (true) {
            Http.Message request = Http.read(input);
            if (request == null) return;
            Answer answer = answer(request);
            byte[] body = answer.body.getBytes(StandardCharsets.UTF_8);
            String head = "HTTP/1.1 " + answer.status + " Status\r\nContent-Type: application/json\r\nContent-Length: "
                + body.length + "\r\n\r\n";
            output.write(head.getBytes(StandardCharsets.ISO_8859_1));
            output.write(body);
            output.flush();
        }
    }

    private Answer answer(Http.Message request) throws Exception {
        String uri = request.word(1);
        Map<String, String> query = query(uri);
        if (uri.startsWith("/kv-key?")) return read(query.get("Key"));
        if (uri.startsWith("/kv-range?")) return range(query.get("Prefix"), query.getOrDefault("After", ""));
        if (uri.startsWith("/kv-watch?")) {
            return watch(query.get("Prefix"), Long.parseLong(query.get("After")), Long.parseLong(query.get("WaitMs")));
        }
        if (uri.equals("/kv-txn")) return transact(request.text());
        return new Answer(404, "{}");
    }

    private synchronized Answer read(String key) {
        Item item = items.get(key);
        return item == null ? new Answer(404, "{\"At\":" + revision + "}") : new Answer(200, item.json());
    }

    private synchronized Answer range(String prefix, String after) {
        List<String> found = new ArrayList<>();
        items.tailMap(prefix, true).values().stream()
            .takeWhile(item -> item.key.startsWith(prefix))
            .filter(item -> item.key.compareTo(after) > 0)
            .forEach(item -> found.add(item.json()));
        String list = String.join(",", found);
        return new Answer(200, "{\"Items\":[" + list + "],\"HasMore\":false,\"At\":" + revision + "}");
    }

    private synchronized Answer watch(String prefix, long after, long waitMillis) throws InterruptedException {
        long end = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            List<String> events = new ArrayList<>();
            history.stream()
                .filter(item -> item.revision > after && item.key.startsWith(prefix))
                .forEach(item -> events.add(item.json()));
            long millisLeft = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || millisLeft <= 0) {
                return new Answer(200, "{\"events\":[" + String.join(",", events) + "],\"At\":" + revision + "}");
            }
            wait(millisLeft);
        }
    }

    private synchronized Answer transact(String body) {
        int puts = body.indexOf("\"Puts\"");
        int removals = body.indexOf("\"Remove\"");
        List<String> current = new ArrayList<>();
        boolean holds = true;
        Matcher condition = CONDITION.matcher(body.substring(0, puts));
        while (condition.find()) {
            Item item = items.getOrDefault(condition.group(1), new Item(condition.group(1), null, 0));
            holds &= item.revision == Long.parseLong(condition.group(2));
            current.add(item.json());
        }
        if (!holds) return new Answer(412, "{\"Items\":[" + String.join(",", current) + "],\"At\":" + revision + "}");
        Matcher put = PUT.matcher(body.substring(puts, removals));
        while (put.find()) put(put.group(1), new String(Base64.getDecoder().decode(put.group(2)), StandardCharsets.UTF_8));
        Matcher removal = TEXT.matcher(body.substring(body.indexOf('[', removals)));
        while (removal.find()) put(removal.group(1), null);
        return new Answer(200, "{\"Revision\":" + revision + "}");
    }

    private static Map<String, String> query(String uri) {
        Map<String, String> parameters = new HashMap<>();
        int start = uri.indexOf('?');
        if (start < 0) return parameters;
        for (String part : uri.substring(start + 1).split("&")) {
            int equals = part.indexOf('=');
            parameters.put(part.substring(0, equals), URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return parameters;
    }
}
