package standin;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Predicate;

/**
 * One of two engines answers some requests before it has read their long body, without a length, and the connection is
 * reset in the middle of that answer.
 */
public final class EarlyAnswer {
    private static final long PLAY_MILLIS = 30_000;
    private static final int SPOILED_ONE_IN = 20;
    private static final int BODY_BYTES = 4_190_000;
    private static final String ANSWER = "booked: " + "net ".repeat(300) + "end";
    private static final int PAUSE_MILLIS = 200;

    public static void main(String[] arguments) {
        Fleet.run(arguments, EarlyAnswer::play);
    }

    private static String play(Fleet fleet) throws Exception {
        AtomicReference<String> faulty = new AtomicReference<>();
        AtomicInteger answers = new AtomicInteger();
        Set<String> early = ConcurrentHashMap.newKeySet();
        for (String engine : List.of("i-one", "i-two")) {
            Predicate<String> readsBody = id -> {
                faulty.compareAndSet(null, engine);
                boolean isCounted = engine.equals(faulty.get()) && (fleet.isSpoiling() || !fleet.hasTrouble);
                if (isCounted && answers.incrementAndGet() % SPOILED_ONE_IN == 0) early.add(id);
                return !early.contains(id);
            };
            fleet.add(new Engine(engine, readsBody, (request, socket, out) ->
                early.contains(request.id()) ? answerEarly(fleet, request, socket, out) : answer(fleet, request, out)),
                "ledger", 6);
        }
        fleet.startRouters(1);
        List<String> broken = new ArrayList<>();
        String body = "n".repeat(BODY_BYTES);
        long end = System.nanoTime() + PLAY_MILLIS * 1_000_000;
        int requests = 0;
        for (; System.nanoTime() < end; requests++) {
            String id = "a" + requests;
            try (Client client = new Client(fleet.routers.get(0), 12_000)) {
                Client.Answer answer = client.send(Client.request("POST", "/report/" + id, id, 9_000, "", body));
                fleet.log("client sent " + id + " with " + BODY_BYTES + " bytes, got " + answer.status() + " with "
                    + answer.body().length() + " of " + ANSWER.length() + " bytes");
                if (answer.status() / 100 == 2 && !answer.body().equals(ANSWER)) {
                    broken.add("MIXED: " + id + " got a complete " + answer.status() + " with " + answer.body().length()
                        + " of " + ANSWER.length() + " bytes");
                }
            }
        }
        fleet.log("early answers: " + early.size() + " of " + answers.get() + " of the faulty engine; requests: " + requests);
        return broken.isEmpty() ? null : broken.size() + " of " + early.size() + " early answers, first " + broken.get(0);
    }

    private static boolean answer(Fleet fleet, Engine.Request request, OutputStream out) throws IOException {
        fleet.log("engine " + request.engine() + " runs " + request.id() + " and answers in full, with a length");
        out.write(Engine.answer("200 OK", request.id(), "X-Response-Seal: s-" + request.id() + "\r\n", ANSWER));
        return true;
    }

    /** Answers before the body is read, without a length; with the disruption, the answer breaks off. */
    private static boolean answerEarly(Fleet fleet, Engine.Request request, Socket socket, OutputStream out)
        throws IOException, InterruptedException {
        String head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.id() + "\r\nX-Response-Seal: s-" + request.id()
            + "\r\nConnection: close\r\n\r\n";
        String text = fleet.hasTrouble ? ANSWER.substring(0, ANSWER.length() / 2) : ANSWER;
        out.write((head + text).getBytes(StandardCharsets.ISO_8859_1));
        Thread.sleep(PAUSE_MILLIS);
        if (fleet.hasTrouble) {
            socket.setSoLinger(true, 0);
            fleet.log("engine " + request.engine() + " runs " + request.id() + ", has sent half of its answer, and resets"
                + " the connection");
        } else {
            readRest(socket);
            fleet.log("engine " + request.engine() + " runs " + request.id() + ", has sent its whole answer early, and closes"
                + " the connection");
        }
        return false;
    }

    /** Reads the rest of a body, which has arrived when nothing more comes for a while. */
    private static void readRest(Socket socket) throws IOException {
        socket.setSoTimeout(PAUSE_MILLIS);
        byte[] bytes = new byte[65_536];
        try {
            while (socket.getInputStream().read(bytes) >= 0) {
                continue;
            }
        } catch (SocketTimeoutException exception) {
            // The whole body has arrived.
        }
    }
}
