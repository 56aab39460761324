import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Configurations of many routes that come in quick succession while the store is slow. Afterwards, probes tell which
 * version each router uses: the last version adds a route and drops a key.
 *
 * Arguments: the repository, a work folder, the record's file, the number of routes, the number of changes, the
 * milliseconds between them, the seconds to probe afterwards, and how long the store's answers take while it is slow, 0
 * if it shall not be slow.
 */
public final class ConfigurationBurst {
    private static final int ROUTERS = 3;
    private static final int APPLY_MILLIS = 2_000;
    private static final int CONTACT_MILLIS = 3_000;

    /** How long the store is slow. */
    private static final int SLOW_MILLIS = 5_000;
    private static final int USUAL_MILLIS = 4;
    private static final String KEPT_KEY = "kept-key-0123456789a";
    private static final String DROPPED_KEY = "dropped-key-01234567";

    private final Stage.Store store = new Stage.Store();
    private final List<Stage.Router> routers = new ArrayList<>();
    private final Set<String> runs = ConcurrentHashMap.newKeySet();
    private int probes;
    private int stale;
    private long lastStaleAt;
    private volatile long slowUntil;

    private ConfigurationBurst() throws IOException {}

    public static void main(String[] arguments) {
        int code = 2;
        try {
            code = new ConfigurationBurst().run(arguments);
        } catch (Exception exception) {
            exception.printStackTrace();
        }
        System.exit(code);
    }

