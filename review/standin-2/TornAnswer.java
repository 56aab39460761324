import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Two routers, four engines and clients with unsafe requests. Two of the engines break off one of fifty answers inside its
 * head and write, in turn, their latest refusal or their latest complete answer once more after it. Checks that no request
 * runs twice, that none is refused as not run that has run, and that no client gets the answer to another request. The
 * argument is the case's folder.
 */
final class TornAnswer {
    private static final int SECONDS = 25;
    private static final int CLIENTS = 12;
    private static final int TORN_OF = 50;

    /** Each engine refuses one of so many requests as if it were full. */
    private static final int REFUSED_OF = 40;
    private static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private final Kit.Record record;
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger successes = new AtomicInteger();
    private final AtomicInteger torn = new AtomicInteger();
    private final AtomicInteger refusedAfterRun = new AtomicInteger();
    private final AtomicInteger foreign = new AtomicInteger();
    private final AtomicLong nextId = new AtomicLong(1);

    private TornAnswer(Kit.Record record) {
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        Path work = Files.createTempDirectory("torn-answer");
        int result = 2;
        List<Kit.Router> routers = new ArrayList<>();
        try (Kit.Record record = new Kit.Record(Path.of(arguments[0], "record.txt"))) {
            result = new TornAnswer(record).run(work, routers);
        } catch (Exception exception) {
            System.err.println("the case could not run: " + exception);
        } finally {
            for (Kit.Router router : routers) if (router.process != null) router.process.destroyForcibly().waitFor();
        }
        System.exit(result);
    }

    private int run(Path work, List<Kit.Router> routers) throws Exception {
        Kit.Store store = new Kit.Store();
        for (int i = 0; i < 4; i++) {
            ServerSocket server = Kit.listen();
            Engine engine = new Engine("i-engine-" + i, i < 2);
            Kit.accept(server, engine::serve);
            store.put("servers/" + engine.name,
                Kit.engineEntry("hire-ledger", server.getLocalPort(), 6, "ready", System.currentTimeMillis(), 1));
        }
        store.put("op/config", Kit.configuration(1, "hire-ledger",
            Kit.route("booking-commit", "/booking/", "unsafe", "hire-ledger", 600, 100, ",\"MaxAttempts\":1")));
        List<Integer> peers = List.of(Kit.freePort(), Kit.freePort());
        for (int i = 0; i < 2; i++) routers.add(new Kit.Router("frontend-" + i, work, store, peers, peers.get(i)));
        for (Kit.Router router : routers) router.start();
        for (Kit.Router router : routers) router.awaitReady();
        Kit.sleep(2000);

        long end = System.nanoTime() + SECONDS * 1_000_000_000L;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Kit.Router router = routers.get(i % 2);
            Thread client = new Thread(() -> send(router, end));
            client.start();
            clients.add(client);
        }
        for (Thread client : clients) client.join();
        int twice = 0;
        for (Map.Entry<String, AtomicInteger> entry : runs.entrySet()) {
            if (entry.getValue().get() < 2) continue;
            twice++;
            record.line("TWICE " + entry.getKey() + " ran " + entry.getValue() + " times");
        }
        String summary = "requests " + requests + ", successes " + successes + ", answers torn " + torn + ", requests that ran twice "
            + twice + ", refused as not run that had run " + refusedAfterRun + ", clients that got the answer to another request " + foreign;
        record.line(summary);
        System.out.println(summary);
        if (successes.get() == 0) return 2;
        return twice + refusedAfterRun.get() + foreign.get() > 0 ? 1 : 0;
    }

    private final class Engine {
        final String name;
        private final boolean isFaulty;
        private final AtomicInteger arrivals = new AtomicInteger();
        private final AtomicInteger answers = new AtomicInteger();
        private volatile String latestRefusal;
        private volatile String latestAnswer;

        Engine(String name, boolean isFaulty) {
            this.name = name;
            this.isFaulty = isFaulty;
        }

        void serve(Socket socket) throws Exception {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                String text = Kit.readHead(in);
                if (text == null) return;
                Kit.Head head = new Kit.Head(text);
                Kit.readExactly(in, head.length());
                out.write(Kit.ascii(answer(head)));
                out.flush();
            }
        }

        private String answer(Kit.Head head) {
            String health = Kit.health(head, name, 0);
            if (health != null) return health;
            String id = head.field("x-attempt-id");
            if (!name.equals(head.field("x-expect-instance"))) {
                return "HTTP/1.1 421 Other Engine\r\nX-Attempt-Id: " + id + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            }
            if (arrivals.incrementAndGet() % REFUSED_OF == 0) {
                record.line("not run " + id + " at " + name);
                latestRefusal = "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: " + id
                    + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
                return latestRefusal;
            }
            record.line("run " + id + " at " + name);
            runs.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
            Kit.sleep(15);
            String answerHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
                + "Content-Type: application/json\r\nContent-Length: " + bodyOf(id).length() + "\r\n\r\n";
            boolean isTorn = TROUBLE && isFaulty && answers.incrementAndGet() % TORN_OF == 0 && latestRefusal != null
                && Kit.isDisturbed();
            if (isTorn) return torn(answerHead, id);
            latestAnswer = answerHead + bodyOf(id);
            return latestAnswer;
        }

        /** The start of [answerHead], each time up to another place, and what was sent before. */
        private String torn(String answerHead, String id) {
            int end = answerHead.indexOf("\r\n\r\n");
            int number = torn.getAndIncrement();
            String text = answerHead.substring(0, 1 + number / 2 * 11 % (end - 1)) + (number % 2 == 0 ? latestRefusal : latestAnswer);
            record.line("torn answer to " + id + " at " + name + ": " + Kit.shown(Kit.ascii(text), 400));
            return text;
        }
    }

    private static String bodyOf(String id) {
        return "reserved for " + id;
    }

    private void send(Kit.Router router, long end) {
        Socket socket = null;
        while (System.nanoTime() < end) {
            String id = String.format("%016x", nextId.getAndIncrement());
            requests.incrementAndGet();
            record.line("sent " + id + " to " + router.name);
            try {
                if (socket == null) {
                    socket = new Socket(Kit.LOOPBACK, router.clientPort);
                    socket.setTcpNoDelay(true);
                    socket.setSoTimeout(2000);
                }
                socket.getOutputStream().write(Kit.ascii("POST /booking/2f HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " + id
                    + "\r\nX-Deadline-Ms: 600\r\nContent-Length: 4\r\n\r\nnets"));
                InputStream in = socket.getInputStream();
                String text = Kit.readHead(in);
                if (text == null) throw new IOException("closed without an answer");
                Kit.Head head = new Kit.Head(text);
                String body = new String(Kit.readExactly(in, head.length()));
                record.line("answer to " + id + ": " + head.firstLine + ", " + body);
                String status = head.firstLine.split(" ")[1];
                if (status.equals("200")) successes.incrementAndGet();
                if (status.equals("200") && !body.equals(bodyOf(id))) {
                    foreign.incrementAndGet();
                    record.line("MIXED " + id + " got: " + body);
                }
                if (status.equals("503") && runs.containsKey(id)) {
                    refusedAfterRun.incrementAndGet();
                    record.line("REFUSED " + id + " has run");
                }
            } catch (IOException exception) {
                record.line("no answer to " + id + ": " + exception.getMessage());
                socket = null;
            }
            Kit.sleep(5);
        }
    }
}
