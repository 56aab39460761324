import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Requests that crash each engine which runs them, and come again with the same path, key and body, beside chats of
 * other clients. Counts how often each of them reaches engines later than ContactMs after it has crashed its third one.
 *
 * An engine crashes as soon as it has begun to run one of them and has sent its first event: it sends nothing more, and
 * its connections are reset once the process is gone.
 *
 * Arguments: the repository, a work folder, the record's file, the number of such requests, the milliseconds from the
 * crash of an engine until its process is gone, the seconds to run, and 0 if they shall crash nothing.
 */
public final class CrashingRequests {
    private static final int ROUTERS = 3;
    private static final int ENGINES = 8;
    private static final int CHATS = 40;
    private static final int CONTACT_MILLIS = 3_000;
    private static final int RETRIES_ALLOWED = 3;

    /** An engine is back after so long, as a new incarnation; its old entry lasts three heartbeat intervals. */
    private static final int DOWN_MILLIS = 3_000;
    private static final int HEARTBEAT_MILLIS = 1_200;
    private static final int SLOTS = 64;
    private static final int EVENTS = 40;
    private static final int EVENT_INTERVAL_MILLIS = 100;

    /** Clients honour Retry-After up to a third of the time that they have, which is 12 s. */
    private static final long MAX_PAUSE_MILLIS = 4_000;
    private static final long PAUSE_MILLIS = 300;

    private final Stage.Store store = new Stage.Store();
    private final List<Engine> engines = new ArrayList<>();
    private final List<Stage.Router> routers = new ArrayList<>();
    private final Map<String, List<Long>> arrivals = new ConcurrentHashMap<>();
    private final Map<String, List<Long>> crashes = new ConcurrentHashMap<>();
    private final AtomicInteger incarnations = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger brokenOff = new AtomicInteger();
    private final int crashingRequests;
    private final int goneMillis;
    private final boolean isTrouble;
    private volatile boolean isOver;

    private CrashingRequests(int crashingRequests, int goneMillis, boolean isTrouble) throws IOException {
        this.crashingRequests = crashingRequests;
        this.goneMillis = goneMillis;
        this.isTrouble = isTrouble;
    }

    public static void main(String[] arguments) {
        int code = 2;
        try {
            code = run(arguments);
        } catch (Exception exception) {
            exception.printStackTrace();
        }
        System.exit(code);
    }

