import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Six routers, engines and clients. The store turns two machines at a time away and serves the others, one machine freezes
 * for two seconds, and an engine leaves: its entry is removed, and it serves on for some seconds. Checks that no machine in
 * touch sends a request that reaches the engine later than DrainTimeoutMs after the store removed its entry. This is done
 * several times with another engine each; once a machine keeps a removed engine, nothing more is disturbed. The argument
 * is the case's folder.
 */
final class StaleEngine {
    private static final int ROUTERS = 6;
    private static final int SLOTS = 6;
    private static final int MOST_ROUNDS = 11;
    private static final long DRAIN_TIMEOUT_MS = 2000;
    private static final long CONTACT_MS = 3000;

    /** For how long an engine serves on after its entry was removed. */
    private static final long LINGER_MS = 14_000;
    private static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private final Kit.Record record;
    private final AtomicLong nextId = new AtomicLong(1);
    private final Map<String, Integer> routerOf = new ConcurrentHashMap<>();
    private final AtomicInteger successes = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger lostAtExit = new AtomicInteger();
    private final AtomicInteger requestsAfterRemoval = new AtomicInteger();
    private volatile Engine removed;
    private volatile long removedAt;

    /** When the last disruption of the frozen machine ended. */
    private volatile long calmSince = Long.MAX_VALUE;
    private volatile boolean isOver;

    private StaleEngine(Kit.Record record) {
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        Path work = Files.createTempDirectory("stale-engine");
        int result = 2;
        List<Kit.Router> routers = new ArrayList<>();
        try (Kit.Record record = new Kit.Record(Path.of(arguments[0], "record.txt"))) {
            result = new StaleEngine(record).run(work, routers);
        } catch (Exception exception) {
            System.err.println("the case could not run: " + exception);
        } finally {
            for (Kit.Router router : routers) if (router.process != null) router.process.destroyForcibly().waitFor();
        }
        System.exit(result);
    }

    private int run(Path work, List<Kit.Router> routers) throws Exception {
        Kit.Store store = new Kit.Store();
        List<Kit.Store.Door> doors = new ArrayList<>();
        List<Integer> peers = new ArrayList<>();
        for (int i = 0; i < ROUTERS; i++) {
            doors.add(store.openDoor());
            peers.add(Kit.freePort());
        }
        for (int i = 0; i < 4; i++) new Engine("i-engine-" + i, store);
        store.put("op/config", Kit.configuration(1, "hire-ledger",
            Kit.route("booking-commit", "/booking/", "unsafe", "hire-ledger", 600, 100, ",\"MaxAttempts\":1")));
        for (int i = 0; i < ROUTERS; i++) {
            routers.add(new Kit.Router("frontend-" + i, work, doors.get(i).port, peers.subList(0, 3), peers.get(i)));
        }
        for (Kit.Router router : routers) router.start();
        for (Kit.Router router : routers) router.awaitReady();
        Kit.sleep(3000);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < ROUTERS * 4; i++) {
            int router = i % ROUTERS;
            Thread client = new Thread(() -> send(routers.get(router), router));
            client.start();
            clients.add(client);
        }

