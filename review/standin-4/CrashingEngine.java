import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * An engine that may crash. Another incarnation takes its place after some seconds, and its entry expires after three
 * intervals without a heartbeat.
 */
abstract class CrashingEngine extends EngineStandIn {
    private static final long RESTART_MILLIS = 2_500;

    private final StoreStandIn store;
    private final AtomicBoolean hasCrashed = new AtomicBoolean();

    CrashingEngine(String id, String service, String zone, StoreStandIn store) throws IOException {
        super(id, service, zone, store);
        this.store = store;
    }

    /** Called once when the engine crashes. */
    abstract void crashed();

    /** Starts the next incarnation. */
    abstract void restart() throws IOException;

    /** Ends the engine and all that it runs. */
    @Override
    final void crash() throws IOException {
        if (!hasCrashed.compareAndSet(false, true)) return;
        crashed();
        super.crash();
        startThread(this::replace);
    }

    private void replace() {
        try {
            TimeUnit.MILLISECONDS.sleep(RESTART_MILLIS);
            restart();
            TimeUnit.MILLISECONDS.sleep(3 * HEARTBEAT_MILLIS - RESTART_MILLIS);
            store.put("servers/" + id, null);
        } catch (IOException | InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }
}
