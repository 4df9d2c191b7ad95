package damsonslip.compatibility;

import static org.junit.jupiter.api.Assertions.assertEquals;

import damsonslip.testkit.Peer;
import damsonslip.testkit.Program;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * What the program tells operators: on the management port, on the console, and on its last line.
 */
class ManagementWireTest {
    @TempDir Path dir;
    private PlatformProgram platform;

    @BeforeEach
    void start() throws IOException {
        platform = new PlatformProgram(dir);
        platform.addWorker(
                        "a",
                        (peer, request) -> {
                            if (request.contains(": fail")) {
                                PlatformProgram.endingWith("failed", "").handle(peer, request);
                            } else {
                                PlatformProgram.succeeding().handle(peer, request);
                            }
                        })
                .start(UnaryOperator.identity())
                .awaitList();
        platform.send(request("fail", "submit"));
        Program.await(
                "the worker is used again after a failed job",
                () -> platform.sendConsoleCommand("workers").contains(" running "),
                platform.program());
        platform.send(request("q1", "read"));
        platform.send("GET /elsewhere HTTP/1.1\r\nHost: a\r\n\r\n");
    }

    @AfterEach
    void close() throws IOException {
        platform.close();
    }

    private static String request(String id, String jobClass) {
        return PlatformProgram.request(id, jobClass, "4000m", "");
    }

    @Test
    void answersEachCommand() throws Exception {
        Recording recording = new Recording("management-commands");
        for (String command :
                List.of(
                        "READY",
                        "STATS",
                        "DISABLE a",
                        "STATS",
                        "DISABLE a",
                        "ENABLE a",
                        " \tENABLE  a ",
                        "DISABLE nobody",
                        "ENABLE nobody",
                        "DISABLE",
                        "ENABLE a b",
                        "READY now",
                        "STATS a",
                        "DRAIN a",
                        "ready",
                        "JUMP",
                        "",
                        "x".repeat(600))) {
            String title = command.length() < 100 ? command : command.length() + " characters";
            recording.add(title, platform.sendManagementCommand(command));
        }
        recording.verify();
    }

    @Test
    void answersAnIncompleteCommand() throws Exception {
        try (Peer caller = Peer.connect(platform.management).send("REA")) {
            new Recording("management-incomplete").add("REA", RawText.untilClosed(caller)).verify();
        }
    }

    /** DRAIN asks clients to close their connections while the program keeps running. */
    @Test
    void drainsAndUndrains() throws Exception {
        Recording recording = new Recording("management-drain");
        try (Peer idle = Peer.connect(platform.port).send(request("q2", "read"));
                Peer partial = Peer.connect(platform.port)) {
            recording.add("before", RawText.httpMessage(idle));
            partial.send(request("q3", "read").replace("\r\n\r\nbody", "\r\n"));
            Thread.sleep(300);
            recording.add("DRAIN", platform.sendManagementCommand("DRAIN"));
            recording.add("DRAIN", platform.sendManagementCommand("DRAIN"));
            recording.add("READY", platform.sendManagementCommand("READY"));
            recording.add("phase", platform.sendConsoleCommand("phase"));
            recording.add("on a connection that is idle", RawText.untilClosed(idle));
            recording.add("rest of a request", RawText.lastHttpMessage(partial.send("\r\nbody")));
        }
        recording.add("a new request", platform.send(request("q4", "read")));
        recording.add("health", platform.send("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"));
        recording.add("UNDRAIN", platform.sendManagementCommand("UNDRAIN"));
        recording.add("READY", platform.sendManagementCommand("READY"));
        recording.add("a new request", platform.send(request("q5", "read")));
        recording.add("UNDRAIN", platform.sendManagementCommand("UNDRAIN")).verify();
    }

    @Test
    void answersTheConsolesCommands() throws Exception {
        Recording recording =
                new Recording("console-commands")
                        .masking("(?m)^( *[0-9]+|[0-9][0-9:.TZ-]+)(?= .*q1)", "<time>")
                        .masking("figure=[0-9]{5,}", "figure=<time>")
                        .masking(
                                "(?m)^(read|submit)( +[0-9]+ +[0-9]+) +[0-9]+$", "$1$2 <threshold>")
                        .masking("[0-9]+\\.[0-9]+", "<figure>")
                        .masking(" +(?=<figure>)", " ")
                        .masking("<figure> (read|submit|-)\n", "<figure> <pool>\n");
        for (String command :
                List.of(
                        "phase",
                        "counters",
                        "stats",
                        "queues",
                        "invariants",
                        "events q1",
                        "events nobody",
                        "slow",
                        "disable",
                        "enable",
                        "disable nobody",
                        "disable a",
                        "workers",
                        "enable a",
                        "enable a b",
                        "workers",
                        "help",
                        "jump",
                        "",
                        "PHASE",
                        "drain",
                        "phase",
                        "undrain")) {
            recording.add(command, platform.sendConsoleCommand(command));
        }
        recording.verify();
    }

    /** Compares the columns only: the figures in them are measured and differ between runs. */
    @Test
    void namesTheColumnsOfMeasuredFigures() throws Exception {
        Recording recording =
                new Recording("console-measured")
                        .masking("(?m)(?<= )[0-9.]+(?= |$)", "<figure>")
                        .masking("(?m)^[0-9]+", "<count>")
                        .masking(" +(?=<figure>)", " ");
        recording.add("waits", platform.sendConsoleCommand("waits"));
        recording.add("pools", platform.sendConsoleCommand("pools")).verify();
    }

    @Test
    void writesItsCountersOnItsLastLine() throws Exception {
        platform.program().terminate();
        assertEquals(143, platform.program().exit());
        String said = platform.program().output();
        String last = said.substring(said.lastIndexOf('\n', said.length() - 2) + 1);
        new Recording("last-line").add("the last line", last).verify();
    }

    @Test
    void printsTheConsolesAnswers() throws Exception {
        int unusedPort = Program.freePort();
        Recording recording =
                new Recording("console-program").replacing("127.0.0.1:" + unusedPort, "<nobody>");
        for (String[] arguments :
                new String[][] {
                    {"console", "127.0.0.1:" + platform.console, "phase"},
                    {"console", "127.0.0.1:" + platform.console, "disable", "nobody"},
                    {"console", "127.0.0.1:" + unusedPort, "phase"},
                    {"console", "nowhere", "phase"}
                }) {
            try (Program console = new Program(null, arguments)) {
                recording.add(arguments[2], "exit " + console.exit() + "\n" + console.output());
            }
        }
        recording.verify();
    }
}
