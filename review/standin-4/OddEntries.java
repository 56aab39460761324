import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Another writer overwrites the entry of each engine of one service once, with entries of a service that this deployment
 * does not have. The engines write their own entries again at their next heartbeat. Later a configuration adds a route to
 * their service.
 *
 * Arguments: the file of the record, and whether the other writer writes (1) or not (0).
 */
public final class OddEntries {
    private static final int ROUTERS = 7;
    private static final int ENGINES_OF_EACH_SERVICE = 3;
    private static final int REQUESTS = 42;
    private static final int DEADLINE_MILLIS = 2_000;
    private static final long WARM_UP_MILLIS = 4_000;

    /** More than three heartbeats: each engine has written its entry again, and the disturbance is long over. */
    private static final long CALM_MILLIS = 6_000;

    /** `ConfigApplyMs` of the settings, and a second more. */
    private static final long APPLY_MILLIS = 3_000;

    private static final String HOST = "desk.example";
    private static final String FIRST_PATH = "/ask/";
    private static final String LATER_PATH = "/book/";
    private static final String MODEL_SERVICE = "desk-model";
    private static final String LEDGER_SERVICE = "hire-ledger";

    private final Record record;
    private final StoreStandIn store = new StoreStandIn();
    private final Fleet fleet = new Fleet(ROUTERS);
    private final List<EngineStandIn> ledgerEngines = new ArrayList<>();
    private int sent;

    private OddEntries(Record record) throws IOException {
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        int code = 2;
        try (Record record = new Record(Path.of(arguments[0]))) {
            try {
                code = new OddEntries(record).play(arguments[1].equals("1"));
            } catch (Exception exception) {
                record.conclude("could not run: " + exception);
            }
        }
        System.exit(code);
    }

    private int play(boolean isDisturbed) throws Exception {
        store.put("op/config", configuration(7, route("ask", FIRST_PATH, MODEL_SERVICE)));
        for (int index = 0; index < ENGINES_OF_EACH_SERVICE; index++) {
            startEngine("model-" + index, MODEL_SERVICE, index);
            ledgerEngines.add(startEngine("ledger-" + index, LEDGER_SERVICE, index));
        }
        fleet.start(store);
        Thread.sleep(WARM_UP_MILLIS);
        if (isDisturbed) ledgerEngines.forEach(this::overwriteEntry);
        Thread.sleep(CALM_MILLIS);
        String routes = route("ask", FIRST_PATH, MODEL_SERVICE) + "," + route("book", LATER_PATH, LEDGER_SERVICE);
        store.put("op/config", configuration(9, routes));
        record.add("version 9 adds the route " + LATER_PATH);
        Thread.sleep(APPLY_MILLIS);
        return verdict(send(FIRST_PATH), send(LATER_PATH));
    }

    private EngineStandIn startEngine(String id, String service, int index) throws IOException {
        EngineStandIn engine = new EngineStandIn(id, service, Fleet.zone(index), store);
        engine.start();
        return engine;
    }

    /** The entry of an engine of another deployment, which has the same id and has started just now. */
    private void overwriteEntry(EngineStandIn engine) {
        store.put("servers/" + engine.id, "{\"Service\":\"seed-scales\",\"Address\":\"127.0.0.1:9\",\"Zone\":\"zone-0\","
            + "\"Version\":\"v1\",\"Slots\":6,\"State\":\"ready\",\"ColdRemainingMs\":0,\"Sequence\":1,\"born\":"
            + System.currentTimeMillis() + "}");
        record.add("another writer overwrites the entry of " + engine.id);
    }

    /** Sends requests to all routers in turn, and returns how many were served. */
    private int send(String path) throws InterruptedException {
        Map<String, Integer> outcomes = new TreeMap<>();
        for (int count = 0; count < REQUESTS; count++) {
            String id = "request-" + sent++;
            RouterProcess router = fleet.router(count);
            String outcome = Caller.post(router.clientPort, HOST, path, id, "none", DEADLINE_MILLIS, "net");
            record.add(id + " to " + path + " at " + router.name + " got " + outcome);
            outcomes.merge(outcome, 1, Integer::sum);
            Thread.sleep(20);
        }
        record.conclude(path + ": " + outcomes);
        return outcomes.getOrDefault("200", 0);
    }

    private int verdict(int servedFirst, int servedLater) {
        fleet.checkAlive();
        record.conclude("of " + REQUESTS + " requests each, " + servedFirst + " were served on the first route and "
            + servedLater + " on the route that was added later");
        return servedLater * 4 < servedFirst ? 1 : 0;
    }

    private static String route(String name, String prefix, String service) {
        return "{\"Name\":\"" + name + "\",\"Host\":\"" + HOST + "\",\"Prefix\":\"" + prefix + "\",\"Kind\":\"unsafe\","
            + "\"TimeoutMs\":2000,\"TargetLatencyMs\":400,\"Priority\":1,\"Service\":\"" + service
            + "\",\"MaxAttempts\":1,\"Public\":true}";
    }

    private static String configuration(int version, String routes) {
        return "{\"Version\":" + version + ",\"Routes\":[" + routes + "],\"Services\":[" + service(MODEL_SERVICE) + ","
            + service(LEDGER_SERVICE) + "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
            + "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";
    }

    private static String service(String name) {
        return "{\"Name\":\"" + name + "\",\"HealthPath\":\"/health\",\"ConnectionLimit\":360}";
    }
}
