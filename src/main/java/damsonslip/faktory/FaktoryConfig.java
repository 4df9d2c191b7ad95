package damsonslip.faktory;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import damsonslip.config.ConfigurationException;
import damsonslip.config.SiteSettings;
import damsonslip.faktory.jobs.Glob;
import damsonslip.faktory.jobs.JobTable;
import damsonslip.faktory.routing.Routes;
import damsonslip.transport.datarate.MinimumDataRate;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The operator's file.
 *
 * @param name the scheduler's name, under which the store keeps what it holds
 * @param listen where producers and workers connect
 * @param password what they have to know, or empty
 * @param store {@code redis://host:port}, or {@code memory}
 * @param storePassword the store's password, or empty
 * @param console where the console connects, or empty
 * @param mgmt where the operators' tools call, or empty
 * @param maxConnections how many connections it holds at the most
 * @param maxLineBytes the longest line that a peer may send, in bytes
 * @param minReservationS a job's shorter {@code reserve_for} is raised to this, in seconds
 * @param fairQueueOrder whether a FETCH is served from the queue served longest ago, not in its own
 *     order
 * @param jobLimits how much may wait
 * @param minimumDataRate how fast peers have to send and read at the least
 * @param routes which class a job belongs to
 * @param site classes, limits and the figures of the rules
 */
public record FaktoryConfig(
        String name,
        String listen,
        String password,
        String store,
        String storePassword,
        String console,
        String mgmt,
        int maxConnections,
        int maxLineBytes,
        int minReservationS,
        boolean fairQueueOrder,
        JobTable.Limits jobLimits,
        MinimumDataRate.Limits minimumDataRate,
        Routes routes,
        SiteSettings site) {
    private static final int LINKS = 800;

    /** A thousand jobs of a kilobyte each, as the official clients push them in bulk. */
    private static final int LONGEST_LINE = 1024 * 1024;

    /** The protocol's own least reservation. */
    private static final int LEAST_RESERVE_S = 60;

    private static final int WAITING = 200_000;

    /**
     * Well-known servers give a request's head 10 to 20 s at first, and 500 bytes for each further
     * second.
     */
    private static final int PEER_GRACE_S = 10;

    private static final int PEER_PAUSE_S = 20;
    private static final int PEER_RATE = 500;

    /** The protocol's own figures for the dead: so many, and half a year. */
    private static final int DEAD = 10_000;

    private static final int DEAD_DAYS = 180;

    public static FaktoryConfig read(String file) throws ConfigurationException {
        try {
            JsonNode root = new TomlMapper().readTree(Files.readString(Path.of(file)));
            String store = text(root, "store");
            if (!store.equals("memory") && !store.startsWith("redis://")) {
                throw new ConfigurationException(
                        "config: store: neither memory nor redis://host:port: " + store);
            }
            SiteSettings site = SiteSettings.read(root.path("settings"));
            JsonNode jobs = root.path("jobs");
            int waiting = whole(jobs, "waiting", WAITING, 1);
            JobTable.Limits limits =
                    new JobTable.Limits(
                            waiting,
                            whole(jobs, "per_queue", waiting, 1),
                            whole(jobs, "dead", DEAD, 0),
                            TimeUnit.DAYS.toMillis(whole(jobs, "dead_days", DEAD_DAYS, 0)));
            return new FaktoryConfig(
                    text(root, "name"),
                    text(root, "listen"),
                    root.path("password").asText(""),
                    store,
                    root.path("store_password").asText(""),
                    root.path("console").asText(""),
                    root.path("mgmt").asText(""),
                    whole(root, "links", LINKS, 1),
                    whole(root, "longest_line", LONGEST_LINE, 1024),
                    whole(jobs, "least_reserve_s", LEAST_RESERVE_S, 1),
                    fairQueueOrder(jobs),
                    limits,
                    minimumDataRate(root),
                    routes(root, jobs, site),
                    site);
        } catch (JsonProcessingException e) {
            throw new ConfigurationException(
                    "config: "
                            + file
                            + ": not TOML: "
                            + e.getOriginalMessage().lines().findFirst().orElse(""));
        } catch (IOException | InvalidPathException e) {
            throw new ConfigurationException("config: " + file + ": cannot be read");
        }
    }

    private static MinimumDataRate.Limits minimumDataRate(JsonNode root)
            throws ConfigurationException {
        JsonNode peers = root.path("peers");
        int graceS = whole(peers, "grace_s", PEER_GRACE_S, 1);
        return new MinimumDataRate.Limits(
                TimeUnit.SECONDS.toMicros(graceS),
                TimeUnit.SECONDS.toMicros(
                        whole(peers, "longest_pause_s", Math.max(graceS, PEER_PAUSE_S), graceS)),
                whole(peers, "least_bytes_per_s", PEER_RATE, 1));
    }

    private static boolean fairQueueOrder(JsonNode jobs) throws ConfigurationException {
        String order = jobs.path("queue_order").asText("strict");
        if (!order.equals("strict") && !order.equals("fair")) {
            throw new ConfigurationException(
                    "config: queue_order: neither strict nor fair: " + order);
        }
        return order.equals("fair");
    }

    private static Routes routes(JsonNode root, JsonNode jobs, SiteSettings site)
            throws ConfigurationException {
        List<Routes.Route> routes = new ArrayList<>();
        for (JsonNode route : root.path("route")) {
            routes.add(
                    new Routes.Route(
                            new Glob(route.path("queue").asText("*")),
                            new Glob(route.path("jobtype").asText("*")),
                            jobClass("route: class", text(route, "class"), site)));
        }
        String rest = jobs.path("default_class").asText("");
        return new Routes(
                List.copyOf(routes),
                rest.isEmpty() ? -1 : jobClass("jobs: default_class", rest, site),
                site.classNames());
    }

    private static int jobClass(String where, String name, SiteSettings site)
            throws ConfigurationException {
        int index = site.classNames().indexOf(name);
        if (index < 0) {
            throw new ConfigurationException(
                    "config: " + where + ": no class of this name: " + name);
        }
        return index;
    }

    private static int whole(JsonNode node, String name, int fallback, int least)
            throws ConfigurationException {
        JsonNode value = node.path(name);
        if (value.isMissingNode()) {
            return fallback;
        }
        if (!value.isIntegralNumber() || !value.canConvertToInt() || value.intValue() < least) {
            throw new ConfigurationException(
                    "config: " + name + ": not a whole number of " + least + " or more: " + value);
        }
        return value.intValue();
    }

    private static String text(JsonNode root, String name) throws ConfigurationException {
        String value = root.path(name).asText("");
        if (value.isBlank()) {
            throw new ConfigurationException("config: " + name + " is missing");
        }
        return value;
    }
}
