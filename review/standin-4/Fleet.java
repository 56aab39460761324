import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The routers of a small deployment in three zones. They are ended with this program at the latest. */
final class Fleet {
    private static final int ZONES = 3;
    private static final int SEEDS = 3;

    final List<RouterProcess> routers = new ArrayList<>();

    Fleet(int size) throws IOException {
        Path folder = Files.createTempDirectory("fleet");
        for (int index = 0; index < size; index++) {
            routers.add(new RouterProcess("router-" + index, zone(index), folder));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::kill));
    }

    static String zone(int index) {
        return "zone-" + index % ZONES;
    }

    /** Starts all routers and waits until they are ready. */
    void start(StoreStandIn store) throws Exception {
        List<Integer> seeds = routers.stream().limit(SEEDS).map(router -> router.peerPort).toList();
        for (RouterProcess router : routers) router.start(seeds, store.port());
        for (RouterProcess router : routers) router.awaitReady();
    }

    /** The router for the request with this [number], each in turn. */
    RouterProcess router(int number) {
        return routers.get(number % routers.size());
    }

    void checkAlive() {
        if (routers.stream().anyMatch(router -> !router.isAlive())) throw new IllegalStateException("a router has ended");
    }

    void kill() {
        routers.forEach(RouterProcess::kill);
    }
}
