package standin;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Engines answer before they have read a long body, without a length, and their connection is reset in the middle of the
 * answer.
 */
public final class EarlyAnswer {
    private static final int REQUESTS = 10;
    private static final int BODY_BYTES = 4_000_000;
    private static final String ANSWER = "booked: " + "net ".repeat(300) + "end";
    private static final int PAUSE_MILLIS = 200;

    public static void main(String[] arguments) {
        Fleet.run(arguments[0], EarlyAnswer::play);
    }

    private static String play(Fleet fleet) throws Exception {
        fleet.add(new Engine("i-one", false, (request, socket, out) -> {
            String head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.id() + "\r\nX-Response-Seal: s-" + request.id()
                + "\r\nConnection: close\r\n\r\n";
            if (fleet.hasTrouble) {
                out.write((head + ANSWER.substring(0, ANSWER.length() / 2)).getBytes(StandardCharsets.ISO_8859_1));
                Thread.sleep(PAUSE_MILLIS);
                fleet.log("engine i-one runs " + request.id() + ", has sent half of its answer, and resets the connection");
                socket.setSoLinger(true, 0);
            } else {
                out.write((head + ANSWER).getBytes(StandardCharsets.ISO_8859_1));
                Thread.sleep(PAUSE_MILLIS);
                readRest(socket);
                fleet.log("engine i-one runs " + request.id() + ", has sent its whole answer, and closes the connection");
            }
            return false;
        }), "ledger", 6);
        fleet.startRouters(1);
        List<String> broken = new ArrayList<>();
        String body = "n".repeat(BODY_BYTES);
        for (int index = 0; index < REQUESTS; index++) {
            String id = "a" + index;
            try (Client client = new Client(fleet.routers.get(0), 12_000)) {
                Client.Answer answer = client.send(Client.request("POST", "/report/" + id, id, 9_000, "", body));
                fleet.log("client sent " + id + " with " + BODY_BYTES + " bytes, got " + answer.status() + " with "
                    + answer.body().length() + " of " + ANSWER.length() + " bytes");
                if (answer.status() / 100 == 2 && !answer.body().equals(ANSWER)) {
                    broken.add("MIXED: " + id + " got a complete " + answer.status() + " with " + answer.body().length()
                        + " of " + ANSWER.length() + " bytes");
                }
            }
            Thread.sleep(1_000);
        }
        return broken.isEmpty() ? null : broken.size() + " of " + REQUESTS + ", first " + broken.get(0);
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
