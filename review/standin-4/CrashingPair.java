import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A caller sends two requests with the same prompt at once, every few seconds and each time at another router. One of
 * them crashes each engine that begins to run it; the other one is sound. Other callers stream on
 * another route of the service all the while.
 *
 * Arguments: the file of the record, and whether the request crashes engines (1) or runs like any other (0).
 */
public final class CrashingPair {
    private static final int ROUTERS = 7;
    private static final int ENGINES = 13;
    private static final int TIMES = 9;
    private static final long INTERVAL_MILLIS = 4_000;
    private static final long WARM_UP_MILLIS = 5_000;
    private static final int DEADLINE_MILLIS = 10_000;
    private static final int CALLERS = 100;
    private static final long CALLER_PAUSE_MILLIS = 50;

    private static final int EVENTS = 10;
    private static final long EVENT_MILLIS = 100;

    /** The engine crashes so long after it has begun to run the request, before its first event. */
    private static final long CRASH_MILLIS = 300;
    private static final String PROMPT =
        "X-Model: m\r\nX-Token-Counts: 900,80\r\nX-Prompt-Prefix: 5c1e07a2:800,91bd3f06:100\r\n";

    /** `ContactMs` of the settings, and the most late retries that the rule allows. */
    private static final long CONTACT_MILLIS = 3_000;
    private static final int ALLOWED_LATE = 3;

