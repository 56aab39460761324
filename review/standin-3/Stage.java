import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedInputStream;
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
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What the scripts share: the platform's store, router processes, raw HTTP, and the record of a run. */
final class Stage {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final long START = System.nanoTime();
    private static Path recordFile;

    private Stage() {}

    /** Milliseconds since the program started. */
    static long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - START);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(null, task, "stand-in", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static synchronized void openRecord(Path file) throws IOException {
        Files.writeString(file, "");
        recordFile = file;
    }

    /** Adds a line to the record of the run. */
    static synchronized void record(String text) {
        try {
            Files.writeString(recordFile, String.format("%8.3f %s%n", millis() / 1000.0, text), StandardOpenOption.APPEND);
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
            return socket.getLocalPort();
        }
    }

    /** The platform's store: a revision counter, items, pages, watches and conditional writes. */
    static final class Store {
        /** HistoryS of the settings: older changes are no longer available to watches. */
        private static final long HISTORY_MILLIS = 20_000;
        private static final int PAGE = 500;
        private static final int BUFFER_BYTES = 65_536;
        private final TreeMap<String, Item> items = new TreeMap<>();
        private final ArrayDeque<Item> history = new ArrayDeque<>();
        private long revision = 10;
        private long discardedUpTo = 10;

        /** How long each answer takes besides; what it says is as of the moment at which the call is done. */
        volatile long answerMillis = 4;
        final int port;

        Store() throws IOException {
            HttpServer server = HttpServer.create(new InetSocketAddress(LOOPBACK, 0), 256);
            server.setExecutor(Executors.newCachedThreadPool(task -> {
                Thread thread = new Thread(null, task, "store", 256 * 1024);
                thread.setDaemon(true);
                return thread;
            }));
            server.createContext("/", this::serve);
            server.start();
            port = server.getAddress().getPort();
        }

        synchronized long put(String key, String value) {
            revision += 1;
            Item before = items.get(key);
            Item item = new Item(key, value, revision, before == null ? revision : before.created);
            if (value == null) items.remove(key); else items.put(key, item);
            history.addLast(item);
            notifyAll();
            return revision;
        }

        synchronized int count(String prefix) {
            return items.subMap(prefix, prefix + '\uffff').size();
        }

        private void serve(HttpExchange exchange) {
            try (exchange) {
                Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
                String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
                Reply reply = switch (exchange.getRequestURI().getPath()) {
                    case "/kv-range" -> range(query);
                    case "/kv-watch" -> watch(query);
                    case "/kv-key" -> key(query);
                    case "/kv-txn" -> transaction(body);
                    default -> new Reply(404, "{}");
                };
                sleep(answerMillis);
                exchange.getResponseHeaders().set("Content-Type", "application/json");
                exchange.sendResponseHeaders(reply.status, reply.parts.stream().mapToLong(it -> it.length).sum());
                for (byte[] part : reply.parts) {
                    for (int from = 0; from < part.length; from += BUFFER_BYTES) {
                        exchange.getResponseBody().write(part, from, Math.min(BUFFER_BYTES, part.length - from));
                    }
                }
            } catch (IOException exception) {
                // The router closed the connection.
            }
        }

        private static Map<String, String> query(String text) {
            Map<String, String> query = new HashMap<>();
            if (text == null) return query;
            for (String pair : text.split("&")) {
                int separator = pair.indexOf('=');
                if (separator > 0) {
                    query.put(pair.substring(0, separator), URLDecoder.decode(pair.substring(separator + 1), StandardCharsets.UTF_8));
                }
            }
            return query;
        }

        private synchronized Reply range(Map<String, String> query) {
            String prefix = query.getOrDefault("Prefix", "");
            String after = query.getOrDefault("After", "");
            List<byte[]> page = new ArrayList<>();
            boolean hasMore = false;
            for (Item item : items.tailMap(prefix, true).values()) {
                if (!item.key.startsWith(prefix)) break;
                if (item.key.compareTo(after) <= 0) continue;
                hasMore = page.size() == PAGE;
                if (hasMore) break;
                page.add(item.json);
            }
            return Reply.ofList("{\"Items\":[", page, "],\"HasMore\":" + hasMore + ",\"At\":" + revision + "}");
        }

        private synchronized Reply key(Map<String, String> query) {
            Item item = items.get(query.getOrDefault("Key", ""));
            return item == null ? new Reply(404, "{}") : new Reply(200, new String(item.json, StandardCharsets.UTF_8).replaceFirst("\\}$", ",\"At\":" + revision + "}"));
        }

        private synchronized Reply watch(Map<String, String> query) {
            String prefix = query.getOrDefault("Prefix", "");
            long after = Long.parseLong(query.get("After"));
            long end = millis() + Long.parseLong(query.get("WaitMs"));
            while (true) {
                while (!history.isEmpty() && millis() - history.getFirst().writtenAt > HISTORY_MILLIS) {
                    discardedUpTo = history.removeFirst().revision;
                }
                if (after < discardedUpTo) return new Reply(410, "{}");
                List<byte[]> events = new ArrayList<>();
                for (Item item : history) {
                    if (item.revision > after && item.key.startsWith(prefix)) events.add(item.json);
                }
                long left = end - millis();
                if (!events.isEmpty() || left <= 0) {
                    return Reply.ofList("{\"events\":[", events, "],\"At\":" + revision + "}");
                }
                try {
                    wait(left);
                } catch (InterruptedException exception) {
                    throw new IllegalStateException(exception);
                }
            }
        }

        private static final Pattern CONDITION = Pattern.compile("\\{\"Key\":\"([^\"]*)\",\"Revision\":(\\d+)\\}");
        private static final Pattern PUT = Pattern.compile("\\{\"Key\":\"([^\"]*)\",\"Value\":\"([^\"]*)\"");
        private static final Pattern REMOVE = Pattern.compile("\"Remove\":\\[([^\\]]*)\\]");

        private synchronized Reply transaction(String body) {
            Matcher conditions = CONDITION.matcher(body);
            while (conditions.find()) {
                Item item = items.get(conditions.group(1));
                if ((item == null ? 0 : item.revision) != Long.parseLong(conditions.group(2))) {
                    return new Reply(412, "{\"Items\":[" + (item == null ? "" : new String(item.json, StandardCharsets.UTF_8)) + "]}");
                }
            }
            Matcher puts = PUT.matcher(body);
            while (puts.find()) put(puts.group(1), new String(Base64.getDecoder().decode(puts.group(2)), StandardCharsets.UTF_8));
            Matcher removals = REMOVE.matcher(body);
            if (removals.find()) {
                for (String key : removals.group(1).split(",")) {
                    if (!key.isBlank()) put(key.trim().replace("\"", ""), null);
                }
            }
            return new Reply(200, "{\"Revision\":" + revision + "}");
        }

        /** An answer whose body consists of [parts]. */
        private record Reply(int status, List<byte[]> parts) {
            Reply(int status, String body) {
                this(status, List.of(body.getBytes(StandardCharsets.UTF_8)));
            }

            /** The [elements] with commas between them, after [start] and before [end]. */
            static Reply ofList(String start, List<byte[]> elements, String end) {
                List<byte[]> parts = new ArrayList<>();
                parts.add(start.getBytes(StandardCharsets.UTF_8));
                for (byte[] element : elements) {
                    if (parts.size() > 1) parts.add(new byte[] {','});
                    parts.add(element);
                }
                parts.add(end.getBytes(StandardCharsets.UTF_8));
                return new Reply(200, parts);
            }
        }

        /** A key as it was written, or as it was removed if [value] is null. */
        private static final class Item {
            final String key;
            final String value;
            final long revision;
            final long created;
            final long writtenAt = millis();
            final byte[] json;

            Item(String key, String value, long revision, long created) {
                this.key = key;
                this.value = value;
                this.revision = revision;
                this.created = created;
                json = text().getBytes(StandardCharsets.UTF_8);
            }

            private String text() {
                if (value == null) return "{\"Key\":\"" + key + "\",\"Revision\":" + revision + ",\"IsDeleted\":true}";
                String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
                return "{\"Key\":\"" + key + "\",\"Value\":\"" + encoded + "\",\"Revision\":" + revision +
                    ",\"Created\":" + created + ",\"Lease\":0}";
            }
        }
    }

    /** A router process, started by the run line of the deploy file. */
    static final class Router implements AutoCloseable {
        private static final Set<String> PASSED_ON = Set.of("PATH", "HOME", "JAVA_HOME", "LANG");
        final int clientPort;
        final int readyPort;
        final int peerPort;
        final String name;
        private final Path root;
        private final Path work;
        private final int storePort;
        private Process process;

        Router(Path root, Path work, String name, int storePort) throws IOException {
            this.root = root;
            this.work = work;
            this.name = name;
            this.storePort = storePort;
            clientPort = freePort();
            readyPort = freePort();
            peerPort = freePort();
        }

        void start(List<Integer> seeds) throws IOException {
            Path settings = work.resolve(name + ".json");
            Files.writeString(settings, settings(seeds));
            String deploy = Files.readString(root.resolve("deploy/system.toml"));
            Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
            if (!run.find()) throw new IOException("no run line in the deploy file");
            ProcessBuilder builder = new ProcessBuilder(Arrays.asList(run.group(1).split(" ")));
            builder.directory(root.toFile());
            builder.environment().keySet().retainAll(PASSED_ON);
            builder.environment().put("CICADAARCH_NODE_FILE", settings.toString());
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
            process = builder.start();
            Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        }

        Path log() {
            return work.resolve(name + ".log");
        }

        boolean isAlive() {
            return process.isAlive();
        }

        void awaitReady(long untilMillis) throws IOException {
            while (true) {
                try (Link link = new Link(readyPort, 1_000)) {
                    link.send("GET /readiness HTTP/1.1\r\nHost: r\r\n\r\n");
                    if (link.readHead().status == 200) return;
                } catch (IOException exception) {
                    // Not listening yet.
                }
                if (!isAlive() || millis() > untilMillis) throw new IOException(name + " isn't ready");
                sleep(50);
            }
        }

        private String settings(List<Integer> seeds) {
            List<String> addresses = new ArrayList<>();
            seeds.forEach(seed -> addresses.add("\"127.0.0.1:" + seed + "\""));
            return "{\"NodeName\":\"" + name + "\",\"Role\":\"router\",\"MachineClass\":\"frontend\",\"Serves\":[\"frontend\",\"control\"]," +
                "\"Ip\":\"127.0.0.1\",\"Zone\":\"wm-a\",\"Region\":\"west-midlands\",\"Zones\":{\"wm-a\":\"west-midlands\"}," +
                "\"ListenAddresses\":{\"FrontAddress\":\"127.0.0.1:" + clientPort + "\",\"Ready\":\"127.0.0.1:" + readyPort +
                "\",\"ControlPlane\":\"127.0.0.1:" + peerPort + "\"},\"InternalPortRange\":[0,0]," +
                "\"SeedNodes\":[" + String.join(",", addresses) + "],\"Bootstrap\":true,\"ToleranceMember\":false," +
                "\"Limits\":{\"CpuShare\":0.75,\"CpuCores\":1,\"MemoryMb\":430,\"FileDescriptors\":4100,\"LinkMbps\":1000.0,\"DiskMb\":0}," +
                "\"DataDirectory\":null,\"Discovery\":\"platform\",\"Entry\":\"vip\",\"HeartbeatIntervalMs\":1200," +
                "\"Bounds\":{\"SeedLagS\":3,\"AddressReuseS\":2,\"ContactMs\":3000,\"AckTimeoutMs\":4000,\"CatchUpS\":4," +
                "\"DrainTimeoutMs\":2000,\"GracePeriodS\":8,\"LossSlackMs\":200,\"ConfigApplyMs\":2000,\"RollbackSlackMs\":250," +
                "\"OuterBoundMs\":5000,\"StrictRevocation\":false,\"RevocationMs\":5000,\"RetryBudgetRatio\":0.2,\"BudgetWindowS\":10," +
                "\"RetryBudgetSlack\":54,\"RecoveryS\":12,\"PassMs\":120,\"ReuseWindowS\":10,\"ImbalanceFactor\":2}," +
                "\"Platform\":{\"Address\":\"127.0.0.1:" + storePort + "\",\"form\":\"kv\",\"WritesPerS\":400,\"ReadsPerS\":2000," +
                "\"HistoryS\":20,\"ValueBytes\":1048576,\"TtlMinMs\":1000}}";
        }

        @Override
        public void close() {
            if (process != null) process.destroyForcibly();
        }
    }

    /** The head of an HTTP message. */
    static final class Head {
        final String startLine;
        final Map<String, String> fields = new HashMap<>();
        final int status;

        Head(String text) {
            String[] lines = text.split("\r\n");
            startLine = lines[0];
            for (int i = 1; i < lines.length; i++) {
                int colon = lines[i].indexOf(':');
                if (colon > 0) fields.put(lines[i].substring(0, colon).toLowerCase(), lines[i].substring(colon + 1).trim());
            }
            status = startLine.startsWith("HTTP/") ? Integer.parseInt(startLine.split(" ")[1]) : 0;
        }

        String field(String name) {
            return fields.get(name);
        }
    }

    /** A TCP connection that carries HTTP/1.1 messages. */
    static final class Link implements AutoCloseable {
        final Socket socket;
        private final InputStream in;
        private final OutputStream out;

        Link(int port, int timeoutMillis) throws IOException {
            socket = new Socket();
            socket.connect(new InetSocketAddress(LOOPBACK, port), 1_000);
            socket.setSoTimeout(timeoutMillis);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        Link(Socket accepted) throws IOException {
            socket = accepted;
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        void send(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        /** The next head, or null if the connection has ended. */
        Head readHead() throws IOException {
            StringBuilder text = new StringBuilder();
            while (true) {
                int next = in.read();
                if (next < 0) {
                    if (text.length() == 0) return null;
                    throw new IOException("the connection ended inside a head");
                }
                text.append((char) next);
                if (next == '\n' && text.length() >= 4 && text.substring(text.length() - 4).equals("\r\n\r\n")) return new Head(text.toString());
            }
        }

        /** The whole body of a message with [head]; fails if it breaks off. */
        String readBody(Head head) throws IOException {
            if ("chunked".equalsIgnoreCase(head.field("transfer-encoding"))) {
                StringBuilder body = new StringBuilder();
                while (true) {
                    int size = Integer.parseInt(readLine().trim(), 16);
                    String data = readBytes(size);
                    readLine();
                    if (size == 0) return body.toString();
                    body.append(data);
                }
            }
            String length = head.field("content-length");
            return length == null ? "" : readBytes(Integer.parseInt(length));
        }

        private String readBytes(int count) throws IOException {
            byte[] bytes = in.readNBytes(count);
            if (bytes.length < count) throw new IOException("the connection ended inside a body");
            return new String(bytes, StandardCharsets.ISO_8859_1);
        }

        private String readLine() throws IOException {
            StringBuilder line = new StringBuilder();
            while (true) {
                int next = in.read();
                if (next < 0) throw new IOException("the connection ended inside a body");
                if (next == '\n') return line.toString();
                line.append((char) next);
            }
        }

        /** Ends the connection with a reset. */
        void reset() {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException exception) {
                // Closed already.
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
