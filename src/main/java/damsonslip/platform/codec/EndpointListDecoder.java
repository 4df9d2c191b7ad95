package damsonslip.platform.codec;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import damsonslip.config.JsonTreeReader;
import damsonslip.config.SiteSettings;
import damsonslip.policy.api.WorkerEntry;
import damsonslip.policy.api.WorkerStatus;
import damsonslip.transport.Address;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Decodes discovery's endpoint list and the changes to it. */
public final class EndpointListDecoder {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointListDecoder.class);
    private static final long MICROS_PER_MILLI = 1000;

    private final List<String> zoneNames;
    private final List<String> machineKinds;
    private final Function<String, InetSocketAddress> addressLookup;

    /**
     * @param addressLookup the address of a worker by its id, or null if unknown; used if the entry
     *     of a draining or removed worker has no address
     */
    public EndpointListDecoder(
            SiteSettings site, Function<String, InetSocketAddress> addressLookup) {
        this.zoneNames = site.zoneNames();
        this.machineKinds = site.machineKindNames();
        this.addressLookup = addressLookup;
    }

    /**
     * Decodes a list from its JSON text.
     *
     * @throws MalformedListException if the text is not a list
     */
    public EndpointList decode(String json) throws MalformedListException {
        try {
            return decode(JsonTreeReader.read(json));
        } catch (JsonProcessingException e) {
            throw new MalformedListException(
                    "host group: not JSON: "
                            + e.getOriginalMessage().lines().findFirst().orElse(""));
        }
    }

    /**
     * Decodes a list. An entry that cannot be used is logged and skipped; the others are used.
     *
     * @param list may be null
     * @throws MalformedListException if this is not a list
     */
    public EndpointList decode(JsonNode list) throws MalformedListException {
        if (list == null || !list.path(WireNames.Endpoints.ENTRIES).isArray()) {
            throw new MalformedListException("host group: no list of instances");
        }
        List<Endpoint> endpoints = new ArrayList<>();
        for (JsonNode entry : list.path(WireNames.Endpoints.ENTRIES)) {
            try {
                endpoints.add(endpoint(entry));
            } catch (IllegalArgumentException e) {
                LOG.warn(
                        "event=list_entry_skipped host group: left out an entry: {}",
                        e.getMessage());
            }
        }
        return new EndpointList(
                list.path(WireNames.Endpoints.GENERATION).asLong(0),
                list.path(WireNames.Endpoints.IS_COMPLETE).asBoolean(false),
                endpoints);
    }

    private Endpoint endpoint(JsonNode entry) {
        String id = entry.path(WireNames.Endpoints.WORKER_ID).asText("");
        if (id.isEmpty()) {
            throw new IllegalArgumentException("it has no " + WireNames.Endpoints.WORKER_ID);
        }
        WorkerStatus status = status(entry, id);
        WorkerEntry worker =
                new WorkerEntry(
                        id,
                        index(zoneNames, entry.path(WireNames.Endpoints.ZONE), id),
                        entry.path(WireNames.Endpoints.CELL).asInt(0),
                        index(machineKinds, entry.path(WireNames.Endpoints.MACHINE_KIND), id),
                        status,
                        startedUs(entry));
        return new Endpoint(worker, address(entry, id, status));
    }

    private static WorkerStatus status(JsonNode entry, String id) {
        String status = entry.path(WireNames.Endpoints.STATUS).asText("");
        return switch (status) {
            case WireNames.Endpoints.RUNNING -> WorkerStatus.RUNNING;
            case WireNames.Endpoints.DRAINING -> WorkerStatus.DRAINING;
            case WireNames.Endpoints.REMOVED -> WorkerStatus.REMOVED;
            default ->
                    throw new IllegalArgumentException(
                            id + ": " + WireNames.Endpoints.STATUS + ": " + status);
        };
    }

    private static int index(List<String> names, JsonNode name, String id) {
        int index = names.indexOf(name.asText(""));
        if (index < 0) {
            throw new IllegalArgumentException(
                    id + ": unknown zone or machine type: " + name.asText(""));
        }
        return index;
    }

    private static long startedUs(JsonNode entry) {
        long startedMs = entry.path(WireNames.Endpoints.STARTED_AT_MILLIS).asLong(0);
        return startedMs == 0 ? Long.MIN_VALUE : startedMs * MICROS_PER_MILLI;
    }

    private InetSocketAddress address(JsonNode entry, String id, WorkerStatus status) {
        String address = entry.path(WireNames.Endpoints.ADDRESS).asText("");
        if (address.isEmpty() && status != WorkerStatus.RUNNING) {
            InetSocketAddress cached = addressLookup.apply(id);
            if (cached != null) {
                return cached;
            }
        }
        return Address.parse(address);
    }
}
