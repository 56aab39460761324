package standin;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A stand-in for the platform's store: ranges, watches, single reads and transactions, linearizable, without leases. */
public final class Store implements AutoCloseable {
    private static final Pattern CONDITION =
        Pattern.compile("\\{\"Key\":\"([^\"]*)\",\"Revision\":(\\d+)\\}");
    private static final Pattern PUT = Pattern.compile("\\{\"Key\":\"([^\"]*)\",\"Value\":\"([^\"]*)\"");
    private static final Pattern REMOVALS = Pattern.compile("\"Remove\":\\[([^\\]]*)\\]");

    private record Item(String key, String value, long revision, long created) {
        String json() {
            if (value == null) return "{\"Key\":\"" + key + "\",\"Revision\":" + revision + ",\"IsDeleted\":true}";
            return "{\"Key\":\"" + key + "\",\"Value\":\"" + value + "\",\"Revision\":" + revision + ",\"Created\":"
                + created + ",\"Lease\":0}";
        }
    }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Item> history = new ArrayList<>();
    private long revision = 1;
    private final HttpServer server;

    public Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 0);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", this::serve);
        server.start();
    }

    public String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes a value, or removes the key if it is null, as the operator and the engines do. */
    public synchronized void put(String key, String value) {
        write(key, value == null ? null : Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)));
    }

    private void write(String key, String encoded) {
        revision += 1;
        Item before = items.get(key);
        Item item = new Item(key, encoded, revision, before == null ? revision : before.created());
        if (encoded == null) items.remove(key); else items.put(key, item);
        history.add(item);
        notifyAll();
    }

    @Override
    public void close() {
        server.stop(0);
    }

    private void serve(HttpExchange exchange) throws IOException {
        try (exchange) {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            switch (exchange.getRequestURI().getPath()) {
                case "/kv-range" -> respond(exchange, 200, range(query));
                case "/kv-watch" -> respond(exchange, 200, watch(query));
                case "/kv-key" -> read(exchange, query.get("Key"));
                case "/kv-txn" -> transact(exchange, body);
                default -> respond(exchange, 404, "{}");
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized String range(Map<String, String> query) {
        String prefix = query.getOrDefault("Prefix", "");
        String after = query.getOrDefault("After", "");
        List<String> page = items.values().stream()
            .filter(item -> item.key().startsWith(prefix) && item.key().compareTo(after) > 0)
            .map(Item::json).toList();
        return "{\"Items\":[" + String.join(",", page) + "],\"HasMore\":false,\"At\":" + revision + "}";
    }

    private synchronized String watch(Map<String, String> query) throws InterruptedException {
        String prefix = query.getOrDefault("Prefix", "");
        long after = Long.parseLong(query.get("After"));
        long end = System.currentTimeMillis() + Long.parseLong(query.get("WaitMs"));
        List<String> events = changes(prefix, after);
        while (events.isEmpty() && System.currentTimeMillis() < end) {
            wait(Math.max(1, end - System.currentTimeMillis()));
            events = changes(prefix, after);
        }
        return "{\"events\":[" + String.join(",", events) + "],\"At\":" + revision + "}";
    }

    private List<String> changes(String prefix, long after) {
        return history.stream().filter(item -> item.key().startsWith(prefix) && item.revision() > after)
            .map(Item::json).toList();
    }

    private synchronized void read(HttpExchange exchange, String key) throws IOException {
        Item item = items.get(key);
        respond(exchange, item == null ? 404 : 200, item == null ? "{}" : item.json());
    }

    private synchronized void transact(HttpExchange exchange, String body) throws IOException {
        String conditions = body.substring(0, body.indexOf(']') + 1);
        List<String> current = new ArrayList<>();
        boolean holds = true;
        Matcher condition = CONDITION.matcher(conditions);
        while (condition.find()) {
            Item item = items.get(condition.group(1));
            if (item != null) current.add(item.json());
            holds &= (item == null ? 0 : item.revision()) == Long.parseLong(condition.group(2));
        }
        if (!holds) {
            respond(exchange, 412, "{\"Items\":[" + String.join(",", current) + "]}");
            return;
        }
        Matcher put = PUT.matcher(body.substring(conditions.length()));
        while (put.find()) write(put.group(1), put.group(2));
        Matcher removals = REMOVALS.matcher(body);
        if (removals.find()) {
            for (String key : removals.group(1).replace("\"", "").split(",")) if (!key.isEmpty()) write(key, null);
        }
        respond(exchange, 200, "{\"Revision\":" + revision + "}");
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        if (text == null) return query;
        for (String pair : text.split("&")) {
            int separator = pair.indexOf('=');
            if (separator < 0) continue;
            query.put(pair.substring(0, separator),
                URLDecoder.decode(pair.substring(separator + 1), StandardCharsets.UTF_8));
        }
        return query;
    }

    private static void respond(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
    }
}
