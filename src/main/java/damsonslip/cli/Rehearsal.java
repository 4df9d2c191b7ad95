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
 * The command {@code rehearse}: a scheduler serves a few requests on loopback and exits. The build
 * runs it so that the JVM can archive the classes that serving needs (class data sharing); without
 * the archive most of the start-up time is spent loading classes.
 */
final class Rehearsal {
    private static final String ID_HEADER = "X-Correlation-Id: ";
    private static final int REQUEST_COUNT = 3;
    private static final int TIMEOUT_MS = 3_000;
    private static final String CONFIG =
            """
            {"name":"rehearsal","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d",
            "mgmt":"127.0.0.1:%d","seed":"1","limits":{"sockets":256},
            "settings":{"instances":1,"azs":["z"],"shapes":["k"],
            "lanes":[{"name":"any","aim_s":1,"hard_limit_s":2,"semantics":"repeatable","value":1}],
            "limits":{"send_cap":2,"may_cancel":true},"registry_mode":"on_request",
            "reporting":{"how":"piggyback"},"specifics":{"tells_start":true}},
            "known":{"generation":1,"reset":true,
            "instances":[{"instanceId":"w","hostPort":"127.0.0.1:%d","zone":"z","machineType":"k",
            "cell":0,"lifecycle":"ready","weight":1.0,"startedAtMs":0}]}}\
            """;

    private static final String REQUEST =
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
     * Starts a scheduler with a management port and sends it requests, a reload signal and
     * commands. The scheduler is shut down when the process exits.
     */
    static void run() throws ConfigurationException, IOException {
        Path directory = Files.createTempDirectory("rehearsal");
        try (ServerSocket worker = listenOnLoopback();
                ServerSocket discovery = listenOnLoopback()) {
            serve(
                    worker,
                    """
                    {"id":"%1$s","state":"started"}
                    {"id":"%1$s","state":"done","result":"r","load":{"util":0.5,"eps":0,"x0":3}}
                    """);
            serve(discovery, "%2$s");
            int clientPort = freePort();
            int managementPort = freePort();
            Path config =
                    Files.writeString(
                            directory.resolve("config.json"),
                            CONFIG.formatted(
                                    clientPort,
                                    discovery.getLocalPort(),
                                    managementPort,
                                    worker.getLocalPort()));
            ServeCommand.start(
                    null,
                    Map.of("ROUTER_CONFIG", config.toString(), "TMPDIR", directory.toString()));
            exerciseScheduler(clientPort, managementPort);
        } finally {
            try (Stream<Path> files = Files.walk(directory)) {
                files.sorted(Comparator.reverseOrder())
                        .forEach(file -> file.toFile().deleteOnExit());
            }
        }
    }

    /** Sends requests, one of them malformed, a reload signal and management commands. */
    private static void exerciseScheduler(int clientPort, int managementPort) throws IOException {
        for (int i = 0; i < REQUEST_COUNT; i++) {
            String answer = exchange(clientPort, REQUEST.formatted(i).replace("\n", "\r\n"));
            if (!answer.startsWith("HTTP/1.1 200")) {
                throw new IOException(
                        "the rehearsal was not served: " + answer.lines().findFirst().orElse(""));
            }
        }
        exchange(clientPort, "nonsense\r\n\r\n");
        Signal.raise(new Signal("HUP"));
        for (String command : List.of("READY", "STATS", "nonsense")) {
            exchange(managementPort, command + "\n");
        }
    }

    private static ServerSocket listenOnLoopback() throws IOException {
        return new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = listenOnLoopback()) {
            return socket.getLocalPort();
        }
    }

    /**
     * Answers every request with these lines, as a worker does, or as discovery with an empty list
     * of changes.
     */
    private static void serve(ServerSocket server, String lines) {
        Thread thread =
                new Thread(
                        () -> {
                            while (!server.isClosed()) {
                                try (Socket peer = server.accept()) {
                                    answer(peer, lines);
                                } catch (IOException e) {
                                    // accept the next connection, unless the rehearsal has ended
                                }
                            }
                        },
                        "rehearsal");
        thread.setDaemon(true);
        thread.start();
    }

    private static void answer(Socket peer, String lines) throws IOException {
        byte[] bytes = new byte[4096];
        String request =
                new String(
                        bytes,
                        0,
                        Math.max(0, peer.getInputStream().read(bytes)),
                        StandardCharsets.UTF_8);
        int idStart = request.indexOf(ID_HEADER);
        String id =
                idStart < 0
                        ? ""
                        : request.substring(
                                idStart + ID_HEADER.length(), request.indexOf('\r', idStart));
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

    private static String exchange(int port, String text) throws IOException {
        try (Socket client = new Socket()) {
            client.connect(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), port), TIMEOUT_MS);
            client.setSoTimeout(TIMEOUT_MS);
            client.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            return new String(client.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
