package standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Requests whose body is in a transfer coding that the router doesn't know. Each body holds the text of a request that
 * the client never sends as one.
 */
public final class Smuggled {
    private static final List<String> CODINGS = List.of("identity", "gzip", "xchunked");
    private static final int ROUNDS = 5;

    public static void main(String[] arguments) {
        Fleet.run(arguments, Smuggled::play);
    }

    private static String play(Fleet fleet) throws Exception {
        Set<String> sent = ConcurrentHashMap.newKeySet();
        List<String> unasked = new ArrayList<>();
        fleet.engine("i-one", "ledger", 6, (request, socket, out) -> {
            fleet.log("engine i-one runs " + request.id() + " " + request.path() + " for " + request.headers().get("x-tenant"));
            if (!sent.contains(request.id())) {
                synchronized (unasked) {
                    unasked.add(request.id());
                }
            }
            out.write(Engine.answer("200 OK", request.id(), "X-Response-Seal: s-" + request.id() + "\r\n", "booked"));
            return true;
        });
        fleet.startRouters(2);
        for (int round = 0; round < ROUNDS; round++) {
            for (String coding : CODINGS) {
                String id = "a" + round + "-" + CODINGS.indexOf(coding);
                String inner = Client.request("POST", "/book/inner", "inner-" + id, 1_500, "", "net");
                String text = fleet.hasTrouble
                    ? Client.request("POST", "/book/outer", id, 1_500, "Transfer-Encoding: " + coding + "\r\n", "")
                        .replace("Content-Length: 0\r\n", "") + inner
                    : Client.request("POST", "/book/outer", id, 1_500, "", inner);
                sent.add(id);
                fleet.log("client sends " + id + (fleet.hasTrouble ? " with Transfer-Encoding: " + coding : " with a length"));
                try (Client client = new Client(fleet.routers.get(round % 2), 1_000)) {
                    fleet.log("client got " + client.send(text).status());
                    fleet.log("and then " + more(client));
                }
            }
        }
        Thread.sleep(200);
        return unasked.isEmpty() ? null : "UNASKED: an engine ran " + unasked.size() + " requests that no client sent: "
            + unasked;
    }

    /** What the router sends on the connection after the answer to the one request. */
    private static String more(Client client) {
        try {
            return client.socket() == null ? "the connection ended" : "a second answer: " + client.read().status();
        } catch (IOException exception) {
            return "nothing";
        }
    }
}