    private static final String HOST = "desk.example";
    private static final String SERVICE = "desk-model";
    private static final String CRASHING_BODY = "crash";
    private static final String CONFIGURATION = "{\"Version\":7,\"Routes\":[" + route("draft", true) + ","
        + route("chat", false) + "],\"Services\":[{\"Name\":\"" + SERVICE
        + "\",\"HealthPath\":\"/health\",\"ConnectionLimit\":360}],\"Limits\":{\"MaxHeaderBytes\":16384,"
        + "\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":["
        + "{\"Name\":\"orchard\",\"ApiKeys\":[\"key-orchard\"]},{\"Name\":\"packhouse\",\"ApiKeys\":[\"key-packhouse\"]}]}";

    private final Record record;
    private final boolean isCrashing;
    private final StoreStandIn store = new StoreStandIn();
    private final Fleet fleet = new Fleet(ROUTERS);
    private final List<Long> arrivals = new CopyOnWriteArrayList<>();
    private final List<Long> crashes = new CopyOnWriteArrayList<>();
    private final List<Long> brokenStreams = new CopyOnWriteArrayList<>();
    private final Map<String, Integer> outcomes = new ConcurrentHashMap<>();
    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger engines = new AtomicInteger();
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });
    private volatile boolean isEnded;

    private CrashingPair(Record record, boolean isCrashing) throws IOException {
        this.record = record;
        this.isCrashing = isCrashing;
    }

    public static void main(String[] arguments) throws Exception {
        int code = 2;
        try (Record record = new Record(Path.of(arguments[0]))) {
            try {
                code = new CrashingPair(record, arguments[1].equals("1")).play();
            } catch (Exception exception) {
                record.conclude("could not run: " + exception);
            }
        }
        System.exit(code);
    }

    private int play() throws Exception {
        store.put("op/config", CONFIGURATION);
        for (int index = 0; index < ENGINES; index++) startEngine();
        fleet.start(store);
        record.add(ROUTERS + " routers and " + ENGINES + " engines are ready");
        for (int caller = 0; caller < CALLERS; caller++) startCaller(caller);
        Thread.sleep(WARM_UP_MILLIS);
        for (int time = 0; time < TIMES; time++) {
            sendPair(time);
            Thread.sleep(INTERVAL_MILLIS);
        }
        isEnded = true;
        Thread.sleep(EVENTS * EVENT_MILLIS + CONTACT_MILLIS);
        return verdict();
    }

    private static String route(String name, boolean hasPromptAffinity) {
        return "{\"Name\":\"" + name + "\",\"Host\":\"" + HOST + "\",\"Prefix\":\"/" + name
            + "/\",\"Kind\":\"streaming\",\"TimeoutMs\":10000,\"TargetLatencyMs\":800,\"GapTargetMs\":400,"
            + "\"Priority\":1,\"Service\":\"" + SERVICE + "\",\"MaxAttempts\":1,\"Public\":false,\"StickySessions\":"
            + hasPromptAffinity + ",\"StreamResumption\":false}";
    }

    private void startEngine() throws IOException {
        int number = engines.incrementAndGet();
        new Engine("i-" + number, Fleet.zone(number)).start();
    }

    /** A caller that asks for one stream after the other, each with a path and an id of its own. */
    private void startCaller(int caller) {
        threads.submit((Callable<Void>) () -> {
            for (int number = caller; !isEnded; number++) {
                String id = "chat-" + ids.incrementAndGet();
                String outcome = Caller.post(
                    fleet.router(number).clientPort, HOST, "/chat/" + id, id, "key-packhouse", DEADLINE_MILLIS, "net");
                outcomes.merge(outcome, 1, Integer::sum);
                if (!outcome.equals("200")) {
                    brokenStreams.add(record.now());
                    record.add(id + " of another caller got " + outcome);
                }
                Thread.sleep(CALLER_PAUSE_MILLIS);
            }
            return null;
        });
    }

    private void sendPair(int time) {
        RouterProcess router = fleet.router(time);
        send("sound-" + time, "/draft/title", "title", router);
        send("crashing-" + time, "/draft/season", CRASHING_BODY, router);
    }

    private void send(String id, String path, String body, RouterProcess router) {
        record.add(id + " is sent to " + router.name);
        threads.submit(() -> {
            String outcome = Caller.post(
                router.clientPort, HOST, path, id, "key-orchard", DEADLINE_MILLIS, PROMPT, body);
            record.add(id + " got " + outcome);
            outcomes.merge(id.replaceAll("-.*", " request: ") + outcome, 1, Integer::sum);
        });
    }

    private int verdict() {
        record.conclude("the request reached engines at " + arrivals + " ms; engines crashed at " + crashes + " ms");
        record.conclude("outcomes: " + new TreeMap<>(outcomes));
        fleet.checkAlive();
        if (!isCrashing) return outcomes.keySet().stream().allMatch(outcome -> outcome.endsWith("200")) ? 0 : 1;
        if (crashes.size() < 3) throw new IllegalStateException("fewer than three engines crashed");
        long bound = crashes.get(2) + CONTACT_MILLIS;
        long late = arrivals.stream().filter(at -> at > bound).count();
        long broken = brokenStreams.stream().filter(at -> at > bound).count();
        record.conclude("after " + bound + " ms, the third crash and ContactMs, it reached engines " + late + " times; "
            + ALLOWED_LATE + " are allowed; " + broken + " streams of others were lost after that");
        return late > ALLOWED_LATE ? 1 : 0;
    }

    private final class Engine extends CrashingEngine {
        Engine(String id, String zone) throws IOException {
            super(id, SERVICE, zone, store);
        }

        @Override
        void crashed() {
            crashes.add(record.now());
            record.add(id + " crashes");
        }

        @Override
        void restart() throws IOException {
            startEngine();
        }

        @Override
        void run(Http.Message request, OutputStream output) throws Exception {
            String requestId = request.headers.get("x-attempt-id");
            boolean isCrashingRequest = request.text().equals(CRASHING_BODY);
            if (isCrashingRequest) arrivals.add(record.now());
            if (!requestId.startsWith("chat-")) record.add(requestId + " runs at " + id);
            if (isCrashingRequest && isCrashing) {
                Thread.sleep(CRASH_MILLIS);
                crash();
                return;
            }
            startStream(request, output);
            for (int event = 0; event < EVENTS; event++) {
                writeEvent(output, event, "piece " + event);
                Thread.sleep(EVENT_MILLIS);
            }
            endStream(output);
        }
    }
}
