package damsonslip.tools.load;

import com.fasterxml.jackson.databind.JsonNode;
import damsonslip.config.ConfigurationException;
import damsonslip.tools.faktoryclient.FaktoryClient;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.UUID;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * The command {@code bench}: pushes a number of jobs, then fetches and acknowledges them all, and
 * prints throughput and latency.
 */
public final class Bench {
    private static final String USAGE =
            "bench HOST:PORT [--connections N] [--jobs N] [--bulk N] [--waiting]"
                    + "  (loopback only; --waiting only pushes, and leaves the jobs there)";
    private static final int MAX_CONNECTIONS = 500;
    private static final int MAX_JOBS = 2_000_000;

    /** Limit on fetching, so that lost jobs cannot keep the command running. */
    private static final long MAX_FETCH_DURATION_NS = 120_000_000_000L;

    private static final int CONNECT_TIMEOUT_MS = 5_000;

    /** A FETCH on a loaded server may take several seconds. */
    private static final int READ_TIMEOUT_MS = 30_000;

    private final InetSocketAddress server;
    private final int connections;
    private final int jobs;
    private final int bulk;
    private final boolean pushOnly;
    private final PrintStream out;
    private final String queue = "bench-" + UUID.randomUUID().toString().substring(0, 8);

    private Bench(
            InetSocketAddress server,
            int connections,
            int jobs,
            int bulk,
            boolean pushOnly,
            PrintStream out) {
        this.server = server;
        this.connections = connections;
        this.jobs = jobs;
        this.bulk = bulk;
        this.pushOnly = pushOnly;
        this.out = out;
    }

    /** Runs the command with these arguments and returns its exit code. */
    public static int run(List<String> arguments, PrintStream out)
            throws ConfigurationException, IOException {
        String address = "";
        int connections = 10;
        int jobs = 10_000;
        int bulk = 1;
        boolean pushOnly = false;
        for (int i = 0; i < arguments.size(); i++) {
            String argument = arguments.get(i);
            switch (argument) {
                case "--connections" -> connections = parseCount(arguments, ++i, MAX_CONNECTIONS);
                case "--jobs" -> jobs = parseCount(arguments, ++i, MAX_JOBS);
                case "--bulk" -> bulk = parseCount(arguments, ++i, 5_000);
                case "--waiting" -> pushOnly = true;
                default -> address = argument;
            }
        }
        return new Bench(parseServer(address), connections, jobs, bulk, pushOnly, out).run();
    }

    private static int parseCount(List<String> arguments, int at, int max)
            throws ConfigurationException {
        try {
            int value = Integer.parseInt(arguments.get(at));
            if (value >= 1 && value <= max) {
                return value;
            }
        } catch (NumberFormatException | IndexOutOfBoundsException e) {
            throw new ConfigurationException(USAGE);
        }
        throw new ConfigurationException("bench: from 1 to " + max + ": " + arguments.get(at));
    }

    /** Accepts loopback addresses only, so that the load cannot reach other machines' servers. */
    private static InetSocketAddress parseServer(String address) throws ConfigurationException {
        int colon = address.lastIndexOf(':');
        try {
            InetAddress host = InetAddress.getByName(colon < 0 ? "" : address.substring(0, colon));
            if (colon <= 0 || !host.isLoopbackAddress()) {
                throw new ConfigurationException(USAGE);
            }
            return new InetSocketAddress(host, Integer.parseInt(address.substring(colon + 1)));
        } catch (UnknownHostException | IllegalArgumentException e) {
            throw new ConfigurationException(USAGE);
        }
    }

    private int run() throws IOException {
        Histogram push = new ConcurrentHistogram(3);
        Histogram fetch = new ConcurrentHistogram(3);
        Histogram ack = new ConcurrentHistogram(3);
        AtomicInteger pushed = new AtomicInteger();
        long startNs = System.nanoTime();
        runOnAllConnections(number -> push(pushed, push));
        double pushS = (System.nanoTime() - startNs) / 1e9;
        out.printf(Locale.ROOT, "%d connections, %d jobs, %d in a push%n", connections, jobs, bulk);
        out.printf(
                Locale.ROOT,
                "%-6s %9s %9s %9s %9s %9s%n",
                "",
                "jobs/s",
                "p50 ms",
                "p99 ms",
                "p99.9 ms",
                "worst ms");
        printRow("push", jobs / pushS, push);
        if (!pushOnly) {
            AtomicInteger done = new AtomicInteger();
            startNs = System.nanoTime();
            runOnAllConnections(number -> fetchAndAck(number, done, fetch, ack));
            double fetchAndAckS = (System.nanoTime() - startNs) / 1e9;
            printRow("fetch", done.get() / fetchAndAckS, fetch);
            printRow("ack", done.get() / fetchAndAckS, ack);
            out.printf(
                    Locale.ROOT,
                    "through push, fetch and ack: %.0f jobs a second%n",
                    jobs / (pushS + fetchAndAckS));
        }
        try (FaktoryClient client = connect("")) {
            JsonNode info = FaktoryClient.JSON.readTree(client.call("INFO").text());
            out.printf(
                    Locale.ROOT,
                    "server: %d MB used, %d jobs in queues%n",
                    info.path("server").path("used_memory_mb").asInt(),
                    info.path("faktory").path("total_enqueued").asInt());
        }
        return 0;
    }

