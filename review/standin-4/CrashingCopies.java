import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One request crashes each engine that begins to run it. It comes three times, each time in four copies at once at
 * different routers. Other callers book all the while.
 *
 * Arguments: the file of the record, and whether the request crashes engines (1) or runs like any other (0).
 */
public final class CrashingCopies {
    private static final int ROUTERS = 7;
    private static final int ENGINES = 13;
    private static final int COPIES = 4;
    private static final int WAVES = 3;
    private static final long WAVE_INTERVAL_MILLIS = 4_500;
    private static final long WARM_UP_MILLIS = 9_000;
    private static final int DEADLINE_MILLIS = 2_000;
    private static final int CALLERS = 10;
    private static final long CALLER_PAUSE_MILLIS = 20;

    /** `ContactMs` of the settings, and the most late retries that the rule allows. */
    private static final long CONTACT_MILLIS = 3_000;
    private static final int ALLOWED_LATE = 3;

    private static final String HOST = "desk.example";
    private static final String SERVICE = "desk";
    private static final String CRASHING_BODY = "crash";
    private static final String CONFIGURATION = "{\"Version\":7,\"Routes\":[{\"Name\":\"book\",\"Host\":\"" + HOST
        + "\",\"Prefix\":\"/book/\",\"Kind\":\"unsafe\",\"TimeoutMs\":2000,\"TargetLatencyMs\":400,\"Priority\":1,"
        + "\"Service\":\"" + SERVICE + "\",\"MaxAttempts\":1,\"Public\":false}],\"Services\":[{\"Name\":\"" + SERVICE
        + "\",\"HealthPath\":\"/health\",\"ConnectionLimit\":360}],\"Limits\":{\"MaxHeaderBytes\":16384,"
        + "\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":["
        + "{\"Name\":\"orchard\",\"ApiKeys\":[\"key-orchard\"]},{\"Name\":\"packhouse\",\"ApiKeys\":[\"key-packhouse\"]}]}";

    private final Record record;
    private final boolean isCrashing;
    private final StoreStandIn store = new StoreStandIn();
    private final Fleet fleet = new Fleet(ROUTERS);
    private final List<Long> arrivals = new CopyOnWriteArrayList<>();
    private final List<Long> crashes = new CopyOnWriteArrayList<>();
    private final List<String> refusedOrFailed = new CopyOnWriteArrayList<>();
    private final Map<String, Integer> bookings = new ConcurrentHashMap<>();
    private final List<Long> lostBookings = new CopyOnWriteArrayList<>();
    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger engines = new AtomicInteger();
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });
    private volatile boolean isEnded;

    private CrashingCopies(Record record, boolean isCrashing) throws IOException {
        this.record = record;
        this.isCrashing = isCrashing;
    }

    public static void main(String[] arguments) throws Exception {
        int code = 2;
        try (Record record = new Record(Path.of(arguments[0]))) {
            try {
                code = new CrashingCopies(record, arguments[1].equals("1")).play();
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
        for (int wave = 0; wave < WAVES; wave++) {
            sendCopies(wave);
            Thread.sleep(WAVE_INTERVAL_MILLIS);
        }
        isEnded = true;
        Thread.sleep(DEADLINE_MILLIS);
        return verdict();
    }

    private void startEngine() throws IOException {
        int number = engines.incrementAndGet();
        new Engine("i-" + number, Fleet.zone(number)).start();
    }

    /** A caller that books one thing after the other, each with a path and an id of its own. */
    private void startCaller(int caller) {
        threads.submit((Callable<Void>) () -> {
            Random random = new Random(caller);
            while (!isEnded) {
                String id = "booking-" + ids.incrementAndGet();
                int port = fleet.router(random.nextInt(ROUTERS)).clientPort;
                String status = Caller.post(port, HOST, "/book/" + id, id, "key-packhouse", DEADLINE_MILLIS, "net");
                bookings.merge(status, 1, Integer::sum);
                if (!status.equals("200")) {
                    lostBookings.add(record.now());
                    record.add(id + " got " + status);
                }
                Thread.sleep(CALLER_PAUSE_MILLIS);
            }
            return null;
        });
    }

    private void sendCopies(int wave) throws Exception {
        List<Future<?>> copies = new ArrayList<>();
        for (int copy = 0; copy < COPIES; copy++) {
            RouterProcess router = fleet.router(wave * COPIES + copy);
            String id = "copy-" + wave + "-" + copy;
            record.add(id + " is sent to " + router.name);
            copies.add(threads.submit(() -> {
                String path = "/book/season";
                String status =
                    Caller.post(router.clientPort, HOST, path, id, "key-orchard", DEADLINE_MILLIS, CRASHING_BODY);
                record.add(id + " got " + status);
                if (!status.equals("200")) refusedOrFailed.add(id);
            }));
        }
        for (Future<?> copy : copies) copy.get();
    }

    private int verdict() {
        record.conclude("the request reached engines at " + arrivals + " ms; engines crashed at " + crashes + " ms");
        record.conclude("bookings of others by status: " + new TreeMap<>(bookings));
        fleet.checkAlive();
        if (!isCrashing) return calmVerdict();
        if (crashes.size() < 3) throw new IllegalStateException("fewer than three engines crashed");
        long bound = crashes.get(2) + CONTACT_MILLIS;
        long late = arrivals.stream().filter(at -> at > bound).count();
        long lost = lostBookings.stream().filter(at -> at > bound).count();
        record.conclude("after " + bound + " ms, the third crash and ContactMs, it reached engines " + late + " times; "
            + ALLOWED_LATE + " are allowed; " + lost + " bookings of others failed after that");
        return late > ALLOWED_LATE ? 1 : 0;
    }

    private int calmVerdict() {
        boolean isServed = refusedOrFailed.isEmpty() && crashes.isEmpty() && lostBookings.isEmpty();
        record.conclude(isServed ? "all requests were served" : "not served: " + refusedOrFailed + ", " + bookings);
        return isServed ? 0 : 1;
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
            if (request.text().equals(CRASHING_BODY)) {
                arrivals.add(record.now());
                record.add(request.headers.get("x-attempt-id") + " runs at " + id);
                if (isCrashing) {
                    crash();
                    return;
                }
            }
            super.run(request, output);
        }
    }
}
