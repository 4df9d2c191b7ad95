package damsonslip.platform.discovery;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import damsonslip.config.ConfigurationTree;
import damsonslip.config.SiteSettings;
import damsonslip.policy.api.WorkerEntry;
import damsonslip.policy.api.WorkerListChange;
import damsonslip.policy.api.WorkerStatus;
import damsonslip.transport.Address;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Discovery's list: where each worker listens, and since when it wants nothing new. */
public final class WorkerRegistry {
    private static final Logger LOG = LoggerFactory.getLogger(WorkerRegistry.class);

    /**
     * This much before the drain grace ends, nothing is begun any more: bytes need time to leave.
     */
    private static final long MARGIN_US = 150_000;

    /** A list or its changes, decoded once. */
    public record Update(long generation, boolean whole, List<Entry> entries) {}

    /** One worker of it. */
    public record Entry(WorkerEntry worker, InetSocketAddress address) {}

    /**
     * Addresses of workers that have stopped are kept so long: what is under way there has ended.
     */
    private static final long RETENTION_US = 600_000_000;

    /** A list that cannot be read; the message is one plain line. */
    public static final class Malformed extends Exception {
        private static final long serialVersionUID = 1L;

        Malformed(String message) {
            super(message);
        }
    }

    private record Host(InetSocketAddress address, long stoppedAtUs) {}

    private static final long RUNNING = Long.MAX_VALUE;

    private final SiteSettings site;
    private final Map<String, Host> hosts = new HashMap<>();
    private long generation;

    public WorkerRegistry(SiteSettings site) {
        this.site = site;
    }

    public Update decode(String line) throws Malformed {
        try {
            return decode(ConfigurationTree.read(line));
        } catch (JsonProcessingException e) {
            throw new Malformed(
                    "host group: not JSON: "
                            + e.getOriginalMessage().lines().findFirst().orElse(""));
        }
    }

    /**
     * Reads a list; an entry that cannot be used is left out with a message, and the others count.
     */
    public Update decode(JsonNode list) throws Malformed {
        if (list == null || !list.path("instances").isArray()) {
            throw new Malformed("host group: no list of instances");
        }
        List<Entry> entries = new ArrayList<>();
        for (JsonNode entry : list.path("instances")) {
            try {
                entries.add(entry(entry));
            } catch (IllegalArgumentException e) {
                LOG.warn("host group: left out an entry: {}", e.getMessage());
            }
        }
        return new Update(
                list.path("generation").asLong(0), list.path("reset").asBoolean(false), entries);
    }

    private Entry entry(JsonNode entry) {
        String id = entry.path("instanceId").asText("");
        if (id.isEmpty()) {
            throw new IllegalArgumentException("it has no instanceId");
        }
        String state = entry.path("lifecycle").asText("");
        WorkerStatus status =
                switch (state) {
                    case "ready" -> WorkerStatus.RUNNING;
                    case "draining" -> WorkerStatus.DRAINING;
                    case "gone" -> WorkerStatus.REMOVED;
                    default -> throw new IllegalArgumentException(id + ": lifecycle: " + state);
                };
        int zone = index(site.zoneNames(), entry.path("zone"), id);
        int kind = index(site.kindNames(), entry.path("machineType"), id);
        long startedMs = entry.path("startedAtMs").asLong(0);
        long started = startedMs == 0 ? Long.MIN_VALUE : startedMs * 1000;
        WorkerEntry worker =
                new WorkerEntry(id, zone, entry.path("cell").asInt(0), kind, status, started);
        String address = entry.path("hostPort").asText("");
        Host known = hosts.get(id);
        if (address.isEmpty() && status != WorkerStatus.RUNNING && known != null) {
            return new Entry(worker, known.address());
        }
        return new Entry(worker, Address.parse(address));
    }

    private static int index(List<String> names, JsonNode name, String id) {
        int at = names.indexOf(name.asText(""));
        if (at < 0) {
            throw new IllegalArgumentException(
                    id + ": unknown zone or machine type: " + name.asText(""));
        }
        return at;
    }

    /** Takes an update in and gives the list for the decisions. */
    public List<WorkerEntry> apply(Update update, long nowUs) {
        Set<String> named = new HashSet<>();
        List<WorkerEntry> workers = new ArrayList<>();
        for (Entry entry : update.entries()) {
            WorkerEntry worker = entry.worker();
            named.add(worker.id());
            workers.add(worker);
            Host before = hosts.get(worker.id());
            boolean was = before != null && before.stoppedAtUs() != RUNNING;
            long stopped =
                    worker.status() == WorkerStatus.RUNNING
                            ? RUNNING
                            : was ? before.stoppedAtUs() : nowUs;
            hosts.put(worker.id(), new Host(entry.address(), stopped));
        }
        if (update.whole()) {
            hosts.replaceAll(
                    (id, host) ->
                            named.contains(id) || host.stoppedAtUs() != RUNNING
                                    ? host
                                    : new Host(host.address(), nowUs));
        }
        // nothing is sent to a worker that is unknown, so that what drains for long may be
        // forgotten as well
        hosts.values().removeIf(host -> host.stoppedAtUs() < nowUs - RETENTION_US);
        generation = update.generation();
        return workers;
    }

    public static WorkerListChange mode(Update update) {
        return update.whole() ? WorkerListChange.COMPLETE : WorkerListChange.CHANGES;
    }

    public long generation() {
        return generation;
    }

    public InetSocketAddress address(String worker) {
        Host host = hosts.get(worker);
        return host == null ? null : host.address();
    }

    /**
     * Since when the worker is known to drain or to have gone; {@link Long#MAX_VALUE} if it runs or
     * is unknown.
     */
    public long stoppedAtUs(String worker) {
        Host host = hosts.get(worker);
        return host == null ? RUNNING : host.stoppedAtUs();
    }

    /**
     * Whether bytes may still be sent to a worker. Guards the drain rule where the decision came
     * before the news and the connection only after it.
     */
    public boolean maySend(String worker, long nowUs) {
        Host host = hosts.get(worker);
        return host != null
                && (host.stoppedAtUs() == RUNNING
                        || nowUs
                                < host.stoppedAtUs()
                                        + site.settings().guarantees().drainGraceUs()
                                        - MARGIN_US);
    }
}
