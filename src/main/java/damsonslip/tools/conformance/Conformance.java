package damsonslip.tools.conformance;

import damsonslip.config.ConfigurationException;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** The command {@code conformance}: runs the cases and prints a line for each, and a table. */
public final class Conformance {
    private static final String USAGE =
            "conformance HOST:PORT [--password P] [--flush] [--only GROUP]  (--flush also plays"
                    + " what empties the server)";

    private record Result(Cases.Case testCase, String fault, long ms) {}

    private Conformance() {}

    /**
     * Runs the cases against the server that the arguments name and returns the exit code: 0, or 1
     * if a case failed.
     */
    public static int run(List<String> arguments, PrintStream out) throws ConfigurationException {
        String address = "";
        String password = "";
        String only = "";
        boolean flush = false;
        for (int i = 0; i < arguments.size(); i++) {
            String argument = arguments.get(i);
            boolean last = i + 1 == arguments.size();
            if (argument.equals("--flush")) {
                flush = true;
            } else if (argument.equals("--password") && !last) {
                password = arguments.get(++i);
            } else if (argument.equals("--only") && !last) {
                only = arguments.get(++i);
            } else if (!argument.startsWith("--") && address.isEmpty()) {
                address = argument;
            } else {
                throw new ConfigurationException(USAGE);
            }
        }
        return new Run(server(address), password, flush, only, out).runAll();
    }

    private static InetSocketAddress server(String address) throws ConfigurationException {
        int colon = address.lastIndexOf(':');
        try {
            if (colon <= 0) {
                throw new ConfigurationException(USAGE);
            }
            return new InetSocketAddress(
                    address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            throw new ConfigurationException(USAGE);
        }
    }

    /** One run of the cases. */
    private record Run(
            InetSocketAddress server,
            String password,
            boolean flush,
            String only,
            PrintStream out) {
        /**
         * Groups whose cases run in parallel. The others check the sizes of sets that all clients
         * share, so they run one at a time.
         */
        private static final List<String> PARALLEL_GROUPS =
                List.of("handshake", "fetch", "track", "unique", "batch", "queue");

        private static final int PARALLEL_CASES = 4;

        int runAll() throws ConfigurationException {
            List<Result> results = new ArrayList<>();
            String wid = "conf-" + Stage.id();
            List<Cases.Case> chosen =
                    Cases.all().stream()
                            .filter(each -> flush || !each.destructive())
                            .filter(each -> only.isEmpty() || each.group().equals(only))
                            .toList();
            try (Stage registration = new Stage(server, password, wid)) {
                registration.worker(); // keeps the worker id registered between cases
                runInParallel(
                        chosen.stream()
                                .filter(each -> PARALLEL_GROUPS.contains(each.group()))
                                .toList(),
                        wid,
                        results);
                for (Cases.Case each : chosen) {
                    if (!PARALLEL_GROUPS.contains(each.group())) {
                        results.add(print(run(each, wid)));
                    }
                }
            } catch (IOException | Stage.Fault e) {
                throw new ConfigurationException(
                        "conformance: no server of the protocol on "
                                + server.getHostString()
                                + ":"
                                + server.getPort()
                                + ": "
                                + e.getMessage());
            }
            return table(results);
        }

        private void runInParallel(List<Cases.Case> cases, String wid, List<Result> results) {
            ExecutorService threads = Executors.newFixedThreadPool(PARALLEL_CASES);
            try {
                List<Future<Result>> pending = new ArrayList<>();
                cases.forEach(each -> pending.add(threads.submit(() -> run(each, wid))));
                for (Future<Result> each : pending) {
                    results.add(print(each.get()));
                }
            } catch (InterruptedException | ExecutionException e) {
                throw new IllegalStateException("a case could not be run", e);
            } finally {
                threads.shutdownNow();
            }
        }

        private Result run(Cases.Case each, String wid) {
            long from = System.nanoTime();
            String fault = null;
            try (Stage stage = new Stage(server, password, wid)) {
                each.script().run(stage);
            } catch (Stage.Fault e) {
                fault = e.getMessage();
            } catch (IOException | RuntimeException e) {
                fault = e.getClass().getSimpleName() + ": " + e.getMessage();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                fault = "interrupted";
            }
            return new Result(each, fault, (System.nanoTime() - from) / 1_000_000);
        }

        private Result print(Result result) {
            out.println(
                    (result.fault() == null ? "ok     " : "FAULT  ")
                            + result.testCase().group()
                            + ": "
                            + result.testCase().name()
                            + (result.fault() == null ? "" : " -- " + result.fault()));
            return result;
        }

        private int table(List<Result> results) {
            Map<String, int[]> groups = new LinkedHashMap<>();
            for (Result result : results) {
                int[] sums = groups.computeIfAbsent(result.testCase().group(), group -> new int[3]);
                sums[0]++;
                sums[1] += result.fault() == null ? 0 : 1;
                sums[2] += (int) result.ms();
            }
            out.printf(Locale.ROOT, "%n%-14s %6s %7s %8s%n", "group", "cases", "faults", "ms");
            groups.forEach(
                    (group, sums) ->
                            out.printf(
                                    Locale.ROOT,
                                    "%-14s %6d %7d %8d%n",
                                    group,
                                    sums[0],
                                    sums[1],
                                    sums[2]));
            long faults = results.stream().filter(result -> result.fault() != null).count();
            out.printf(Locale.ROOT, "%-14s %6d %7d%n", "all", results.size(), faults);
            return faults == 0 ? 0 : 1;
        }
    }
}
