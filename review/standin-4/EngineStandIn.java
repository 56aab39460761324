import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A sound engine of [service]: registers itself in the store, rejects requests for other instances, runs each other one
 * for a few milliseconds and echoes its body. Subclasses may run some requests otherwise.
 */
class EngineStandIn extends Listener {
    static final int SLOTS = 64;
    static final long HEARTBEAT_MILLIS = 1_200;
    private static final long RUN_MILLIS = 30;
    private static final String STAGE_AND_MODELS =
        "\"Stage\":\"colocated\",\"Models\":[{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}],";

    final String id;
    private final String service;
    private final String zone;
    private final StoreStandIn store;
    private final long startedAt = System.currentTimeMillis();
    private final AtomicInteger running = new AtomicInteger();
    private volatile boolean beats = true;
    private String state = "ready";
    private long sequence;

    EngineStandIn(String id, String service, String zone, StoreStandIn store) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.store = store;
    }

    /** Starts to serve and to write the engine's entry. */
    void start() {
        listen();
        startThread(this::beat);
    }

    /** Says in the engine's entry that it is about to leave; it goes on to serve. */
    synchronized void drain() {
        state = "draining";
        writeEntry();
    }

    /** Ends the process as planned: its entry is removed, and what it still runs is cut off. */
    void leave() throws IOException {
        beats = false;
        store.put("servers/" + id, null);
        shut();
    }

    /** The entry in its present state, with [sequence] and [stageAndModels], which holds those two fields. */
    final String entry(long sequence, String stageAndModels) {
        return "{\"Service\":\"" + service + "\",\"Address\":\"127.0.0.1:" + port() + "\",\"Zone\":\"" + zone
            + "\",\"Version\":\"v1\",\"Slots\":" + SLOTS + ",\"State\":\"" + state
            + "\",\"ColdRemainingMs\":0," + stageAndModels + "\"Sequence\":" + sequence + ",\"born\":" + startedAt + "}";
    }

    /** Ends the process without a word, as a crash does. */
    void crash() throws IOException {
        beats = false;
        shut();
    }

    /** Runs [request] and writes the response to [output]. */
    void run(Http.Message request, OutputStream output) throws Exception {
        Thread.sleep(RUN_MILLIS);
        answer(output, request, "200 OK", seal(), request.body);
    }

    /** Writes the head of a response whose events follow, each in a chunk of its own. */
    final void startStream(Http.Message request, OutputStream output) throws IOException {
        write(output, head(request, "200 OK", seal()) + "Content-Type: text/event-stream\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n");
    }

    final void writeEvent(OutputStream output, int eventId, String data) throws IOException {
        String event = "id: " + eventId + "\ndata: " + data + "\n\n";
        write(output, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
    }

    final void endStream(OutputStream output) throws IOException {
        write(output, "0\r\n\r\n");
    }

    @Override
    void serve(Socket connection) throws Exception {
        InputStream input = new BufferedInputStream(connection.getInputStream());
        OutputStream output = connection.getOutputStream();
        while (true) {
            Http.Message request = Http.read(input);
            if (request == null) return;
            if (!id.equals(request.headers.get("x-expect-instance"))) {
                answer(output, request, "421 Misdirected Request", "X-Not-Executed: 1\r\n", new byte[0]);
                continue;
            }
            running.incrementAndGet();
            try {
                run(request, output);
            } finally {
                running.decrementAndGet();
            }
        }
    }

    private String seal() {
        return "X-Response-Seal: seal-" + id + "\r\n";
    }

    private String head(Http.Message request, String status, String fields) {
        return "HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + request.headers.get("x-attempt-id") + "\r\n" + fields
            + "X-Server-Load: " + running.get() + ",0," + SLOTS + "\r\n";
    }

    private void answer(OutputStream output, Http.Message request, String status, String fields, byte[] body)
        throws IOException {
        write(output, head(request, status, fields) + "Content-Length: " + body.length + "\r\n\r\n");
        output.write(body);
        output.flush();
    }

    private static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    private synchronized void writeEntry() {
        sequence += 1;
        if (beats) store.put("servers/" + id, entry(sequence, STAGE_AND_MODELS));
    }

    private void beat() {
        while (beats) {
            writeEntry();
            try {
                TimeUnit.MILLISECONDS.sleep(HEARTBEAT_MILLIS);
            } catch (InterruptedException ended) {
                return;
            }
        }
    }
}