    private int run(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]);
        Path work = Path.of(arguments[1]);
        Stage.openRecord(Path.of(arguments[2]));
        int routes = Integer.parseInt(arguments[3]);
        int changes = Integer.parseInt(arguments[4]);
        long gapMillis = Long.parseLong(arguments[5]);
        long watchMillis = Long.parseLong(arguments[6]) * 1_000;
        long slowMillis = Long.parseLong(arguments[7]);
        startEngine();
        store.put("op/config", configuration(10, 4, false));
        for (int i = 0; i < ROUTERS; i++) routers.add(new Stage.Router(root, work, "frontend-" + i, store.port));
        List<Integer> seeds = routers.stream().map(it -> it.peerPort).toList();
        for (Stage.Router router : routers) router.start(seeds);
        for (Stage.Router router : routers) router.awaitReady(20_000);
        Stage.sleep(3_000);
        for (int count = Math.min(routes, 350); count < routes; count += 350) {
            store.put("op/config", configuration(20 + count, count, false));
            Stage.sleep(900);
        }
        store.put("op/config", configuration(100_000, routes, false));
        Stage.sleep(5_000);
        for (Stage.Router router : routers) {
            Stage.record("before the burst, " + router.name + ": dropped key " + probe(router, "/old/x", DROPPED_KEY) +
                ", added route " + probe(router, "/added/x", KEPT_KEY));
        }
        List<String> versions = new ArrayList<>();
        for (int i = 1; i <= changes; i++) versions.add(configuration(100_000 + 2L * i, routes, i == changes));
        if (slowMillis > 0) {
            store.answerMillis = slowMillis;
            Stage.record("the store's answers take " + slowMillis + " ms from now on");
            Stage.daemon(() -> {
                Stage.sleep(SLOW_MILLIS);
                store.answerMillis = USUAL_MILLIS;
                slowUntil = Stage.millis();
                Stage.record("the store's answers take " + USUAL_MILLIS + " ms again");
            });
            Stage.sleep(1_000);
        }
        for (int i = 1; i <= changes; i++) {
            String text = versions.get(i - 1);
            store.put("op/config", text);
            Stage.record("change " + i + " acknowledged, " + text.length() + " bytes");
            if (i < changes) Stage.sleep(gapMillis);
        }
        long acknowledgedAt = Stage.millis();
        while (Stage.millis() < acknowledgedAt + watchMillis) {
            for (Stage.Router router : routers) checkVersion(router, acknowledgedAt);
            Stage.sleep(100);
        }
        Stage.record("result: " + probes + " requests sent later than " + APPLY_MILLIS + " ms after the last change, " + stale +
            " of them handled as only an older version allows, the last one " + lastStaleAt + " ms after the change");
        boolean isAlive = routers.stream().allMatch(Stage.Router::isAlive);
        Stage.record("result: all routers alive: " + isAlive);
        routers.forEach(Stage.Router::close);
        if (stale > 0) return 1;
        return isAlive && probes > 0 ? 0 : 2;
    }

    private void checkVersion(Stage.Router router, long acknowledgedAt) {
        long sentAt = Stage.millis() - acknowledgedAt;
        boolean isInTouch = store.answerMillis == USUAL_MILLIS && Stage.millis() - slowUntil > CONTACT_MILLIS;
        int dropped = probe(router, "/old/x", DROPPED_KEY);
        boolean hasRun = runs.contains(lastId);
        int added = probe(router, "/added/x", KEPT_KEY);
        boolean isStale = dropped == 200 || added == 404;
        if (sentAt > APPLY_MILLIS && isInTouch) {
            probes += 2;
            if (isStale) {
                stale += (dropped == 200 ? 1 : 0) + (added == 404 ? 1 : 0);
                lastStaleAt = sentAt;
            }
        }
        Stage.record(router.name + " " + sentAt + " ms after the last change: dropped key " + dropped + (hasRun ? " (an engine ran it)" : "") + ", added route " + added +
            (isStale ? " (an older version)" : ""));
    }

    private int nextId;
    private String lastId;

    private int probe(Stage.Router router, String path, String key) {
        nextId += 1;
        lastId = String.format("%016x", nextId);
        try (Stage.Link link = new Stage.Link(router.clientPort, 3_000)) {
            link.send("GET " + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " + lastId +
                "\r\nX-Deadline-Ms: 2000\r\nAuthorization: Bearer " + key + "\r\n\r\n");
            Stage.Head head = link.readHead();
            return head == null ? 0 : head.status;
        } catch (IOException exception) {
            return 0;
        }
    }

    private static String route(String name, String prefix) {
        return "{\"Name\":\"" + name + "\",\"Host\":\"desk.example\",\"Prefix\":\"" + prefix + "\",\"Kind\":\"safe\",\"TimeoutMs\":2000," +
            "\"TargetLatencyMs\":500,\"Priority\":1,\"Service\":\"hire-ledger\",\"MaxAttempts\":2,\"Public\":false," +
            "\"StickySessions\":false,\"StreamResumption\":false}";
    }

    /** A configuration of [routes] routes; the [isLast] one has another route and one key less. */
    private static String configuration(long version, int routes, boolean isLast) {
        StringBuilder text = new StringBuilder("{\"Version\":" + version + ",\"Routes\":[" + route("r-old", "/old/"));
        for (int i = 0; i < routes; i++) text.append(',').append(route(String.format("r-%06x", i), String.format("/m%06x/", i)));
        if (isLast) text.append(',').append(route("r-added", "/added/"));
        return text + "],\"Services\":[{\"Name\":\"hire-ledger\",\"HealthPath\":\"/health\",\"ConnectionLimit\":100,\"Protocol\":\"h1\"," +
            "\"Tls\":false}],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000," +
            "\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"orchard\",\"ApiKeys\":[\"" + KEPT_KEY + "\"" +
            (isLast ? "" : ",\"" + DROPPED_KEY + "\"") + "],\"Priority\":1}]}";
    }

    private void startEngine() throws IOException {
        ServerSocket server = new ServerSocket();
        server.bind(new InetSocketAddress(Stage.LOOPBACK, 0), 64);
        Stage.daemon(() -> {
            while (true) {
                try {
                    Socket socket = server.accept();
                    Stage.daemon(() -> serve(socket));
                } catch (IOException exception) {
                    return;
                }
            }
        });
        long born = System.currentTimeMillis();
        Stage.daemon(() -> {
            for (int sequence = 1; true; sequence++) {
                store.put("servers/i-000001", "{\"Service\":\"hire-ledger\",\"Address\":\"127.0.0.1:" + server.getLocalPort() +
                    "\",\"Zone\":\"wm-a\",\"Version\":\"v1\",\"Slots\":6,\"State\":\"ready\",\"ColdRemainingMs\":0,\"Sequence\":" +
                    sequence + ",\"born\":" + born + "}");
                Stage.sleep(1_200);
            }
        });
    }

    private void serve(Socket socket) {
        try (Stage.Link link = new Stage.Link(socket)) {
            for (Stage.Head head = link.readHead(); head != null; head = link.readHead()) {
                if (head.startLine.contains("/old/")) runs.add(head.field("x-attempt-id"));
                link.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + head.field("x-attempt-id") +
                    "\r\nX-Response-Seal: s\r\nX-Server-Load: 1,0,6\r\nContent-Length: 2\r\n\r\nok");
            }
        } catch (IOException exception) {
            // The router closed the connection.
        }
    }
}
