package damsonslip.tools.simulator;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import damsonslip.config.ConfigurationException;
import damsonslip.policy.api.AttemptEnded;
import damsonslip.policy.api.AttemptOutcome;
import damsonslip.policy.api.AttemptStarted;
import damsonslip.policy.api.ClientDisconnected;
import damsonslip.policy.api.Event;
import damsonslip.policy.api.JobArrived;
import damsonslip.policy.api.LoadReport;
import damsonslip.policy.api.ProbeEnded;
import damsonslip.policy.api.ProbeResult;
import damsonslip.policy.api.TimerDue;
import damsonslip.policy.api.WorkerEntry;
import damsonslip.policy.api.WorkerListChange;
import damsonslip.policy.api.WorkerListUpdate;
import damsonslip.policy.api.WorkerStatus;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** One line of the wire, read field by field in any order, and the event it stands for. */
final class WireLine {
    private static final int STARTED = 1;

    private String cmd;
    private Integer dispatcher;
    private Double moment;
    private Long seed;
    private JsonNode conf;
    private String mode;
    private List<WorkerEntry> items;
    private String opId;
    private Integer lane;
    private int tenant;
    private Long subject;
    private Double deadline;
    private int slots;
    private double memory;
    private Integer round;
    private int topic;
    private String reason;
    private boolean closed;
    private LoadReport load;
    private String runner;
    private String label;

    /** Reads the object whose opening brace the parser stands on. */
    void read(JsonParser in) throws IOException, ConfigurationException {
        cmd = mode = opId = reason = runner = label = null;
        dispatcher = lane = round = null;
        moment = deadline = null;
        seed = subject = null;
        conf = null;
        items = null;
        load = null;
        tenant = topic = 0;
        slots = 1;
        memory = 0;
        closed = false;
        while (in.nextToken() != JsonToken.END_OBJECT) {
            String name = in.currentName();
            JsonToken value = in.nextToken();
            if (value != JsonToken.VALUE_NULL) {
                field(in, name);
            }
        }
    }

    private void field(JsonParser in, String name) throws IOException, ConfigurationException {
        switch (name) {
            case "cmd" -> cmd = in.getText();
            case "dispatcher" -> dispatcher = in.getIntValue();
            case "ts_s" -> moment = in.getDoubleValue();
            case "prng" ->
                    seed =
                            in.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                                    ? in.getBigIntegerValue().longValue()
                                    : in.getLongValue();
            case "conf" -> conf = in.readValueAsTree();
            case "mode" -> mode = in.getText();
            case "items" -> items = workers(in);
            case "op_id" -> opId = in.getText();
            case "lane" -> lane = in.getIntValue();
            case "client_group" -> tenant = in.getIntValue();
            case "route_key" -> subject = in.getLongValue();
            case "drop_dead_s" -> deadline = in.getDoubleValue();
            case "cores_needed" -> slots = Math.max(1, in.getIntValue());
            case "mem_needed" -> memory = in.getDoubleValue();
            case "round_no" -> round = in.getIntValue();
            case "topic" -> topic = in.getIntValue();
            case "reason" -> reason = in.getText();
            case "closed" -> closed = in.getBooleanValue();
            case "load" -> load = report(in);
            case "runner" -> runner = in.getText();
            case "label" -> label = in.getText();
            default -> in.skipChildren();
        }
    }

