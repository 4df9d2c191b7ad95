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

/** The console as an operator uses it, against a running scheduler. */
class ConsoleTest {
    @TempDir Path dir;
    private final int port = Program.freePort();
    private final int console = Program.freePort();
    private final int mgmt = Program.freePort();

    private String ask(String... command) throws IOException, InterruptedException {
        String[] arguments = new String[command.length + 2];
        arguments[0] = "console";
        arguments[1] = "127.0.0.1:" + console;
        System.arraycopy(command, 0, arguments, 2, command.length);
        try (Program program = new Program(null, arguments)) {
            program.exit();
            return program.said();
        }
    }

    private String call(String line) throws IOException {
        try (Peer caller = Peer.connect(mgmt).send(line + "\n")) {
            return caller.line();
        }
    }

    @Test
    void anOperatorSeesHowThingsStandAndDrainsAWorker() throws Exception {
        String file =
                FaktoryServer.settings(
                        port,
                        "memory",
                        "127.0.0.1:7420",
                        "127.0.0.1:" + console,
                        "mgmt = \"\"",
                        "mgmt = \"127.0.0.1:" + mgmt + "\"",
                        "cold_share = 1.0",
                        "cold_share = 0.9");
        try (Program program =
                        new Program(null, "serve", Program.file(dir, file).toString())
                                .awaitWord("taken up from the store");
                FaktoryPeer worker = new FaktoryPeer(port, "w1", "");
                FaktoryPeer producer = new FaktoryPeer(port, "", "")) {
            producer.push("job-00001", "apply-submit", 30, "");
            assertEquals("job-00001", worker.fetch());
            assertTrue(ask("workers").matches("(?s)worker .*w1 +cold +0 +0 +1 .*"), ask("workers"));
            assertTrue(ask("pools").contains("apply-submit"));
            assertTrue(ask("queues").matches("(?s).*apply-submit +1 +0 +[0-9]+.*"), ask("queues"));
            assertTrue(ask("counters").matches("(?s).*queries_taken +1\n.*"), ask("counters"));
            assertTrue(
                    ask("waits")
                            .matches("(?s)tasks .*\n[0-9]+ +[0-9.]+ +[0-9.]+ +[0-9.]+ +[0-9.]+\n"),
                    ask("waits"));
            try (Peer slow = Peer.connect(port).send("HELLO {\"v\":2,")) {
                assertTrue(
                        ask("slow")
                                .matches(
                                        "(?s)peer .*127.0.0.1:[0-9]+ +sends a command +[0-9]+"
                                                + " +[0-9]+ +[0-9.]+\n"),
                        ask("slow"));
            }
            assertEquals("serving\n", ask("phase"));
            assertEquals("YES serving", call("READY"));
            assertEquals(
                    "router.success.status-read:0|c",
                    call("STATS"),
                    "the same figures as the console's");
            assertTrue(
                    ask("stats").matches("(?s).*dispatches +1\n.*concurrent +1\n.*targets +1\n.*"),
                    ask("stats"));
            assertTrue(
                    call("DRAIN").startsWith("NO "),
                    "a producer has no word that sends it elsewhere");
            assertEquals("no such worker: w9\n", ask("disable", "w9"));
            assertEquals("w1 gets nothing new\n", ask("disable", "w1"));
            assertTrue(ask("jump").startsWith("unknown command: jump"));
            assertEquals("+OK", worker.ack("job-00001"), "what it has it may finish");
            assertEquals("+OK", producer.push("job-00002", "status-read", 3, ""));
            assertNull(worker.fetch());
            assertEquals("{\"state\":\"quiet\"}", worker.call("BEAT {\"wid\":\"w1\"}"));
        }
        assertTrue(
                ask("phase").startsWith("damsonslip: console: nothing answers"),
                "a plain word where there is nobody");
    }
}
