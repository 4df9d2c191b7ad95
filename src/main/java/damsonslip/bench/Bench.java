package damsonslip.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import damsonslip.settings.BadInput;
import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
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

/** The command {@code bench}: pushes so many jobs, then fetches and acknowledges them all, and prints what that took. */
public final class Bench {
    private static final String USAGE = "bench HOST:PORT [--connections N] [--jobs N] [--bulk N] [--waiting]"
        + "  (loopback only; --waiting only pushes, and leaves the jobs there)";
    private static final int MOST_CONNECTIONS = 500;
    private static final int MOST_JOBS = 2_000_000;
    private static final long LONGEST_NS = 120_000_000_000L;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final InetSocketAddress server;
    private final int connections;
    private final int jobs;
    private final int bulk;
    private final boolean waiting;
    private final PrintStream out;
    private final String queue = "bench-" + UUID.randomUUID().toString().substring(0, 8);

    private Bench(InetSocketAddress server, int connections, int jobs, int bulk, boolean waiting, PrintStream out) {
        this.server = server;
        this.connections = connections;
        this.jobs = jobs;
        this.bulk = bulk;
        this.waiting = waiting;
        this.out = out;
    }

    /** Runs by these arguments; gives the exit code. */
    public static int run(List<String> arguments, PrintStream out) throws BadInput, IOException {
        String address = "";
        int connections = 10;
        int jobs = 10_000;
        int bulk = 1;
        boolean waiting = false;
        for (int i = 0; i < arguments.size(); i++) {
            String argument = arguments.get(i);
            switch (argument) {
                case "--connections" -> connections = whole(arguments, ++i, MOST_CONNECTIONS);
                case "--jobs" -> jobs = whole(arguments, ++i, MOST_JOBS);
                case "--bulk" -> bulk = whole(arguments, ++i, 5_000);
                case "--waiting" -> waiting = true;
                default -> address = argument;
            }
        }
        return new Bench(server(address), connections, jobs, bulk, waiting, out).run();
    }

    private static int whole(List<String> arguments, int at, int most) throws BadInput {
        try {
            int value = Integer.parseInt(arguments.get(at));
            if (value >= 1 && value <= most) {
                return value;
            }
        } catch (NumberFormatException | IndexOutOfBoundsException e) {
            throw new BadInput(USAGE);
        }
        throw new BadInput("bench: from 1 to " + most + ": " + arguments.get(at));
    }

    /** Guards others' servers: this load goes to the machine that it runs on. */
    private static InetSocketAddress server(String address) throws BadInput {
        int colon = address.lastIndexOf(':');
        try {
            InetAddress host = InetAddress.getByName(colon < 0 ? "" : address.substring(0, colon));
            if (colon <= 0 || !host.isLoopbackAddress()) {
                throw new BadInput(USAGE);
            }
            return new InetSocketAddress(host, Integer.parseInt(address.substring(colon + 1)));
        } catch (UnknownHostException | IllegalArgumentException e) {
            throw new BadInput(USAGE);
        }
    }

    private int run() throws IOException {
        Histogram push = new ConcurrentHistogram(3);
        Histogram fetch = new ConcurrentHistogram(3);
        Histogram ack = new ConcurrentHistogram(3);
        AtomicInteger pushed = new AtomicInteger();
        long from = System.nanoTime();
        together(number -> push(pushed, push));
        double pushS = (System.nanoTime() - from) / 1e9;
        out.printf(Locale.ROOT, "%d connections, %d jobs, %d in a push%n", connections, jobs, bulk);
        out.printf(Locale.ROOT, "%-6s %9s %9s %9s %9s %9s%n", "", "jobs/s", "p50 ms", "p99 ms", "p99.9 ms", "worst ms");
        row("push", jobs / pushS, push);
        if (!waiting) {
            AtomicInteger done = new AtomicInteger();
            from = System.nanoTime();
            together(number -> work(number, done, fetch, ack));
            double workS = (System.nanoTime() - from) / 1e9;
            row("fetch", done.get() / workS, fetch);
            row("ack", done.get() / workS, ack);
            out.printf(Locale.ROOT, "through push, fetch and ack: %.0f jobs a second%n", jobs / (pushS + workS));
        }
        try (Wire wire = new Wire("")) {
            JsonNode info = JSON.readTree(wire.call("INFO"));
            out.printf(Locale.ROOT, "server: %d MB used, %d jobs in queues%n",
                info.path("server").path("used_memory_mb").asInt(), info.path("faktory").path("total_enqueued").asInt());
        }
        return 0;
    }

