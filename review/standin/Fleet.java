package standin;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.IntFunction;
import java.util.stream.Stream;

/** A store with a configuration, some routers and the record of a case. Everything ends with [close]. */
public final class Fleet implements AutoCloseable {
    /** A small configuration of one host, with one route of each kind. */
    public static final String CONFIGURATION = """
        {"Version": 7,
         "Routes": [
          {"Name": "look", "Host": "desk.example", "Prefix": "/look/", "Kind": "safe", "TimeoutMs": 2000,
           "TargetLatencyMs": 400, "Priority": 2, "Service": "ledger", "MaxAttempts": 2},
          {"Name": "book", "Host": "desk.example", "Prefix": "/book/", "Kind": "unsafe", "TimeoutMs": 2000,
           "TargetLatencyMs": 400, "Priority": 2, "Service": "ledger", "MaxAttempts": 1},
          {"Name": "report", "Host": "desk.example", "Prefix": "/report/", "Kind": "unsafe", "TimeoutMs": 10000,
           "TargetLatencyMs": 1000, "Priority": 2, "Service": "ledger", "MaxAttempts": 1},
          {"Name": "chat", "Host": "desk.example", "Prefix": "/chat/", "Kind": "streaming", "TimeoutMs": 10000,
           "TargetLatencyMs": 400, "Priority": 0, "Service": "model", "MaxAttempts": 2, "StickySessions": true,
           "StreamResumption": true, "GapTargetMs": 400},
          {"Name": "draft", "Host": "desk.example", "Prefix": "/draft/", "Kind": "streaming", "TimeoutMs": 10000,
           "TargetLatencyMs": 800, "Priority": 1, "Service": "model", "MaxAttempts": 1, "StickySessions": true,
           "GapTargetMs": 400}],
         "Services": [{"Name": "ledger", "HealthPath": "/health", "ConnectionLimit": 100},
                      {"Name": "model", "HealthPath": "/health", "ConnectionLimit": 360}],
         "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
         "Tenants": [{"Name": "grower", "ApiKeys": ["secret"]}]}
        """;

    private static final int SPOILING_MILLIS = 5_000;
    private static final int CALM_MILLIS = 1_000;
    public final Store store = new Store();
    public final List<Router> routers = new ArrayList<>();
    /** Whether the disruption is to be injected. */
    public final boolean hasTrouble;
    private final List<Engine> engines = new ArrayList<>();
    private final Path folder = Files.createTempDirectory("review");
    private final PrintWriter record;
    private final long startedAt = System.nanoTime();

    public Fleet(String recordFile, boolean hasTrouble) throws IOException {
        this.hasTrouble = hasTrouble;
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)));
        store.put("op/config", CONFIGURATION);
    }

    /** Writes a line of the record. */
    public synchronized void log(String line) {
        record.printf("%8.3f %s%n", (System.nanoTime() - startedAt) / 1e9, line);
        record.flush();
    }

    public Engine engine(String id, String service, int slots, Engine.Behaviour behaviour) throws IOException {
        return add(new Engine(id, behaviour), service, slots);
    }

    /** Registers [engine]. */
    public Engine add(Engine engine, String service, int slots) {
        engines.add(engine);
        store.put("servers/" + engine.id, engine.entry(service, slots, "ready", 1));
        return engine;
    }

    /** Starts [count] routers, one after the other. */
    public void startRouters(int count) throws IOException, InterruptedException {
        addRouters(count, index -> store.address());
        for (Router router : routers) router.start();
        Thread.sleep(500);
    }

    /** Starts routers at the same time, each with a link of its own to the store. */
    public List<StoreLink> startLinkedRouters(int count) throws IOException, InterruptedException {
        List<StoreLink> links = new ArrayList<>();
        for (int index = 0; index < count; index++) links.add(new StoreLink(store.address()));
        addRouters(count, index -> links.get(index).address());
        for (Router router : routers) router.launch();
        for (Router router : routers) router.awaitReady();
        return links;
    }

    /** Adds routers of which the first three are the seeds of all. */
    private void addRouters(int count, IntFunction<String> storeAddress) throws IOException {
        List<Integer> ports = new ArrayList<>();
        List<String> seeds = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            ports.add(Router.freePort(Router.host(index)));
            if (index < 3) seeds.add(Router.host(index) + ":" + ports.get(index));
        }
        for (int index = 0; index < count; index++) {
            routers.add(new Router("frontend-wm-a-" + (index + 1), Router.host(index), folder, storeAddress.apply(index),
                seeds, ports.get(index)));
        }
    }

    /** Whether a disruption that comes again and again, for five seconds of each six, is on. */
    public boolean isSpoiling() {
        return hasTrouble && (System.nanoTime() - startedAt) / 1_000_000 % (SPOILING_MILLIS + CALM_MILLIS) < SPOILING_MILLIS;
    }

    @Override
    public void close() throws IOException {
        for (Router router : routers) router.close();
        for (Engine engine : engines) engine.close();
        store.close();
        record.close();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) Files.delete(file);
        }
    }

    /**
     * Runs a case; [arguments] are the file of its record and with-trouble or without-trouble. Exits with 1 if the rule
     * was broken, 0 if it held, and 2 if the case could not run.
     */
    public static void run(String[] arguments, Case action) {
        int code = 2;
        try (Fleet fleet = new Fleet(arguments[0], !"without-trouble".equals(arguments[1]))) {
            fleet.log(fleet.hasTrouble ? "with the disruption" : "without the disruption");
            String broken = action.run(fleet);
            code = broken == null ? 0 : 1;
            fleet.log(broken == null ? "HELD" : "BROKEN " + broken);
            System.out.println(broken == null ? "held" : "broken: " + broken);
        } catch (Exception exception) {
            exception.printStackTrace();
        }
        System.exit(code);
    }

    /** Returns what broke the rule, or null if it held. */
    public interface Case {
        String run(Fleet fleet) throws Exception;
    }
}
