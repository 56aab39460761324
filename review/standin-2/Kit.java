import java.io.BufferedOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parts that the scripts of this review share: HTTP heads, the platform's store, router processes and the record. */
final class Kit {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final int FIRST_PORT = 15_000;
    private static final int PORTS_A_SCRIPT = 60;
    private static final int SCRIPTS = 250;
    private static int usedPorts;

    private Kit() {}

    /** A head of a request or response: its first line and its fields, by lower-case name. */
    static final class Head {
        final String firstLine;
        final Map<String, String> fields = new LinkedHashMap<>();

        Head(String text) {
            String[] lines = text.split("\r\n");
            firstLine = lines[0];
            for (int i = 1; i < lines.length; i++) {
                int colon = lines[i].indexOf(':');
                if (colon > 0) {
                    fields.put(lines[i].substring(0, colon).toLowerCase(Locale.ROOT), lines[i].substring(colon + 1).trim());
                }
            }
        }

        String field(String name) {
            return fields.get(name);
        }

        int length() {
            String text = fields.get("content-length");
            return text == null ? 0 : Integer.parseInt(text);
        }

        String path() {
            return firstLine.split(" ")[1];
        }
    }

    /** Reads up to and with the empty line; null if the connection has ended before the first byte. */
    static String readHead(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.length() < 4 || !text.substring(text.length() - 4).equals("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                if (text.length() == 0) return null;
                throw new IOException("the connection ended inside a head");
            }
            text.append((char) next);
        }
        return text.toString();
    }

    static byte[] readExactly(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) throw new IOException("the connection ended inside a body");
        return bytes;
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    static ServerSocket listen() throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.bind(new InetSocketAddress(LOOPBACK, 0), 512);
        return socket;
    }

    /**
     * A free port below those that the system gives to outgoing connections, from a block of this script's own, so that
     * scripts which run side by side don't pick the same one.
     */
    static synchronized int freePort() throws IOException {
        while (usedPorts < PORTS_A_SCRIPT) {
            int port = FIRST_PORT + (int) (ProcessHandle.current().pid() % SCRIPTS) * PORTS_A_SCRIPT + usedPorts++;
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress(LOOPBACK, port));
                return port;
            } catch (IOException ignored) {
                // In use.
            }
        }
        throw new IOException("found no free port");
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }

    /** Whether a faulty engine may disturb its answers now: for five seconds of each six, as long as one such disruption lasts. */
    static boolean isDisturbed() {
        return System.nanoTime() / 1_000_000 % 6000 < 5000;
    }

    /** An engine's answer to a request for its health path, or null if [head] is none. */
    static String health(Head head, String engine, long coldMillis) {
        if (!head.firstLine.startsWith("GET /health ")) return null;
        return "HTTP/1.1 200 OK\r\nX-Instance-Id: " + engine + "\r\nX-Cold-Ms: " + coldMillis + "\r\nContent-Length: 0\r\n\r\n";
    }

    /** Handles one connection; it is closed when this returns or throws. */
    interface Connection {
        void serve(Socket socket) throws Exception;
    }

    static void accept(ServerSocket server, Connection connection) {
        daemon(() -> {
            while (true) {
                Socket socket;
                try {
                    socket = server.accept();
                } catch (IOException exception) {
                    return;
                }
                daemon(() -> {
                    try (socket) {
                        socket.setTcpNoDelay(true);
                        connection.serve(socket);
                    } catch (Exception ignored) {
                        // The peer has left.
                    }
                });
            }
        });
    }

    /** The platform's store as PROTOCOL.md tells it, without leases. */
    static final class Store {
        private final TreeMap<String, String> items = new TreeMap<>();
        private final List<Change> log = new ArrayList<>();
        private static final String[] UNAVAILABLE = {"503", "{}"};
        private long revision = 10;
        final int port;

        /** Whether the store answers each call by 503, and takes no entries of engines. */
        volatile boolean isDown;

        private static final class Change {
            final String key;
            final long revision;
            final String json;

            Change(String key, long revision, String json) {
                this.key = key;
                this.revision = revision;
                this.json = json;
            }
        }

        /** An address of the store that turns callers away while it is shut, and serves those of other addresses. */
        static final class Door {
            int port;
            volatile boolean isShut;
        }

        Store() throws IOException {
            port = openDoor().port;
        }

        Door openDoor() throws IOException {
            ServerSocket server = listen();
            Door door = new Door();
            door.port = server.getLocalPort();
            accept(server, socket -> serve(socket, door));
            return door;
        }

        synchronized void put(String key, String value) {
            revision++;
            String json = "{\"Key\":\"" + key + "\",\"Value\":\""
                + Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8))
                + "\",\"Revision\":" + revision + ",\"Created\":" + revision + ",\"Lease\":0}";
            items.put(key, json);
            log.add(new Change(key, revision, json));
            notifyAll();
        }

        /** Writes for an engine, unless the store is down. Returns whether it was written. */
        boolean tryPut(String key, String value) {
            if (isDown) return false;
            put(key, value);
            return true;
        }

        synchronized void remove(String key) {
            if (items.remove(key) == null) return;
            revision++;
            log.add(new Change(key, revision, "{\"Key\":\"" + key + "\",\"Revision\":" + revision + ",\"IsDeleted\":true}"));
            notifyAll();
        }

        private void serve(Socket socket, Door door) throws Exception {
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                String text = readHead(in);
                if (text == null) return;
                Head head = new Head(text);
                String body = new String(readExactly(in, head.length()), StandardCharsets.UTF_8);
                boolean isShut = isDown || door.isShut;
                String[] answer = isShut ? UNAVAILABLE : answer(head.path(), body, door);
                if (isDown || door.isShut) {
                    // A watch that was waiting is cut.
                    if (!isShut) return;
                    answer = UNAVAILABLE;
                }
                byte[] bytes = answer[1].getBytes(StandardCharsets.UTF_8);
                sleep(4);
                out.write(ascii("HTTP/1.1 " + answer[0] + " Answer\r\nContent-Type: application/json\r\nContent-Length: "
                    + bytes.length + "\r\n\r\n"));
                out.write(bytes);
                out.flush();
            }
        }

        private synchronized String[] answer(String target, String body, Door door) throws Exception {
            String[] parts = target.split("\\?", 2);
            Map<String, String> query = query(parts.length > 1 ? parts[1] : "");
            switch (parts[0]) {
                case "/kv-key": {
                    String item = items.get(query.get("Key"));
                    return item == null ? new String[] {"404", "{\"At\":" + revision + "}"} : new String[] {"200", item};
                }
                case "/kv-range":
                    return new String[] {"200", "{\"Items\":[" + String.join(",", under(query.get("Prefix"))) + "],\"HasMore\":false,\"At\":"
                        + revision + "}"};
                case "/kv-watch":
                    return new String[] {"200", watch(query, door)};
                case "/kv-txn":
                    return transaction(body);
                default:
                    return new String[] {"404", "{}"};
            }
        }

        private List<String> under(String prefix) {
            List<String> found = new ArrayList<>();
            items.forEach((key, json) -> {
                if (key.startsWith(prefix)) found.add(json);
            });
            return found;
        }

        private String watch(Map<String, String> query, Door door) throws InterruptedException {
            long after = Long.parseLong(query.get("After"));
            long end = System.nanoTime() + Long.parseLong(query.get("WaitMs")) * 1_000_000;
            while (true) {
                List<String> events = new ArrayList<>();
                for (Change change : log) {
                    if (change.revision > after && change.key.startsWith(query.get("Prefix"))) events.add(change.json);
                }
                long left = (end - System.nanoTime()) / 1_000_000;
                if (!events.isEmpty() || left <= 0 || isDown || door.isShut) {
                    return "{\"events\":[" + String.join(",", events) + "],\"At\":" + revision + "}";
                }
                wait(Math.min(left, 20));
            }
        }

        private static final Pattern CONDITION = Pattern.compile("\\{\"Key\":\"([^\"]*)\",\"Revision\":(\\d+)\\}");
        private static final Pattern PUT = Pattern.compile("\\{\"Key\":\"([^\"]*)\",\"Value\":\"([^\"]*)\"");
        private static final Pattern REVISION = Pattern.compile("\"Revision\":(\\d+)");

        private String[] transaction(String body) {
            Matcher condition = CONDITION.matcher(body);
            while (condition.find()) {
                String item = items.get(condition.group(1));
                long current = 0;
                if (item != null) {
                    Matcher matcher = REVISION.matcher(item);
                    matcher.find();
                    current = Long.parseLong(matcher.group(1));
                }
                if (current != Long.parseLong(condition.group(2))) {
                    return new String[] {"412", "{\"Items\":[" + (item == null ? "" : item) + "]}"};
                }
            }
            Matcher put = PUT.matcher(body);
            while (put.find()) put(put.group(1), new String(Base64.getDecoder().decode(put.group(2)), StandardCharsets.UTF_8));
            return new String[] {"200", "{\"Revision\":" + revision + "}"};
        }

        private static Map<String, String> query(String text) {
            Map<String, String> query = new LinkedHashMap<>();
            for (String pair : text.split("&")) {
                int equals = pair.indexOf('=');
                if (equals > 0) {
                    query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
                }
            }
            return query;
        }
    }

    /** The entry with which an engine registers itself. */
    static String engineEntry(String service, int port, int slots, String state, long born, long sequence) {
        return "{\"Service\":\"" + service + "\",\"Address\":\"127.0.0.1:" + port + "\",\"Zone\":\"wm-a\",\"Version\":\"1\",\"Slots\":"
            + slots + ",\"State\":\"" + state + "\",\"ColdRemainingMs\":0,\"Sequence\":" + sequence + ",\"born\":" + born + "}";
    }

    /** A route of the configuration; [more] holds further fields, each with a comma before it. */
    static String route(String name, String prefix, String kind, String service, int timeoutMs, int aimMs, String more) {
        return "{\"Name\":\"" + name + "\",\"Host\":\"desk.example\",\"Prefix\":\"" + prefix + "\",\"Kind\":\"" + kind + "\",\"Service\":\""
            + service + "\",\"TimeoutMs\":" + timeoutMs + ",\"TargetLatencyMs\":" + aimMs + ",\"Priority\":1" + more + "}";
    }

    static String configuration(int version, String service, String... routes) {
        return "{\"Version\":" + version + ",\"Routes\":[" + String.join(",", routes) + "],\"Services\":[{\"Name\":\"" + service
            + "\",\"HealthPath\":\"/health\",\"ConnectionLimit\":360}],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
            + "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";
    }

    /** A router, started with the run line of the deploy file in the repository's root. */
    static final class Router {
        final String name;
        final int clientPort;
        final int readyPort;
        final int peerPort;
        private final Path settings;
        private final File log;
        Process process;

        Router(String name, Path folder, Store store, List<Integer> seeds, int peerPort) throws IOException {
            this(name, folder, store.port, seeds, peerPort);
        }

        Router(String name, Path folder, int storePort, List<Integer> seeds, int peerPort) throws IOException {
            this.name = name;
            this.clientPort = freePort();
            this.readyPort = freePort();
            this.peerPort = peerPort;
            settings = folder.resolve(name + ".json");
            log = folder.resolve(name + ".log").toFile();
            List<String> seedTexts = new ArrayList<>();
            for (int seed : seeds) seedTexts.add("\"127.0.0.1:" + seed + "\"");
            Files.writeString(settings, "{\"NodeName\":\"" + name + "\",\"Role\":\"router\",\"MachineClass\":\"frontend\","
                + "\"Serves\":[\"frontend\",\"control\"],\"Ip\":\"127.0.0.1\",\"Zone\":\"wm-a\",\"Region\":\"west-midlands\","
                + "\"Zones\":{\"wm-a\":\"west-midlands\"},\"ListenAddresses\":{\"FrontAddress\":\"127.0.0.1:" + clientPort
                + "\",\"Ready\":\"127.0.0.1:" + readyPort + "\",\"ControlPlane\":\"127.0.0.1:" + peerPort + "\"},"
                + "\"InternalPortRange\":[7340,7355],\"SeedNodes\":[" + String.join(",", seedTexts) + "],\"Bootstrap\":true,"
                + "\"ToleranceMember\":false,\"Limits\":{\"CpuShare\":0.75,\"CpuCores\":1,\"MemoryMb\":430,\"FileDescriptors\":4100,"
                + "\"LinkMbps\":1000.0,\"DiskMb\":0},\"DataDirectory\":null,\"Discovery\":\"platform\",\"Entry\":\"vip\","
                + "\"HeartbeatIntervalMs\":1200,\"Contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\","
                + "\"stream\",\"tenants\",\"platform\"],\"FaultTolerance\":{\"Machines\":1,\"Zones\":0,\"Regions\":0},"
                + "\"Bounds\":{\"SeedLagS\":3,\"AddressReuseS\":2,\"ContactMs\":3000,\"AckTimeoutMs\":4000,\"CatchUpS\":4,"
                + "\"DrainTimeoutMs\":2000,\"GracePeriodS\":8,\"LossSlackMs\":200,\"ConfigApplyMs\":2000,\"RollbackSlackMs\":250,"
                + "\"OuterBoundMs\":5000,\"StrictRevocation\":false,\"RevocationMs\":5000,\"RetryBudgetRatio\":0.2,\"BudgetWindowS\":10,"
                + "\"RetryBudgetSlack\":54,\"RecoveryS\":12,\"PassMs\":120,\"ReuseWindowS\":10,\"ImbalanceFactor\":2,\"ColdOverrun\":1.5,"
                + "\"ColdSlack\":5,\"EvacuationMs\":5000},"
                + "\"Platform\":{\"Address\":\"127.0.0.1:" + storePort + "\",\"form\":\"kv\",\"WritesPerS\":400,\"ReadsPerS\":2000,"
                + "\"HistoryS\":20,\"ValueBytes\":1048576,\"TtlMinMs\":1000}}");
        }

        void start() throws IOException {
            String runLine = null;
            for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
                if (line.startsWith("run = ")) runLine = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
            if (runLine == null) throw new IOException("deploy/system.toml has no run line");
            ProcessBuilder builder = new ProcessBuilder(runLine.split(" "));
            Map<String, String> environment = builder.environment();
            environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            environment.put("CICADAARCH_NODE_FILE", settings.toString());
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
            process = builder.start();
        }

        boolean isReady() {
            try (Socket socket = new Socket(LOOPBACK, readyPort)) {
                socket.setSoTimeout(1000);
                socket.getOutputStream().write(ascii("GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n"));
                String head = readHead(socket.getInputStream());
                return head != null && head.startsWith("HTTP/1.1 200 ");
            } catch (IOException exception) {
                return false;
            }
        }

        void awaitReady() throws IOException {
            for (int i = 0; i < 300; i++) {
                if (isReady()) return;
                sleep(50);
            }
            throw new IOException(name + " is not ready after 15 s");
        }

        void signal(String signal) throws Exception {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).inheritIO().start().waitFor();
        }
    }

    /** What was sent, answered and run, in a file of its own. */
    static final class Record implements AutoCloseable {
        private final OutputStream out;
        private final long start = System.nanoTime();

        Record(Path file) throws IOException {
            out = new BufferedOutputStream(Files.newOutputStream(file));
        }

        synchronized void line(String text) {
            try {
                out.write(ascii(String.format(Locale.ROOT, "%8.3f ", (System.nanoTime() - start) / 1e9) + text + "\n"));
            } catch (IOException exception) {
                throw new IllegalStateException(exception);
            }
        }

        @Override
        public synchronized void close() throws IOException {
            out.close();
        }
    }

    /** The text with what is not printable shown as an escape. */
    static String shown(byte[] bytes, int limit) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < Math.min(bytes.length, limit); i++) {
            int value = bytes[i] & 0xff;
            if (value == '\r') text.append("\\r");
            else if (value == '\n') text.append("\\n");
            else if (value >= 32 && value < 127) text.append((char) value);
            else text.append(String.format("\\x%02x", value));
        }
        return text + (bytes.length > limit ? "..." : "");
    }
}