    private void row(String what, double rate, Histogram times) {
        out.printf(Locale.ROOT, "%-6s %9.0f %9.2f %9.2f %9.2f %9.2f%n", what, rate,
            times.getValueAtPercentile(50) / 1e6, times.getValueAtPercentile(99) / 1e6,
            times.getValueAtPercentile(99.9) / 1e6, times.getMaxValue() / 1e6);
    }

    private interface Part {
        void run(int number) throws IOException;
    }

    private void together(Part part) throws IOException {
        ExecutorService threads = Executors.newFixedThreadPool(connections);
        try {
            List<Future<?>> parts = new ArrayList<>();
            for (int i = 0; i < connections; i++) {
                int number = i;
                parts.add(threads.submit(() -> {
                    part.run(number);
                    return null;
                }));
            }
            for (Future<?> each : parts) {
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
        try (Wire wire = new Wire("")) {
            for (int at = pushed.getAndAdd(bulk); at < jobs; at = pushed.getAndAdd(bulk)) {
                StringBuilder line = new StringBuilder(bulk == 1 ? "PUSH " : "PUSHB [");
                for (int i = at; i < Math.min(jobs, at + bulk); i++) {
                    line.append(i == at ? "" : ",").append("{\"jid\":\"").append(queue).append('-').append(i)
                        .append("\",\"jobtype\":\"Bench\",\"queue\":\"").append(queue)
                        .append("\",\"args\":[").append(i).append(",\"some text of a usual length\"]}");
                }
                String told = timed(wire, line.append(bulk == 1 ? "" : "]").toString(), times);
                if (!"OK".equals(told) && !"{}".equals(told)) {
                    throw new IOException("a push was answered " + told);
                }
            }
        }
    }

    private void work(int number, AtomicInteger done, Histogram fetch, Histogram ack) throws IOException {
        long end = System.nanoTime() + LONGEST_NS;
        // ten connections a worker, as worker processes have them
        try (Wire wire = new Wire(queue + "-w" + number / 10)) {
            while (done.get() < jobs && System.nanoTime() < end) {
                long from = System.nanoTime();
                String job = wire.call("FETCH " + queue);
                if (job == null) {
                    continue;
                }
                fetch.recordValue(System.nanoTime() - from);
                String jid = JSON.readTree(job).path("jid").asText();
                timed(wire, "ACK {\"jid\":\"" + jid + "\"}", ack);
                done.incrementAndGet();
            }
        }
    }

    private static String timed(Wire wire, String line, Histogram times) throws IOException {
        long from = System.nanoTime();
        String told = wire.call(line);
        times.recordValue(System.nanoTime() - from);
        return told;
    }

    /** A connection without a password. */
    private final class Wire implements Closeable {
        private final Socket socket = new Socket();
        private final InputStream in;

        Wire(String wid) throws IOException {
            socket.connect(server, 5_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(30_000);
            in = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
            read();
            String told = call("HELLO {\"v\":2,\"hostname\":\"bench\",\"pid\":1,\"wid\":\"" + wid + "\"}");
            if (!"OK".equals(told)) {
                throw new IOException("HELLO was answered " + told);
            }
        }

        String call(String line) throws IOException {
            socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.UTF_8));
            return read();
        }

        private String read() throws IOException {
            String line = line();
            if (!line.startsWith("$")) {
                return line.substring(1);
            }
            int length = Integer.parseInt(line.substring(1));
            if (length < 0) {
                return null;
            }
            String text = new String(in.readNBytes(length), StandardCharsets.UTF_8);
            line();
            return text;
        }

        private String line() throws IOException {
            StringBuilder line = new StringBuilder();
            for (int b = in.read(); b != '\n'; b = in.read()) {
                if (b < 0) {
                    throw new EOFException("the server closed the connection");
                }
                line.append((char) b);
            }
            line.setLength(Math.max(0, line.length() - 1));
            return line.toString();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
