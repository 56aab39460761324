package standin;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A planned stop (SIGTERM) of a router while clients on slow links read the answers to requests that it took. The engine
 * has answered each request in full within milliseconds.
 */
public final class SlowReader {
    private static final int CLIENTS = 4;
    private static final int ANSWER_BYTES = 4_900_000;
    private static final int SLOW_READ_BYTES = 2_000;
    private static final int FAST_READ_BYTES = 150_000;
    private static final long SLOW_MILLIS = 3_000;
    private static final int SLOW_READ_INTERVAL_MILLIS = 50;
    private static final int FAST_READ_INTERVAL_MILLIS = 10;
    private static final int RECEIVE_BUFFER_BYTES = 32_768;
    private static final int DEADLINE_MILLIS = 9_500;

    public static void main(String[] arguments) {
        Fleet.run(arguments, SlowReader::play);
    }

    private static String play(Fleet fleet) throws Exception {
        Set<String> run = ConcurrentHashMap.newKeySet();
        String body = "n".repeat(ANSWER_BYTES);
        fleet.engine("i-one", "ledger", 6, (request, socket, out) -> {
            run.add(request.id());
            byte[] answer = Engine.answer("200 OK", request.id(), "X-Response-Seal: s-" + request.id() + "\r\n", body);
            out.write(answer);
            fleet.log("engine i-one has run " + request.id() + " and sent its whole answer, " + ANSWER_BYTES + " bytes");
            return true;
        });
        fleet.startRouters(2);
        Router stopped = fleet.routers.get(0);
        if (fleet.hasTrouble) {
            fleet.log("SIGTERM to " + stopped.name);
            stopped.signal("TERM");
        }
        Thread.sleep(500);
        List<String> broken = new ArrayList<>();
        List<Thread> clients = new ArrayList<>();
        for (int index = 0; index < CLIENTS; index++) {
            String id = "a" + index;
            Thread client = new Thread(() -> {
                String result = download(fleet, stopped, id);
                fleet.log("client of " + id + ": " + result);
                if (!result.startsWith("whole") && !result.startsWith("late") && run.contains(id)) {
                    synchronized (broken) {
                        broken.add("LOST: " + id + " was run by its engine; " + result);
                    }
                }
            });
            client.start();
            Thread.sleep(200);
            clients.add(client);
        }
        for (Thread client : clients) client.join();
        return broken.isEmpty() ? null : broken.size() + " of " + CLIENTS + ", first " + broken.get(0);
    }

    private static String download(Fleet fleet, Router router, String id) {
        long startedAt = System.nanoTime();
        int received = 0;
        int expected = -1;
        String end = "the connection ended";
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            socket.connect(new InetSocketAddress(router.host, router.clientPort));
            socket.setSoTimeout(12_000);
            String text = Client.request("POST", "/report/" + id, id, DEADLINE_MILLIS, "", "net");
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            fleet.log("client sent " + id + " to " + router.name);
            InputStream in = socket.getInputStream();
            byte[] bytes = new byte[FAST_READ_BYTES];
            StringBuilder head = new StringBuilder();
            while (expected < 0 || received < expected) {
                boolean isSlow = System.nanoTime() - startedAt < SLOW_MILLIS * 1_000_000;
                int count = in.read(bytes, 0, isSlow ? SLOW_READ_BYTES : FAST_READ_BYTES);
                if (count < 0) break;
                received += count;
                if (expected < 0) {
                    head.append(new String(bytes, 0, count, StandardCharsets.ISO_8859_1));
                    int headEnd = head.indexOf("\r\n\r\n");
                    if (headEnd >= 0) expected = headEnd + 4 + length(head.toString());
                }
                Thread.sleep(isSlow ? SLOW_READ_INTERVAL_MILLIS : FAST_READ_INTERVAL_MILLIS);
            }
        } catch (IOException exception) {
            end = exception.getMessage();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
        long millis = (System.nanoTime() - startedAt) / 1_000_000;
        if (received == expected) return "whole answer, " + received + " bytes after " + millis + " ms";
        if (millis >= DEADLINE_MILLIS) return "late: " + end + " after " + received + " of " + expected + " bytes";
        return end + " after " + received + " of " + expected + " bytes and " + millis + " ms of " + DEADLINE_MILLIS;
    }

    private static int length(String head) {
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase().startsWith("content-length:")) return Integer.parseInt(line.substring(15).trim());
        }
        return 0;
    }
}