    private static int run(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]);
        Path work = Path.of(arguments[1]);
        Stage.openRecord(Path.of(arguments[2]));
        CrashingRequests run = new CrashingRequests(
            Integer.parseInt(arguments[3]), Integer.parseInt(arguments[4]), !arguments[6].equals("0"));
        run.start(root, work);
        long end = Stage.millis() + Long.parseLong(arguments[5]) * 1_000;
        while (Stage.millis() < end) {
            Stage.sleep(2_000);
            Stage.record("other clients: served " + run.served + ", refused " + run.refused + ", broken off " + run.brokenOff);
        }
        run.isOver = true;
        return run.judge();
    }

    private void start(Path root, Path work) throws IOException {
        store.put("op/config", configuration());
        for (int i = 0; i < ENGINES; i++) engines.add(new Engine());
        Stage.daemon(this::writeHeartbeats);
        for (int i = 0; i < ROUTERS; i++) routers.add(new Stage.Router(root, work, "frontend-" + i, store.port));
        List<Integer> seeds = routers.stream().map(it -> it.peerPort).toList();
        for (Stage.Router router : routers) router.start(seeds);
        for (Stage.Router router : routers) router.awaitReady(20_000);
        Stage.record("all routers are ready");
        for (int i = 0; i < CHATS; i++) {
            int number = i;
            Stage.daemon(() -> chat(number));
        }
        Stage.sleep(CONTACT_MILLIS + 2_000);
        for (int i = 0; i < crashingRequests; i++) {
            int number = i;
            Stage.daemon(() -> sendCrashing(number));
        }
    }

    /** 1 if the rule was broken, 0 if not, 2 if the run proves nothing. */
    private int judge() {
        boolean isBroken = false;
        boolean isAlive = routers.stream().allMatch(Stage.Router::isAlive);
        for (String request : new TreeSet<>(arrivals.keySet())) {
            List<Long> crashTimes = listOf(crashes, request);
            long late = 0;
            if (crashTimes.size() >= 3) {
                long bound = crashTimes.get(2) + CONTACT_MILLIS;
                late = listOf(arrivals, request).stream().filter(it -> it > bound).count();
            }
            Stage.record("result: " + request + " reached engines " + listOf(arrivals, request).size() + " times, crashed " +
                crashTimes.size() + ", and reached engines later than " + CONTACT_MILLIS + " ms after its third crash " + late +
                " times; allowed are " + RETRIES_ALLOWED);
            isBroken |= late > RETRIES_ALLOWED;
        }
        Stage.record("result: requests of other clients served " + served + ", refused " + refused + ", broken off " + brokenOff +
            ", all routers alive: " + isAlive);
        routers.forEach(Stage.Router::close);
        if (isBroken) return 1;
        return isAlive && served.get() >= CHATS ? 0 : 2;
    }

    private static List<Long> listOf(Map<String, List<Long>> times, String request) {
        return times.computeIfAbsent(request, key -> new CopyOnWriteArrayList<>());
    }

    private static String configuration() {
        return "{\"Version\":7,\"Routes\":[{\"Name\":\"chat\",\"Host\":\"desk.example\",\"Prefix\":\"/chat/\",\"Kind\":\"streaming\"," +
            "\"TimeoutMs\":12000,\"TargetLatencyMs\":800,\"Priority\":1,\"Service\":\"desk-model\",\"MaxAttempts\":1,\"Public\":false," +
            "\"StickySessions\":true,\"StreamResumption\":false,\"GapTargetMs\":400}],\"Services\":[{\"Name\":\"desk-model\"," +
            "\"HealthPath\":\"/health\",\"ConnectionLimit\":360,\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{\"Slots\":64," +
            "\"KvCacheTokens\":618160,\"Models\":[{\"Name\":\"m\"}]}}],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304," +
            "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"orchard\",\"ApiKeys\":[\"orchard-key\"]," +
            "\"Priority\":1}]}";
    }

    private void writeHeartbeats() {
        while (!isOver) {
            Stage.sleep(HEARTBEAT_MILLIS);
            engines.forEach(Engine::write);
        }
    }

    private static String request(String id, String prompt, String body) {
        return "POST /chat/2f HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " + id + "\r\nX-Model: m\r\nX-Token-Counts: 300,280\r\n" +
            "X-Prompt-Prefix: " + prompt + "\r\nX-Deadline-Ms: 12000\r\nAuthorization: Bearer orchard-key\r\nContent-Length: " +
            body.length() + "\r\n\r\n" + body;
    }

    /** A client that sends one request after the other on a kept connection. */
    private void chat(int number) {
        Random random = new Random(number);
        Stage.Link link = null;
        int sent = 0;
        Stage.sleep(random.nextInt(4_000));
        while (!isOver) {
            sent += 1;
            String id = String.format("c%07x%08x", number, sent);
            String prompt = String.format("aa00:100,b%03x:100,c%03x:100", random.nextInt(80), number);
            try {
                if (link == null) link = new Stage.Link(routers.get(number % routers.size()).clientPort, 15_000);
                link.send(request(id, prompt, "chat " + id));
                Stage.Head head = link.readHead();
                if (head == null) throw new IOException("no answer");
                link.readBody(head);
                if (head.status == 200) served.incrementAndGet();
                else if (head.status == 503) refused.incrementAndGet();
                else brokenOff.incrementAndGet();
                if (head.status != 200) Stage.sleep(PAUSE_MILLIS);
            } catch (IOException exception) {
                if (!isOver) brokenOff.incrementAndGet();
                close(link);
                link = null;
                Stage.sleep(PAUSE_MILLIS);
            }
        }
    }

    /** The client of one request that crashes engines: it sends it to one router after the other. */
    private void sendCrashing(int number) {
        String body = "request-" + number;
        String prompt = String.format("aa00:100,d1%02x:100,d2%02x:100", number, number);
        Stage.sleep(number * 200L);
        for (int sent = 1; !isOver; sent++) {
            String id = String.format("d%03x%012x", number, sent);
            Stage.Router router = routers.get((sent + number) % routers.size());
            int before = listOf(arrivals, body).size();
            long pause = PAUSE_MILLIS;
            String answer;
            try (Stage.Link link = new Stage.Link(router.clientPort, 15_000)) {
                link.send(request(id, prompt, body));
                Stage.Head head = link.readHead();
                if (head == null) throw new IOException("no answer");
                answer = String.valueOf(head.status);
                String retryAfter = head.field("retry-after");
                if (retryAfter != null) {
                    pause = Math.min((long) (1_000 * Double.parseDouble(retryAfter)), MAX_PAUSE_MILLIS);
                    answer += ", Retry-After " + retryAfter;
                }
                link.readBody(head);
            } catch (IOException exception) {
                answer = exception.getMessage();
            }
            Stage.record(body + " sent as " + id + " to " + router.name + ", reached engines " +
                (listOf(arrivals, body).size() - before) + " times, answer: " + answer);
            Stage.sleep(pause);
        }
    }

    private static void close(Stage.Link link) {
        try {
            if (link != null) link.close();
        } catch (IOException exception) {
            // Closed already.
        }
    }

    /** A model engine; each start is a new incarnation with a new id and a new address. */
    private final class Engine {
        private final Set<Stage.Link> links = ConcurrentHashMap.newKeySet();
        private final AtomicInteger running = new AtomicInteger();
        private volatile String id;
        private volatile boolean isUp;

        /** Whether the process has crashed and isn't gone yet: it sends nothing more. */
        private volatile boolean isSilent;
        private ServerSocket server;
        private long born;
        private long sequence;

        Engine() throws IOException {
            start();
        }

        private synchronized void start() throws IOException {
            id = String.format("i-%06x", incarnations.incrementAndGet());
            born = System.currentTimeMillis();
            sequence = 0;
            running.set(0);
            isSilent = false;
            server = new ServerSocket();
            server.bind(new InetSocketAddress(Stage.LOOPBACK, 0), 256);
            isUp = true;
            ServerSocket listening = server;
            String incarnation = id;
            Stage.daemon(() -> accept(listening, incarnation));
            write();
        }

        synchronized void write() {
            if (!isUp || isSilent) return;
            sequence += 1;
            store.put("servers/" + id, "{\"Service\":\"desk-model\",\"Address\":\"127.0.0.1:" + server.getLocalPort() +
                "\",\"Zone\":\"wm-a\",\"Version\":\"v1\",\"Slots\":" + SLOTS + ",\"State\":\"ready\",\"ColdRemainingMs\":0," +
                "\"Sequence\":" + sequence + ",\"born\":" + born + "}");
        }

        /** The process crashes: it falls silent, and ends with its listener and all its connections. */
        private void crash(String incarnation, String crashing, String requestId) {
            synchronized (this) {
                if (!isUp || isSilent || !incarnation.equals(id)) return;
                isSilent = true;
            }
            Stage.record(crashing + " as " + requestId + " crashes " + incarnation + ", which runs " + running + " requests");
            Stage.sleep(goneMillis);
            listOf(crashes, crashing).add(Stage.millis());
            end(incarnation);
        }

        /** The process is gone; a new one starts some seconds later. */
        private synchronized void end(String incarnation) {
            isUp = false;
            try {
                server.close();
            } catch (IOException exception) {
                throw new IllegalStateException(exception);
            }
            Stage.record(incarnation + " is gone");
            links.forEach(Stage.Link::reset);
            links.clear();
            Stage.daemon(() -> {
                Stage.sleep(3 * HEARTBEAT_MILLIS);
                store.put("servers/" + incarnation, null);
            });
            Stage.daemon(() -> {
                Stage.sleep(DOWN_MILLIS);
                try {
                    start();
                } catch (IOException exception) {
                    throw new IllegalStateException(exception);
                }
            });
        }

        private void accept(ServerSocket listening, String incarnation) {
            while (true) {
                try {
                    Socket socket = listening.accept();
                    Stage.Link link = new Stage.Link(socket);
                    links.add(link);
                    if (listening.isClosed()) link.reset();
                    Stage.daemon(() -> serve(link, incarnation));
                } catch (IOException exception) {
                    return;
                }
            }
        }

        private void serve(Stage.Link link, String incarnation) {
            try {
                for (Stage.Head head = link.readHead(); head != null; head = link.readHead()) {
                    respond(link, head, link.readBody(head), incarnation);
                }
            } catch (IOException exception) {
                // The router closed the connection, or this engine has crashed.
            } finally {
                if (!isSilent) {
                    links.remove(link);
                    close(link);
                }
            }
        }

        private void respond(Stage.Link link, Stage.Head head, String body, String incarnation) throws IOException {
            String requestId = head.field("x-attempt-id");
            if (isSilent) throw new IOException("crashed");
            if (!incarnation.equals(head.field("x-expect-instance"))) {
                link.send("HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: " + requestId +
                    "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            boolean isCrashing = body.startsWith("request-");
            if (isCrashing) {
                listOf(arrivals, body).add(Stage.millis());
                Stage.record(body + " as " + requestId + " reaches " + incarnation);
            }
            int load = running.incrementAndGet();
            try {
                run(link, requestId, load, isCrashing && isTrouble ? body : null, incarnation);
            } finally {
                if (incarnation.equals(id)) running.decrementAndGet();
            }
        }

        /** Runs a request; one that crashes this engine has the body [crashing], null for any other. */
        private void run(Stage.Link link, String requestId, int load, String crashing, String incarnation) throws IOException {
            send(link, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + requestId + "\r\nX-Response-Seal: s\r\nX-Server-Load: " + load +
                ",0," + SLOTS + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int i = 1; i <= EVENTS; i++) {
                String event = "id: " + i + "\ndata: " + requestId + "\n\n";
                send(link, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
                if (crashing != null) {
                    crash(incarnation, crashing, requestId);
                    return;
                }
                Stage.sleep(EVENT_INTERVAL_MILLIS);
            }
            send(link, "0\r\n\r\n");
        }

        /** Sends [text], or nothing if the process has crashed. */
        private void send(Stage.Link link, String text) throws IOException {
            if (isSilent) throw new IOException("crashed");
            link.send(text);
        }
    }
}