    private void printRow(String what, double rate, Histogram times) {
        out.printf(
                Locale.ROOT,
                "%-6s %9.0f %9.2f %9.2f %9.2f %9.2f%n",
                what,
                rate,
                times.getValueAtPercentile(50) / 1e6,
                times.getValueAtPercentile(99) / 1e6,
                times.getValueAtPercentile(99.9) / 1e6,
                times.getMaxValue() / 1e6);
    }

    private interface ConnectionTask {
        void run(int number) throws IOException;
    }

    private void runOnAllConnections(ConnectionTask task) throws IOException {
        ExecutorService threads = Executors.newFixedThreadPool(connections);
        try {
            List<Future<?>> tasks = new ArrayList<>();
            for (int i = 0; i < connections; i++) {
                int number = i;
                tasks.add(
                        threads.submit(
                                () -> {
                                    task.run(number);
                                    return null;
                                }));
            }
            for (Future<?> each : tasks) {
                each.get();
            }
        } catch (ExecutionException e) {
            throw new IOException("bench: " + e.getCause().getMessage(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            threads.shutdownNow();
        }
    }

    private void push(AtomicInteger pushed, Histogram times) throws IOException {
        try (FaktoryClient client = connect("")) {
            for (int at = pushed.getAndAdd(bulk); at < jobs; at = pushed.getAndAdd(bulk)) {
                StringBuilder line = new StringBuilder(bulk == 1 ? "PUSH " : "PUSHB [");
                for (int i = at; i < Math.min(jobs, at + bulk); i++) {
                    line.append(i == at ? "" : ",")
                            .append("{\"jid\":\"")
                            .append(queue)
                            .append('-')
                            .append(i)
                            .append("\",\"jobtype\":\"Bench\",\"queue\":\"")
                            .append(queue)
                            .append("\",\"args\":[")
                            .append(i)
                            .append(",\"some text of a usual length\"]}");
                }
                String reply = timed(client, line.append(bulk == 1 ? "" : "]").toString(), times);
                if (!"OK".equals(reply) && !"{}".equals(reply)) {
                    throw new IOException("a push was answered " + reply);
                }
            }
        }
    }

    private void fetchAndAck(int number, AtomicInteger done, Histogram fetch, Histogram ack)
            throws IOException {
        long endNs = System.nanoTime() + MAX_FETCH_DURATION_NS;
        // ten connections for each worker ID, as real worker processes have
        try (FaktoryClient client = connect(queue + "-w" + number / 10)) {
            while (done.get() < jobs && System.nanoTime() < endNs) {
                long startNs = System.nanoTime();
                String job = client.call("FETCH " + queue).text();
                if (job == null) {
                    continue;
                }
                fetch.recordValue(System.nanoTime() - startNs);
                String jid = FaktoryClient.JSON.readTree(job).path("jid").asText();
                timed(client, "ACK {\"jid\":\"" + jid + "\"}", ack);
                done.incrementAndGet();
            }
        }
    }

    /** Connects to a server without a password; an empty {@code wid} makes a producer. */
    private FaktoryClient connect(String wid) throws IOException {
        FaktoryClient client =
                new FaktoryClient(server, "bench", CONNECT_TIMEOUT_MS, READ_TIMEOUT_MS);
        try {
            FaktoryClient.Reply reply = client.hello(wid, "");
            if (!reply.ok()) {
                throw new IOException("HELLO was answered " + reply.text());
            }
            return client;
        } catch (IOException e) {
            client.close();
            throw e;
        }
    }

    private static String timed(FaktoryClient client, String line, Histogram times)
            throws IOException {
        long startNs = System.nanoTime();
        String reply = client.call(line).text();
        times.recordValue(System.nanoTime() - startNs);
        return reply;
    }
}
