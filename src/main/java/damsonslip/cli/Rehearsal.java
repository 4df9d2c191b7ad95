package damsonslip.cli;

import damsonslip.config.ConfigurationException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import sun.misc.Signal;

/**
 * Serves a few queries to itself, on loopback, and ends: the build runs it so that the JVM can
 * archive the classes that serving needs (class data sharing). On half a core a start without that
 * archive takes more than two seconds, most of it loading classes, and a restarting scheduler's
 * clients find nobody for as long.
 */
final class Rehearsal {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int QUERIES = 3;
    private static final int PATIENCE_MS = 3_000;
    private static final String CONFIG =
            """
            {"name":"rehearsal","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","mgmt":"127.0.0.1:%d","seed":"1",
            "limits":{"sockets":256},
            "settings":{"instances":1,"azs":["z"],"shapes":["k"],"lanes":[{"name":"any","aim_s":1,"hard_limit_s":2,
            "semantics":"repeatable","value":1}],"limits":{"send_cap":2,"may_cancel":true},"registry_mode":"on_request",
            "reporting":{"how":"piggyback"},"specifics":{"tells_start":true}},
            "known":{"generation":1,"reset":true,"instances":[{"instanceId":"w","hostPort":"127.0.0.1:%d","zone":"z",
            "machineType":"k","cell":0,"lifecycle":"ready","weight":1.0,"startedAtMs":0}]}}\
            """;

    private static final String QUERY =
            """
            POST /api HTTP/1.1
            Host: rehearsal
            X-Correlation-Id: r%d
            X-Service-Class: any
            X-Time-Left: 2000m
            Content-Length: 4
            Connection: close

            body\
            """;

    private Rehearsal() {}

    /**
     * Starts as a scheduler does, with a second address, and is used; the exit that follows is its
     * stop.
     */
    static void run() throws ConfigurationException, IOException {
        Path folder = Files.createTempDirectory("rehearsal");
        try (ServerSocket worker = socket();
                ServerSocket discovery = socket()) {
            serve(
                    worker,
                    """
                    {"id":"%1$s","state":"started"}
                    {"id":"%1$s","state":"done","result":"r","load":{"util":0.5,"eps":0,"x0":3}}
                    """);
            serve(discovery, "%2$s");
            int port = freePort();
            int second = freePort();
            Path config =
                    Files.writeString(
                            folder.resolve("config.json"),
                            CONFIG.formatted(
                                    port, discovery.getLocalPort(), second, worker.getLocalPort()));
            Serve.start(
                    null, Map.of("ROUTER_CONFIG", config.toString(), "TMPDIR", folder.toString()));
            for (int i = 0; i < QUERIES; i++) {
                String answer = ask(port, QUERY.formatted(i).replace("\n", "\r\n"));
                if (!answer.startsWith("HTTP/1.1 200")) {
                    throw new IOException(
                            "the rehearsal was not served: "
                                    + answer.lines().findFirst().orElse(""));
                }
            }
            ask(port, "nonsense\r\n\r\n");
            Signal.raise(new Signal("HUP"));
            for (String call : List.of("READY", "STATS", "nonsense")) {
                ask(second, call + "\n");
            }
        } finally {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder())
                        .forEach(file -> file.toFile().deleteOnExit());
            }
        }
    }

    private static ServerSocket socket() throws IOException {
        return new ServerSocket(0, 0, InetAddress.getByName(LOOPBACK));
    }

    private static int freePort() throws IOException {
        try (ServerSocket free = socket()) {
            return free.getLocalPort();
        }
    }

    /**
     * Answers whatever is asked with these lines: a worker, or discovery with an empty list of
     * changes.
     */
    private static void serve(ServerSocket server, String lines) {
        Thread thread =
                new Thread(
                        () -> {
                            while (!server.isClosed()) {
                                try (Socket peer = server.accept()) {
                                    answer(peer, lines);
                                } catch (IOException e) {
                                    // the next one, unless the rehearsal is over
                                }
                            }
                        },
                        "rehearsal");
        thread.setDaemon(true);
        thread.start();
    }

    private static void answer(Socket peer, String lines) throws IOException {
        byte[] bytes = new byte[4096];
        String asked =
                new String(
                        bytes,
                        0,
                        Math.max(0, peer.getInputStream().read(bytes)),
                        StandardCharsets.UTF_8);
        int at = asked.indexOf("X-Correlation-Id: ");
        String id = at < 0 ? "" : asked.substring(at, asked.indexOf('\r', at)).split(" ")[1];
        String body =
                String.format(lines, id, "{\"generation\":2,\"reset\":false,\"instances\":[]}\n");
        peer.getOutputStream()
                .write(
                        ("HTTP/1.1 200 OK\r\n"
                                        + "Transfer-Encoding: chunked\r\n"
                                        + "Connection: close\r\n\r\n"
                                        + Integer.toHexString(body.length())
                                        + "\r\n"
                                        + body
                                        + "\r\n0\r\n\r\n")
                                .getBytes(StandardCharsets.UTF_8));
    }

    private static String ask(int port, String text) throws IOException {
        try (Socket client = new Socket()) {
            client.connect(new InetSocketAddress(LOOPBACK, port), PATIENCE_MS);
            client.setSoTimeout(PATIENCE_MS);
            client.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            return new String(client.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
