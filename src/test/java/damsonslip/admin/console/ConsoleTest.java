package damsonslip.admin.console;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.FaktoryPeer;
import damsonslip.testkit.FaktoryServer;
import damsonslip.testkit.Peer;
import damsonslip.testkit.Program;
import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs console commands against a running scheduler, as an operator does. */
class ConsoleTest {
    @TempDir Path dir;
    private final int port = Program.freePort();
    private final int consolePort = Program.freePort();
    private final int managementPort = Program.freePort();

    private String runCommand(String... command) throws IOException, InterruptedException {
        String[] arguments = new String[command.length + 2];
        arguments[0] = "console";
        arguments[1] = "127.0.0.1:" + consolePort;
        System.arraycopy(command, 0, arguments, 2, command.length);
        try (Program program = new Program(null, arguments)) {
            program.exit();
            return program.output();
        }
    }

    private String sendToManagement(String line) throws IOException {
        try (Peer connection = Peer.connect(managementPort).send(line + "\n")) {
            return connection.line();
        }
    }

    @Test
    void showsStateAndDisablesWorker() throws Exception {
        String file =
                FaktoryServer.settings(
                        port,
                        "memory",
                        "127.0.0.1:7420",
                        "127.0.0.1:" + consolePort,
                        "mgmt = \"\"",
                        "mgmt = \"127.0.0.1:" + managementPort + "\"",
                        "cold_share = 1.0",
                        "cold_share = 0.9");
        try (Program program =
                        new Program(null, "serve", Program.file(dir, file).toString())
                                .awaitOutput("taken up from the store");
                FaktoryPeer worker = new FaktoryPeer(port, "w1", "");
                FaktoryPeer producer = new FaktoryPeer(port, "", "")) {
            producer.push("job-00001", "apply-submit", 30, "");
            assertEquals("job-00001", worker.fetch());
            assertTrue(
                    runCommand("workers").matches("(?s)worker .*w1 +cold +0 +0 +1 .*"),
                    runCommand("workers"));
            assertTrue(runCommand("pools").contains("apply-submit"));
            assertTrue(
                    runCommand("queues").matches("(?s).*apply-submit +1 +0 +[0-9]+.*"),
                    runCommand("queues"));
            assertTrue(
                    runCommand("counters").matches("(?s).*queries_taken +1\n.*"),
                    runCommand("counters"));
            assertTrue(
                    runCommand("waits")
                            .matches("(?s)tasks .*\n[0-9]+ +[0-9.]+ +[0-9.]+ +[0-9.]+ +[0-9.]+\n"),
                    runCommand("waits"));
            try (Peer slow = Peer.connect(port).send("HELLO {\"v\":2,")) {
                assertTrue(
                        runCommand("slow")
                                .matches(
                                        "(?s)peer .*127.0.0.1:[0-9]+ +sends a command +[0-9]+"
                                                + " +[0-9]+ +[0-9.]+\n"),
                        runCommand("slow"));
            }
            assertEquals("serving\n", runCommand("phase"));
            assertEquals("YES serving", sendToManagement("READY"));
            assertEquals(
                    "router.success.status-read:0|c",
                    sendToManagement("STATS"),
                    "the same metrics as on the console");
            assertTrue(
                    runCommand("stats")
                            .matches("(?s).*dispatches +1\n.*concurrent +1\n.*targets +1\n.*"),
                    runCommand("stats"));
            assertTrue(
                    sendToManagement("DRAIN").startsWith("NO "),
                    "the Faktory protocol cannot redirect producers");
            assertEquals("no such worker: w9\n", runCommand("disable", "w9"));
            assertEquals("w1 gets nothing new\n", runCommand("disable", "w1"));
            assertTrue(runCommand("jump").startsWith("unknown command: jump"));
            assertEquals("+OK", worker.ack("job-00001"), "a disabled worker may finish its job");
            assertEquals("+OK", producer.push("job-00002", "status-read", 3, ""));
            assertNull(worker.fetch());
            assertEquals("{\"state\":\"quiet\"}", worker.call("BEAT {\"wid\":\"w1\"}"));
        }
        assertTrue(
                runCommand("phase").startsWith("damsonslip: console: nothing answers"),
                "one line if no scheduler listens");
    }
}
