import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Two routers, four engines and clients. Two of the engines spoil one byte in one of fifty answers: they send a space in
 * place of a byte of the head. Checks that no client gets a success whose body is not the engine's, nor bytes that are no
 * answer. Arguments: the case's folder, and which part of the head is spoiled: "fields" or "status".
 */
final class GarbledHeads {
    private static final int SECONDS = 25;
    private static final int CLIENTS = 12;
    private static final int SPOILED_OF = 50;

    /** Shares no factor with the number of places, so that each of them gets its turn. */
    private static final int STRIDE = 11;
    private static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private final String part;
    private final Kit.Record record;
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger successes = new AtomicInteger();
    private final AtomicInteger failures = new AtomicInteger();
    private final AtomicInteger noAnswer = new AtomicInteger();
    private final AtomicInteger spoiled = new AtomicInteger();
    private final AtomicInteger violations = new AtomicInteger();
    private final AtomicLong nextId = new AtomicLong(1);

    private GarbledHeads(String part, Kit.Record record) {
        this.part = part;
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        Path work = Files.createTempDirectory("garbled-heads");
        int result = 2;
        List<Kit.Router> routers = new ArrayList<>();
        try (Kit.Record record = new Kit.Record(Path.of(arguments[0], "record.txt"))) {
            result = new GarbledHeads(arguments[1], record).run(work, routers);
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
            String name = "i-engine-" + i;
            boolean isFaulty = i < 2;
            AtomicInteger answers = new AtomicInteger();
            Kit.accept(server, socket -> serve(socket, name, isFaulty, answers));
            store.put("servers/" + name,
                Kit.engineEntry("hire-ledger", server.getLocalPort(), 6, "ready", System.currentTimeMillis(), 1));
        }
        store.put("op/config", Kit.configuration(1, "hire-ledger",
            Kit.route("booking-commit", "/booking/", "unsafe", "hire-ledger", 600, 100, ",\"MaxAttempts\":1"),
            Kit.route("stock-lookup", "/stock/", "safe", "hire-ledger", 600, 100, ",\"MaxAttempts\":2")));
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
        String summary = "requests " + requests + ", successes " + successes + ", failures " + failures + ", closed or timed out "
            + noAnswer + ", answers spoiled " + spoiled + ", answers that break MIXED " + violations;
        record.line(summary);
        System.out.println(summary);
        if (successes.get() == 0) return 2;
        return violations.get() > 0 ? 1 : 0;
    }

    /** The whole body of the engine's answer to the request [id]. */
    private static byte[] bodyOf(String id) {
        byte[] body = new byte[800];
        Arrays.fill(body, (byte) '.');
        byte[] text = Kit.ascii("reserved for " + id);
        System.arraycopy(text, 0, body, 0, text.length);
        return body;
    }

