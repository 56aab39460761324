package standin;

import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A router process, started with the `run` line of the deploy file and a settings file like that of the pages. */
public final class Router implements AutoCloseable {
    private static final Set<Integer> TAKEN_PORTS = new HashSet<>();
    public final String name;
    public final String host;
    public final int clientPort;
    public final int readyPort;
    public final int peerPort;
    private final Path settings;
    private final File log;
    private Process process;

    /** A router at the loopback address [host]; [seeds] are the addresses at which others listen for routers. */
    public Router(String name, String host, Path folder, String storeAddress, List<String> seeds, int peerPort)
        throws IOException {
        this.name = name;
        this.host = host;
        this.clientPort = freePort(host);
        this.readyPort = freePort(host);
        this.peerPort = peerPort;
        this.log = folder.resolve(name + ".log").toFile();
        this.settings = folder.resolve(name + ".json");
        String seedText = String.join(",", seeds.stream().map(seed -> "\"" + seed + "\"").toList());
        Files.writeString(settings, """
            {"NodeName": "%7$s", "Role": "router", "MachineClass": "frontend", "Serves": ["frontend", "control"],
             "Ip": "%1$s", "Zone": "wm-a", "Region": "west-midlands", "Zones": {"wm-a": "west-midlands"},
             "ListenAddresses": {"FrontAddress": "%1$s:%2$d", "Ready": "%1$s:%3$d",
                                 "ControlPlane": "%1$s:%4$d"},
             "SeedNodes": [%5$s], "Bootstrap": true, "HeartbeatIntervalMs": 1200,
             "Limits": {"CpuShare": 0.75, "CpuCores": 1, "MemoryMb": 430, "FileDescriptors": 4100},
             "Bounds": {"SeedLagS": 3, "AddressReuseS": 2, "ContactMs": 3000, "AckTimeoutMs": 4000, "CatchUpS": 4,
                        "DrainTimeoutMs": 2000, "GracePeriodS": 8, "LossSlackMs": 200, "ConfigApplyMs": 2000,
                        "RollbackSlackMs": 250, "OuterBoundMs": 5000, "RetryBudgetRatio": 0.2, "BudgetWindowS": 10,
                        "RetryBudgetSlack": 54, "RecoveryS": 12, "PassMs": 120, "ReuseWindowS": 10,
                        "ImbalanceFactor": 2},
             "Platform": {"Address": "%6$s", "form": "kv", "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20,
                          "ValueBytes": 1048576, "TtlMinMs": 1000}}
            """.formatted(host, clientPort, readyPort, peerPort, seedText, storeAddress, name));
    }

    /** The loopback address of the router with this number: one each, so that no port is taken meanwhile. */
    public static String host(int number) {
        return "127.0.1." + (number + 1);
    }

    /** A free port below those that the system gives to outgoing connections, another one at each call. */
    public static synchronized int freePort(String host) throws IOException {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(20_000, 32_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(host))) {
                if (TAKEN_PORTS.add(port)) return socket.getLocalPort();
            } catch (BindException exception) {
                continue;
            }
        }
    }

    /** Starts the process and waits until it says that it is ready. */
    public void start() throws IOException, InterruptedException {
        launch();
        awaitReady();
    }

    /** Starts the process. */
    public void launch() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) throw new IOException("deploy/system.toml has no run line");
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
        builder.environment().put("CICADAARCH_NODE_FILE", settings.toString());
        process = builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log)).start();
        Process started = process;
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
    }

    /** Waits until the process says that it is ready. */
    public void awaitReady() throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!isReady()) {
            if (!process.isAlive()) throw new IOException(name + " ended before it was ready: " + logLines("level=ERROR"));
            if (System.nanoTime() > end) throw new IOException(name + " was not ready in time");
            Thread.sleep(50);
        }
    }

    public boolean isReady() {
        try (Socket socket = new Socket(host, readyPort)) {
            socket.setSoTimeout(1000);
            socket.getOutputStream().write("GET /readiness HTTP/1.1\r\nHost: a\r\n\r\n".getBytes());
            return new String(socket.getInputStream().readNBytes(12), StandardCharsets.ISO_8859_1).endsWith("200");
        } catch (IOException exception) {
            return false;
        }
    }

    public boolean isAlive() {
        return process != null && process.isAlive();
    }

    public long pid() {
        return process.pid();
    }

    /** The exit code, or null while the process runs. */
    public Integer exitCode() {
        return isAlive() ? null : process.exitValue();
    }

    public void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    /** The lines of the process's log that contain [text]. */
    public List<String> logLines(String text) throws IOException {
        return Files.readAllLines(log.toPath(), StandardCharsets.ISO_8859_1).stream()
            .filter(line -> line.contains(text)).toList();
    }

    @Override
    public void close() {
        if (process != null) process.destroyForcibly();
    }
}
