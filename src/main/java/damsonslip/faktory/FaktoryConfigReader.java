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

/** Reads a {@link FaktoryConfig} from the operator's TOML file. An instance reads one file. */
final class FaktoryConfigReader {
    private static final int DEFAULT_MAX_CONNECTIONS = 800;

    /** Allows a bulk push of a thousand jobs of one kilobyte each. */
    private static final int DEFAULT_MAX_LINE_BYTES = 1024 * 1024;

    private static final int MIN_MAX_LINE_BYTES = 1024;

    /** The default of Faktory's protocol. */
    private static final int DEFAULT_MIN_RESERVATION_S = 60;

    private static final int DEFAULT_MAX_WAITING = 200_000;

    /**
     * The defaults of the minimum data rate are those of common HTTP servers for request headers.
     */
    private static final int DEFAULT_GRACE_S = 10;

    private static final int DEFAULT_MAX_PAUSE_S = 20;
    private static final int DEFAULT_MIN_BYTES_PER_S = 500;

    /** Faktory's defaults for the dead set. */
    private static final int DEFAULT_MAX_DEAD = 10_000;

    private static final int DEFAULT_DEAD_DAYS = 180;

    private final String file;
    private JsonNode root;
    private JsonNode jobs;
    private SiteSettings site;

    FaktoryConfigReader(String file) {
        this.file = file;
    }

    FaktoryConfig read() throws ConfigurationException {
        try {
            root = new TomlMapper().readTree(Files.readString(Path.of(file)));
        } catch (JsonProcessingException e) {
            String reason = e.getOriginalMessage().lines().findFirst().orElse("");
            throw new ConfigurationException("config: " + file + ": not TOML: " + reason);
        } catch (IOException | InvalidPathException e) {
            throw new ConfigurationException("config: " + file + ": cannot be read");
        }
        return convert();
    }

    private FaktoryConfig convert() throws ConfigurationException {
        String store = store();
        site = SiteSettings.read(root.path("settings"));
        jobs = root.path("jobs");
        JobTable.Limits limits = jobLimits();
        return new FaktoryConfig(
                text(root, "name"),
                text(root, "listen"),
                root.path("password").asText(""),
                store,
                root.path("store_password").asText(""),
                root.path("console").asText(""),
                root.path("mgmt").asText(""),
                integer(root, "links", DEFAULT_MAX_CONNECTIONS, 1),
                integer(root, "longest_line", DEFAULT_MAX_LINE_BYTES, MIN_MAX_LINE_BYTES),
                integer(jobs, "least_reserve_s", DEFAULT_MIN_RESERVATION_S, 1),
                fairQueueOrder(),
                limits,
                minimumDataRate(),
                routes(),
                site);
    }

    private String store() throws ConfigurationException {
        String store = text(root, "store");
        if (!store.equals(FaktoryConfig.MEMORY_STORE) && !store.startsWith("redis://")) {
            throw new ConfigurationException(
                    "config: store: neither memory nor redis://host:port: " + store);
        }
        return store;
    }

    private JobTable.Limits jobLimits() throws ConfigurationException {
        int maxWaiting = integer(jobs, "waiting", DEFAULT_MAX_WAITING, 1);
        int maxPerQueue = integer(jobs, "per_queue", maxWaiting, 1);
        int maxDead = integer(jobs, "dead", DEFAULT_MAX_DEAD, 0);
        int deadDays = integer(jobs, "dead_days", DEFAULT_DEAD_DAYS, 0);
        return new JobTable.Limits(
                maxWaiting, maxPerQueue, maxDead, TimeUnit.DAYS.toMillis(deadDays));
    }

    private MinimumDataRate.Limits minimumDataRate() throws ConfigurationException {
        JsonNode peers = root.path("peers");
        int graceS = integer(peers, "grace_s", DEFAULT_GRACE_S, 1);
        return new MinimumDataRate.Limits(
                TimeUnit.SECONDS.toMicros(graceS),
                TimeUnit.SECONDS.toMicros(
                        integer(
                                peers,
                                "longest_pause_s",
                                Math.max(graceS, DEFAULT_MAX_PAUSE_S),
                                graceS)),
                integer(peers, "least_bytes_per_s", DEFAULT_MIN_BYTES_PER_S, 1));
    }

    private boolean fairQueueOrder() throws ConfigurationException {
        String order = jobs.path("queue_order").asText("strict");
        if (!order.equals("strict") && !order.equals("fair")) {
            throw new ConfigurationException(
                    "config: queue_order: neither strict nor fair: " + order);
        }
        return order.equals("fair");
    }

    private Routes routes() throws ConfigurationException {
        List<Routes.Route> routes = new ArrayList<>();
        for (JsonNode route : root.path("route")) {
            routes.add(
                    new Routes.Route(
                            new Glob(route.path("queue").asText("*")),
                            new Glob(route.path("jobtype").asText("*")),
                            jobClass("route: class", text(route, "class"))));
        }
        String defaultClass = jobs.path("default_class").asText("");
        int defaultIndex =
                defaultClass.isEmpty()
                        ? Routes.NO_CLASS
                        : jobClass("jobs: default_class", defaultClass);
        return new Routes(List.copyOf(routes), defaultIndex, site.classNames());
    }

    private int jobClass(String where, String name) throws ConfigurationException {
        int index = site.classNames().indexOf(name);
        if (index < 0) {
            throw new ConfigurationException(
                    "config: " + where + ": no class of this name: " + name);
        }
        return index;
    }

    private static int integer(JsonNode node, String name, int defaultValue, int minimum)
            throws ConfigurationException {
        JsonNode value = node.path(name);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.isIntegralNumber() || !value.canConvertToInt() || value.intValue() < minimum) {
            throw new ConfigurationException(
                    "config: "
                            + name
                            + ": not a whole number of "
                            + minimum
                            + " or more: "
                            + value);
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