        int rounds = 0;
        boolean isKept = false;
        while (rounds < MOST_ROUNDS && !isKept) {
            rounds++;
            isKept = round(store, doors, routers, rounds);
        }
        if (isKept) {
            record.line("frontend-5 keeps the removed engine; nothing more is disturbed");
            Kit.sleep(LINGER_MS + 500 - (System.nanoTime() - removedAt) / 1_000_000);
        }
        isOver = true;
        for (Thread client : clients) client.join();
        String summary = "rounds " + rounds + ", successes " + successes + ", requests of a machine in touch that reached the engine over "
            + DRAIN_TIMEOUT_MS + " ms after its removal " + late + ", requests that ended with the engine " + lostAtExit;
        record.line(summary);
        System.out.println(summary);
        if (successes.get() == 0) return 2;
        return late.get() > 0 ? 1 : 0;
    }

    /** Returns whether the frozen machine still uses the removed engine a second after it woke up. */
    private boolean round(Kit.Store store, List<Kit.Store.Door> doors, List<Kit.Router> routers, int round) throws Exception {
        Engine leaving = new Engine("i-leaving-" + round, store);
        Kit.sleep(1500);
        if (TROUBLE) {
            turnAway(doors, 0, 1);
            Kit.sleep(900);
            turnAway(doors, 2, 3);
            Kit.sleep(900);
            turnAway(doors, 4, 5);
            Kit.sleep(150);
            routers.get(5).signal("STOP");
            record.line("frontend-5 freezes");
        }
        Kit.sleep(100);
        requestsAfterRemoval.set(0);
        long leavingAt = System.nanoTime();
        removedAt = leavingAt;
        removed = leaving;
        store.remove("servers/" + leaving.id);
        record.line("the entry of " + leaving.id + " is removed; it serves on");
        Kit.sleep(2000);
        if (TROUBLE) {
            routers.get(5).signal("CONT");
            record.line("frontend-5 wakes up");
            Kit.sleep(1000);
            turnAway(doors, -1, -1);
        }
        calmSince = System.nanoTime();
        Kit.sleep(500);
        requestsAfterRemoval.set(0);
        Kit.sleep(700);
        boolean isKept = requestsAfterRemoval.get() > 0;
        Kit.daemon(() -> {
            Kit.sleep(Math.max(0, LINGER_MS - (System.nanoTime() - leavingAt) / 1_000_000));
            leaving.exit();
        });
        if (!isKept) {
            calmSince = Long.MAX_VALUE;
            leaving.exit();
        }
        return isKept;
    }

    private void turnAway(List<Kit.Store.Door> doors, int first, int second) {
        for (int i = 0; i < ROUTERS; i++) doors.get(i).isShut = i == first || i == second;
        record.line(first < 0 ? "the store serves all machines" : "the store turns frontend-" + first + " and frontend-" + second + " away");
    }

    private final class Engine {
        final String id;
        private final ServerSocket server;
        private final Set<Socket> connections = new HashSet<>();
        private final AtomicInteger running = new AtomicInteger();

        Engine(String id, Kit.Store store) throws IOException {
            this.id = id;
            server = Kit.listen();
            Kit.accept(server, this::serve);
            store.put("servers/" + id, Kit.engineEntry("hire-ledger", server.getLocalPort(), SLOTS, "ready", System.currentTimeMillis(), 1));
        }

        void exit() {
            synchronized (connections) {
                if (server.isClosed()) return;
                int open = running.get();
                record.line(id + " exits with " + open + " requests");
                lostAtExit.addAndGet(open);
                try {
                    server.close();
                    for (Socket socket : connections) socket.close();
                } catch (IOException ignored) {
                    // It is closed already.
                }
            }
        }

        private void serve(Socket socket) throws Exception {
            synchronized (connections) {
                connections.add(socket);
            }
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                String text = Kit.readHead(in);
                if (text == null) return;
                Kit.Head head = new Kit.Head(text);
                Kit.readExactly(in, head.length());
                String request = head.field("x-attempt-id");
                if (!id.equals(head.field("x-expect-instance"))) {
                    out.write(Kit.ascii("HTTP/1.1 421 Other Engine\r\nX-Attempt-Id: " + request
                        + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"));
                    continue;
                }
                arrived(request);
                running.incrementAndGet();
                Kit.sleep(40);
                int others = running.decrementAndGet();
                out.write(Kit.ascii("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request + "\r\nX-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1"
                    + "\r\nX-Server-Load: " + Math.min(others, SLOTS) + "," + Math.max(0, others - SLOTS) + "," + SLOTS
                    + "\r\nContent-Length: 4\r\n\r\ndone"));
            }
        }

        private void arrived(String request) {
            int router = routerOf.getOrDefault(request, -1);
            record.line("run " + request + " of frontend-" + router + " at " + id);
            if (this != removed || router != 5) return;
            long now = System.nanoTime();
            requestsAfterRemoval.incrementAndGet();
            boolean isInTouch = (now - calmSince) / 1_000_000 >= CONTACT_MS && calmSince != Long.MAX_VALUE;
            long age = (now - StaleEngine.this.removedAt) / 1_000_000;
            if (!isInTouch || age <= DRAIN_TIMEOUT_MS) return;
            late.incrementAndGet();
            record.line("DRAIN " + request + " of frontend-" + router + " reached " + id + " " + age + " ms after its removal");
        }
    }

    private void send(Kit.Router router, int number) {
        Socket socket = null;
        while (!isOver) {
            String id = String.format("%016x", nextId.getAndIncrement());
            routerOf.put(id, number);
            record.line("sent " + id + " to " + router.name);
            try {
                if (socket == null) {
                    socket = new Socket(Kit.LOOPBACK, router.clientPort);
                    socket.setTcpNoDelay(true);
                    socket.setSoTimeout(5000);
                }
                socket.getOutputStream().write(Kit.ascii("POST /booking/2f HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " + id
                    + "\r\nX-Deadline-Ms: 600\r\nContent-Length: 4\r\n\r\nnets"));
                InputStream in = socket.getInputStream();
                String text = Kit.readHead(in);
                if (text == null) throw new IOException("closed without an answer");
                Kit.Head head = new Kit.Head(text);
                Kit.readExactly(in, head.length());
                record.line("answer to " + id + ": " + head.firstLine);
                if (head.firstLine.contains(" 200 ")) successes.incrementAndGet();
            } catch (IOException exception) {
                record.line("no answer to " + id + ": " + exception.getMessage());
                socket = null;
            }
            Kit.sleep(10);
        }
    }
}