    private void serve(Socket socket, String name, boolean isFaulty, AtomicInteger answers) throws Exception {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        while (true) {
            String text = Kit.readHead(in);
            if (text == null) return;
            Kit.Head head = new Kit.Head(text);
            Kit.readExactly(in, head.length());
            String health = Kit.health(head, name, 0);
            if (health != null) {
                out.write(Kit.ascii(health));
                continue;
            }
            String id = head.field("x-attempt-id");
            if (!name.equals(head.field("x-expect-instance"))) {
                out.write(Kit.ascii("HTTP/1.1 421 Other Engine\r\nX-Attempt-Id: " + id + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"));
                continue;
            }
            record.line("run " + id + " at " + name);
            Kit.sleep(15);
            boolean isLast = answers.incrementAndGet() % SPOILED_OF == 0;
            byte[] answerHead = Kit.ascii("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
                + (isLast ? "Connection: close\r\n" : "") + "Transfer-Encoding: chunked\r\n\r\n");
            if (TROUBLE && isFaulty && isLast && Kit.isDisturbed()) spoil(answerHead, id);
            byte[] body = bodyOf(id);
            ByteArrayOutputStream answer = new ByteArrayOutputStream();
            answer.write(answerHead);
            for (int from = 0; from < body.length; from += 400) {
                answer.write(Kit.ascii("190\r\n"));
                answer.write(body, from, 400);
                answer.write(Kit.ascii("\r\n"));
            }
            answer.write(Kit.ascii("0\r\n\r\n"));
            out.write(answer.toByteArray());
            out.flush();
            if (isLast) {
                socket.shutdownOutput();
                return;
            }
        }
    }

    /**
     * Overwrites one byte of [head] by a space, each time another one. Left out are the bytes at which a lenient reader may
     * take a space for a line fold or for one before a colon.
     */
    private void spoil(byte[] head, String id) {
        int firstField = "HTTP/1.1 200 OK\r\n".length();
        List<Integer> places = new ArrayList<>();
        int from = part.equals("status") ? "HTTP/1.1 ".length() : firstField;
        int to = part.equals("status") ? "HTTP/1.1 200".length() : head.length;
        for (int i = from; i < to; i++) {
            boolean isLineEnd = head[i] == '\r' || head[i] == '\n' || head[i - 1] == '\n';
            if (!isLineEnd && head[i] != ' ' && head[i + 1] != ':') places.add(i);
        }
        int place = places.get(spoiled.getAndIncrement() * STRIDE % places.size());
        head[place] = ' ';
        record.line("spoiled answer to " + id + ": " + Kit.shown(head, head.length));
    }

    private void send(Kit.Router router, long end) {
        Socket socket = null;
        while (System.nanoTime() < end) {
            String id = String.format("%016x", nextId.getAndIncrement());
            boolean isUnsafe = nextId.get() % 2 == 0;
            requests.incrementAndGet();
            record.line("sent " + id + " to " + router.name);
            try {
                if (socket == null) {
                    socket = new Socket(Kit.LOOPBACK, router.clientPort);
                    socket.setTcpNoDelay(true);
                    socket.setSoTimeout(2000);
                }
                String request = (isUnsafe ? "POST /booking/2f" : "GET /stock/2f") + " HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " + id
                    + "\r\nX-Deadline-Ms: 600\r\n" + (isUnsafe ? "Content-Length: 4\r\n\r\nnets" : "\r\n");
                socket.getOutputStream().write(Kit.ascii(request));
                InputStream in = socket.getInputStream();
                String text = Kit.readHead(in);
                if (text == null) throw new IOException("closed without an answer");
                Kit.Head head = new Kit.Head(text);
                byte[] body = Kit.readExactly(in, head.length());
                record.line("answer to " + id + ": " + head.firstLine + ", " + body.length + " bytes");
                check(id, text, head, body);
                if ("close".equalsIgnoreCase(head.field("connection"))) {
                    socket.close();
                    socket = null;
                }
            } catch (IOException exception) {
                noAnswer.incrementAndGet();
                record.line("no answer to " + id + ": " + exception.getMessage());
                socket = null;
            }
            Kit.sleep(5);
        }
    }

    private void check(String id, String text, Kit.Head head, byte[] body) {
        String fault = null;
        if (!head.firstLine.matches("HTTP/1\\.[01] [0-9]{3}( .*)?")) {
            fault = "these bytes are no answer";
        } else if (head.firstLine.split(" ")[1].startsWith("2")) {
            successes.incrementAndGet();
            if (head.field("x-response-seal") == null) fault = "a success without the engine's seal";
            else if (!Arrays.equals(body, bodyOf(id))) fault = "a success with a body that is not the engine's";
        } else {
            failures.incrementAndGet();
        }
        if (fault == null) return;
        violations.incrementAndGet();
        record.line("MIXED " + id + ": " + fault + ": " + Kit.shown(Kit.ascii(text), 400) + Kit.shown(body, 60) + " (" + body.length
            + " bytes, the engine's body has 800)");
    }
}