    private static List<WorkerEntry> workers(JsonParser in)
            throws IOException, ConfigurationException {
        List<WorkerEntry> workers = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
            String id = null;
            String status = null;
            int zone = 0;
            int cell = 0;
            int kind = 0;
            long since = Long.MIN_VALUE;
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String name = in.currentName();
                if (in.nextToken() == JsonToken.VALUE_NULL) {
                    continue;
                }
                switch (name) {
                    case "runner" -> id = in.getText();
                    case "status" -> status = in.getText();
                    case "locality" -> zone = in.getIntValue();
                    case "pack" -> cell = in.getIntValue();
                    case "class_of_host" -> kind = in.getIntValue();
                    case "since_s" ->
                            since =
                                    in.getDoubleValue() == 0
                                            ? Long.MIN_VALUE
                                            : micros(in.getDoubleValue());
                    default -> in.skipChildren();
                }
            }
            String runner = needed(id, "runner of an entry");
            workers.add(new WorkerEntry(runner, zone, cell, kind, status(status), since));
        }
        return workers;
    }

    private static WorkerStatus status(String text) throws ConfigurationException {
        return switch (needed(text, "status of an entry")) {
            case "Running" -> WorkerStatus.RUNNING;
            case "Stopping" -> WorkerStatus.DRAINING;
            case "Deleted" -> WorkerStatus.REMOVED;
            default -> throw new ConfigurationException("unknown status: " + text);
        };
    }

    private static LoadReport report(JsonParser in) throws IOException {
        double freeSlots = Double.NaN;
        double freeMemory = Double.NaN;
        double held = Double.NaN;
        double errors = Double.NaN;
        while (in.nextToken() != JsonToken.END_OBJECT) {
            String name = in.currentName();
            if (!in.nextToken().isNumeric()) {
                in.skipChildren();
                continue;
            }
            switch (name) {
                case "x0" -> freeSlots = in.getDoubleValue();
                case "x1" -> freeMemory = in.getDoubleValue();
                case "inflight" -> held = in.getDoubleValue();
                case "eps" -> errors = in.getDoubleValue();
                default -> {}
            }
        }
        return new LoadReport(freeSlots, freeMemory, held, Double.NaN, errors);
    }

    String cmd() throws ConfigurationException {
        return needed(cmd, "cmd");
    }

    int dispatcher() throws ConfigurationException {
        return needed(dispatcher, "dispatcher");
    }

    long clock() throws ConfigurationException {
        return micros(needed(moment, "ts_s"));
    }

    long seed() throws ConfigurationException {
        return needed(seed, "prng");
    }

    JsonNode conf() {
        return conf;
    }

    /** The event that this line stands for, or null if the decisions have no use for it. */
    Event event() throws ConfigurationException {
        return switch (cmd()) {
            case "sync" -> new WorkerListUpdate(listMode(), items == null ? List.of() : items);
            case "job_in" ->
                    new JobArrived(
                            needed(opId, "op_id"),
                            needed(lane, "lane"),
                            tenant,
                            subject,
                            micros(needed(deadline, "drop_dead_s")),
                            slots,
                            memory);
            case "signal" ->
                    topic == STARTED
                            ? new AttemptStarted(needed(opId, "op_id"), needed(round, "round_no"))
                            : null;
            case "result" ->
                    new AttemptEnded(
                            needed(opId, "op_id"),
                            needed(round, "round_no"),
                            outcome(),
                            closed,
                            load);
            case "vanished" -> new ClientDisconnected(needed(opId, "op_id"));
            case "probe_result" ->
                    new ProbeEnded(
                            needed(runner, "runner"),
                            outcome() == AttemptOutcome.SERVED
                                    ? ProbeResult.HEALTHY
                                    : ProbeResult.UNREACHABLE,
                            load);
            case "deadline_hit" -> new TimerDue(needed(label, "label"));
            case "ack_first", "memo" -> null;
            default -> throw new ConfigurationException("unknown cmd: " + cmd);
        };
    }

    private WorkerListChange listMode() throws ConfigurationException {
        return switch (needed(mode, "mode")) {
            case "Partial" -> WorkerListChange.CHANGES;
            case "Complete" -> WorkerListChange.COMPLETE;
            case "Persisted" -> WorkerListChange.CACHED;
            case "Error" -> WorkerListChange.FAILED;
            default -> throw new ConfigurationException("unknown mode: " + mode);
        };
    }

    private AttemptOutcome outcome() throws ConfigurationException {
        return switch (needed(reason, "reason")) {
            case "Ok" -> AttemptOutcome.SERVED;
            case "Failed" -> AttemptOutcome.ERROR;
            case "QueueFull" -> AttemptOutcome.FULL;
            case "TimedOut" -> AttemptOutcome.TIMED_OUT;
            case "ConnectError" -> AttemptOutcome.NOT_CONNECTED;
            case "ResetByPeer" -> AttemptOutcome.RESET;
            case "Canceled" -> AttemptOutcome.CANCELLED;
            case "Ignored" -> AttemptOutcome.NEVER_SENT;
            default -> throw new ConfigurationException("unknown reason: " + reason);
        };
    }

    private static long micros(double seconds) {
        return Math.round(seconds * 1e6);
    }

    private static <T> T needed(T value, String name) throws ConfigurationException {
        if (value == null) {
            throw new ConfigurationException("lacks " + name);
        }
        return value;
    }
}
