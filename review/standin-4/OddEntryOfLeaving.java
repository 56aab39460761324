import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
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
 * Another writer overwrites the entry of one engine once, with fields of another type. The engine writes its own entry
 * again at its next heartbeat. Later, when all is calm, the engine says that it is draining, serves on for some seconds
 * and leaves. Callers book all the while.
 *
 * Arguments: the file of the record, and whether the other writer writes (1) or not (0).
 */
public final class OddEntryOfLeaving {
    private static final int ROUTERS = 7;
    private static final int ENGINES = 3;
    private static final int CALLERS = 20;
    private static final int DEADLINE_MILLIS = 2_000;
    private static final long RUN_MILLIS = 150;
    private static final long WARM_UP_MILLIS = 4_000;

    /** More than three heartbeats: the engine has written its entry again, and the disturbance is long over. */
    private static final long CALM_MILLIS = 6_000;

    /** `DrainTimeoutMs` of the settings, and how long the engine serves after it has said that it is draining. */
    private static final long DRAIN_TIMEOUT_MILLIS = 2_000;
    private static final long SERVED_MILLIS = 8_000;

    private static final String HOST = "desk.example";
    private static final String SERVICE = "desk";
    private static final String CONFIGURATION = "{\"Version\":7,\"Routes\":[{\"Name\":\"book\",\"Host\":\"" + HOST
        + "\",\"Prefix\":\"/book/\",\"Kind\":\"unsafe\",\"TimeoutMs\":2000,\"TargetLatencyMs\":800,\"Priority\":1,"
        + "\"Service\":\"" + SERVICE + "\",\"MaxAttempts\":1,\"Public\":true}],\"Services\":[{\"Name\":\"" + SERVICE
        + "\",\"HealthPath\":\"/health\",\"ConnectionLimit\":360}],\"Limits\":{\"MaxHeaderBytes\":16384,"
        + "\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";

    private final Record record;
    private final StoreStandIn store = new StoreStandIn();
    private final Fleet fleet = new Fleet(ROUTERS);
    private final List<EngineStandIn> engines = new ArrayList<>();
    private final Map<String, Integer> bookings = new ConcurrentHashMap<>();
    private final List<Long> arrivalsAtLeaving = new CopyOnWriteArrayList<>();
    private final AtomicInteger ids = new AtomicInteger();
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });
    private volatile boolean isEnded;

    private OddEntryOfLeaving(Record record) throws IOException {
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        int code = 2;
        try (Record record = new Record(Path.of(arguments[0]))) {
            try {
                code = new OddEntryOfLeaving(record).play(arguments[1].equals("1"));
            } catch (Exception exception) {
                record.conclude("could not run: " + exception);
            }
        }
        System.exit(code);
    }

    private int play(boolean isDisturbed) throws Exception {
        store.put("op/config", CONFIGURATION);
        for (int index = 0; index < ENGINES; index++) engines.add(new Engine(index));
        engines.forEach(EngineStandIn::start);
        fleet.start(store);
        for (int caller = 0; caller < CALLERS; caller++) startCaller(caller);
        Thread.sleep(WARM_UP_MILLIS);
        EngineStandIn leaving = engines.get(0);
        if (isDisturbed) overwriteEntry(leaving);
        Thread.sleep(CALM_MILLIS);
        leaving.drain();
        long drainedAt = record.now();
        record.add(leaving.id + " says that it is draining");
        Thread.sleep(SERVED_MILLIS);
        leaving.leave();
        record.add(leaving.id + " leaves");
        Thread.sleep(DEADLINE_MILLIS);
        isEnded = true;
        Thread.sleep(DEADLINE_MILLIS);
        return verdict(drainedAt);
    }

    /** All as the engine would write it, but for two fields of another type and a sequence of the writer's own. */
    private void overwriteEntry(EngineStandIn engine) {
        store.put("servers/" + engine.id, engine.entry(1_000_000, "\"Stage\":7,\"Models\":\"m\","));
        record.add("another writer overwrites the entry of " + engine.id);
    }

    private void startCaller(int caller) {
        threads.submit((Callable<Void>) () -> {
            for (int number = caller; !isEnded; number++) {
                String id = "booking-" + ids.incrementAndGet();
                RouterProcess router = fleet.router(number);
                String outcome = Caller.post(router.clientPort, HOST, "/book/" + id, id, "none", DEADLINE_MILLIS, "net");
                bookings.merge(outcome, 1, Integer::sum);
                if (!outcome.equals("200")) record.add(id + " at " + router.name + " got " + outcome);
                Thread.sleep(20);
            }
            return null;
        });
    }

    private int verdict(long drainedAt) {
        fleet.checkAlive();
        long late = arrivalsAtLeaving.stream().filter(at -> at > drainedAt + DRAIN_TIMEOUT_MILLIS).count();
        record.conclude("bookings by outcome: " + new TreeMap<>(bookings));
        record.conclude(late + " of " + arrivalsAtLeaving.size() + " requests reached the engine over "
            + DRAIN_TIMEOUT_MILLIS + " ms after it was draining");
        return late > 0 ? 1 : 0;
    }

    private final class Engine extends EngineStandIn {
        private final boolean isLeaving;

        Engine(int index) throws IOException {
            super("desk-" + index, SERVICE, Fleet.zone(index), store);
            isLeaving = index == 0;
        }

        @Override
        void run(Http.Message request, OutputStream output) throws Exception {
            if (isLeaving) {
                arrivalsAtLeaving.add(record.now());
                record.add(request.headers.get("x-attempt-id") + " runs at " + id);
            }
            Thread.sleep(RUN_MILLIS);
            super.run(request, output);
        }
    }
}
