import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;

/**
 * A router, started with the `run` line of the deploy file and settings of a small deployment. Its settings and its log
 * are in [folder].
 */
final class RouterProcess {
    private static final Path DEPLOY_FILE = Path.of("deploy", "system.toml");
    private static final long START_SECONDS = 20;
    private static final AtomicInteger NEXT_PORT = new AtomicInteger(20_000 + (int) (ProcessHandle.current().pid() % 500) * 20);
    private static final String BOUNDS = "{\"SeedLagS\":3,\"AddressReuseS\":2,\"ContactMs\":3000,\"AckTimeoutMs\":4000,"
        + "\"CatchUpS\":4,\"DrainTimeoutMs\":2000,\"GracePeriodS\":8,\"LossSlackMs\":200,\"ConfigApplyMs\":2000,"
        + "\"RollbackSlackMs\":250,\"OuterBoundMs\":5000,\"StrictRevocation\":false,\"RevocationMs\":5000,"
        + "\"RetryBudgetRatio\":0.2,\"BudgetWindowS\":10,\"RetryBudgetSlack\":54,\"RecoveryS\":12,\"PassMs\":120,"
        + "\"ReuseWindowS\":10,\"ImbalanceFactor\":2}";

    final String name;
    final int clientPort = freePort();
    final int peerPort = freePort();
    private final int readinessPort = freePort();
    private final Path folder;
    private final String zone;
    private Process process;

    RouterProcess(String name, String zone, Path folder) throws IOException {
        this.name = name;
        this.zone = zone;
        this.folder = folder;
    }

    /** Starts the process; [seedPorts] are the peer ports of up to three routers. */
    void start(List<Integer> seedPorts, int storePort) throws IOException {
        Path settings = folder.resolve(name + ".json");
        Files.writeString(settings, settings(seedPorts, storePort));
        ProcessBuilder builder = new ProcessBuilder(runCommand());
        builder.environment().put("CICADAARCH_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(folder.toFile(), name + ".log")));
        process = builder.start();
    }

    void awaitReady() throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_SECONDS);
        while (!isReady()) {
            if (System.nanoTime() > end) throw new IllegalStateException(name + " did not get ready");
            Thread.sleep(50);
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    void kill() {
        if (process != null) process.destroyForcibly();
    }

    private boolean isReady() {
        try (Socket socket = new Socket("127.0.0.1", readinessPort)) {
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write("GET /readiness HTTP/1.1\r\nHost: router\r\n\r\n".getBytes());
            InputStream input = socket.getInputStream();
            Http.Message response = Http.readHead(input);
            return response != null && response.word(1).equals("200");
        } catch (IOException notYet) {
            return false;
        }
    }

    private static List<String> runCommand() throws IOException {
        String line = Files.readAllLines(DEPLOY_FILE).stream()
            .filter(text -> text.startsWith("run = "))
            .findFirst()
            .orElseThrow();
        return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
    }

    private String settings(List<Integer> seedPorts, int storePort) {
        String seeds = seedPorts.stream().map(port -> "\"127.0.0.1:" + port + "\"").collect(Collectors.joining(","));
        return "{\"NodeName\":\"" + name + "\",\"Role\":\"router\",\"MachineClass\":\"frontend\","
            + "\"Serves\":[\"frontend\",\"control\"],\"Ip\":\"127.0.0.1\",\"Zone\":\"" + zone + "\",\"Region\":\"region\","
            + "\"ListenAddresses\":{\"FrontAddress\":\"127.0.0.1:" + clientPort + "\",\"Ready\":\"127.0.0.1:"
            + readinessPort + "\",\"ControlPlane\":\"127.0.0.1:" + peerPort + "\"},\"InternalPortRange\":[7340,7355],"
            + "\"SeedNodes\":[" + seeds + "],\"Bootstrap\":true,\"Limits\":{\"CpuShare\":0.75,\"CpuCores\":1,"
            + "\"MemoryMb\":430,\"FileDescriptors\":4100,\"LinkMbps\":1000.0,\"DiskMb\":0},"
            + "\"HeartbeatIntervalMs\":1200,\"Bounds\":" + BOUNDS + ",\"Platform\":{\"Address\":\"127.0.0.1:" + storePort
            + "\",\"form\":\"kv\",\"WritesPerS\":400,\"ReadsPerS\":2000,\"HistoryS\":20,\"ValueBytes\":1048576,"
            + "\"TtlMinMs\":1000}}";
    }

    /** A free port below those that the system gives to connections, which one of them could take meanwhile. */
    private static int freePort() throws IOException {
        while (true) {
            int port = NEXT_PORT.getAndIncrement();
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (BindException inUse) {
                continue;
            }
        }
    }
}
