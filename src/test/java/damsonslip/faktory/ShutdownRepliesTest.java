package damsonslip.faktory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.FaktoryPeer;
import damsonslip.testkit.FaktoryServer;
import damsonslip.testkit.Peer;
import damsonslip.testkit.RedisStandIn.HeldReply;
import java.io.IOException;
import org.junit.jupiter.api.Test;

/** Guards against a command that was read and gets no reply because the process ends. */
class ShutdownRepliesTest extends FaktoryProgramFixture {
    private static final String JOB = "job-00001";
    private static final int SIGTERM_EXIT = 143;

    /**
     * Longer than the server accepts connections, after which it checks whether it may end, and
     * shorter than the store's timeout; if it is exceeded, the reply is that the store is down.
     */
    private static final long SHUTDOWN_MS = 400;

    ShutdownRepliesTest() {
        super(NO_PASSWORD);
    }

    /**
     * Sends a command; the store's reply to what it writes is held until the shutdown has begun.
     */
    private void assertRepliedInShutdown(FaktoryPeer sender, String command, String state)
            throws Exception {
        HeldReply held = redis.holdNext(words -> words.toString().contains(JOB));
        Peer connection = sender.peer().send(command + "\r\n");
        assertTrue(held.awaitExecution(5), "the store has executed the write");
        server.program().terminate();
        Thread.sleep(SHUTDOWN_MS);
        held.release();
        String reply = connection.line();
        assertEndsOnceClosed(connection);
        server.start();
        if (!reply.startsWith("-ERR")) {
            FaktoryServer.awaitState(producer(), JOB, state);
        }
    }

    private void assertEndsOnceClosed(Peer connection) throws IOException, InterruptedException {
        assertTrue(connection.ended(), "the connection is closed after the reply");
        connection.close();
        assertEquals(SIGTERM_EXIT, server.program().exit());
    }

    @Test
    void repliesToAckOfLastAwaitedJob() throws Exception {
        FaktoryPeer worker = peer("w1");
        producer().push(JOB, "apply-submit", 5, "");
        assertEquals(JOB, worker.fetch());
        assertRepliedInShutdown(worker, "ACK {\"jid\":\"" + JOB + "\"}", "success");
    }

    @Test
    void repliesToPushThatIsBeingStored() throws Exception {
        assertRepliedInShutdown(
                producer(),
                "PUSH {\"jid\":\"" + JOB + "\",\"jobtype\":\"t\",\"args\":[1]}",
                "enqueued");
    }

    @Test
    void repliesToPipelinedCommands() throws Exception {
        FaktoryPeer producer = producer();
        HeldReply held = redis.holdNext(words -> words.toString().contains(JOB));
        Peer connection =
                producer.peer()
                        .send(
                                "PUSH {\"jid\":\""
                                        + JOB
                                        + "\",\"jobtype\":\"t\",\"args\":[1]}\r\n"
                                        + "BATCH STATUS b-none\r\nHELLO {\"v\":2}\r\n");
        assertTrue(held.awaitExecution(5), "the store has executed the write");
        server.program().terminate();
        Thread.sleep(SHUTDOWN_MS);
        held.release();
        for (int command = 0; command < 3; command++) {
            assertNotNull(connection.line(), "a reply to command " + command);
        }
        assertEndsOnceClosed(connection);
    }

    @Test
    void repliesToFetchesThatWait() throws Exception {
        FaktoryPeer running = peer("w1");
        FaktoryPeer quiet = peer("w2");
        assertEquals("+OK", quiet.call("BEAT {\"wid\":\"w2\",\"current_state\":\"quiet\"}"));
        running.peer().send("FETCH default\r\n");
        quiet.peer().send("FETCH default\r\n");
        await("a FETCH has arrived", () -> producer().info() != null);
        server.program().terminate();
        assertEquals("$-1", running.peer().line());
        assertEquals("$-1", quiet.peer().line());
        assertTrue(running.peer().ended());
        assertTrue(quiet.peer().ended());
        running.close();
        quiet.close();
        assertEquals(SIGTERM_EXIT, server.program().exit());
    }

    /** A worker reports before a started server has recovered its jobs, and the server is ended. */
    @Test
    void repliesToReportsThatWaitForRecovery() throws Exception {
        FaktoryPeer worker = peer("w1");
        producer().push(JOB, "apply-submit", 5, "");
        assertEquals(JOB, worker.fetch());
        server.program().kill();
        server.program().exit();
        HeldReply held = redis.holdNext(words -> words.get(0).equalsIgnoreCase("SMEMBERS"));
        server.startRecovery();
        assertTrue(held.awaitExecution(5), "the recovery waits for the store");
        Peer connection = peer("w1").peer().send("ACK {\"jid\":\"" + JOB + "\"}\r\n");
        Thread.sleep(SHUTDOWN_MS);
        server.program().terminate();
        assertTrue(connection.line().startsWith("-ERR"), "it is to report again");
        assertTrue(connection.ended());
        held.release();
    }
}
