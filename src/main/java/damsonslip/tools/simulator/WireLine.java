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

/**
 * One line of the simulator's protocol. Fields may come in any order; {@link #event} converts the
 * line to an event of the scheduling policy. The same object is reused for every line.
 */
final class WireLine {
    /** Topic of a {@code signal} that reports the start of an attempt. */
    private static final int TOPIC_STARTED = 1;

    private String cmd;
    private Integer dispatcher;
    private Double timeS;
    private Long seed;
    private JsonNode conf;
    private String mode;
    private List<WorkerEntry> workers;
    private String job;
    private Integer jobClass;
    private int tenant;
    private Long affinityKey;
    private Double deadlineS;
    private int slots;
    private double memory;
    private Integer attempt;
    private int topic;
    private String reason;
    private boolean closed;
    private LoadReport load;
    private String worker;
    private String label;

    /** Replaces all values by those of the object whose opening brace is the current token. */
    void read(JsonParser in) throws IOException, ConfigurationException {
        cmd = mode = job = reason = worker = label = null;
        dispatcher = jobClass = attempt = null;
        timeS = deadlineS = null;
        seed = affinityKey = null;
        conf = null;
        workers = null;
        load = null;
        tenant = topic = 0;
        slots = 1;
        memory = 0;
        closed = false;
        while (in.nextToken() != JsonToken.END_OBJECT) {
            String name = in.currentName();
            JsonToken value = in.nextToken();
            if (value != JsonToken.VALUE_NULL) {
                readField(in, name);
            }
        }
    }

    private void readField(JsonParser in, String name) throws IOException, ConfigurationException {
        switch (name) {
            case "cmd" -> cmd = in.getText();
            case "dispatcher" -> dispatcher = in.getIntValue();
            case "ts_s" -> timeS = in.getDoubleValue();
            case "prng" ->
                    seed =
                            in.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                                    ? in.getBigIntegerValue().longValue()
                                    : in.getLongValue();
            case "conf" -> conf = in.readValueAsTree();
            case "mode" -> mode = in.getText();
            case "items" -> workers = readWorkers(in);
            case "op_id" -> job = in.getText();
            case "lane" -> jobClass = in.getIntValue();
            case "client_group" -> tenant = in.getIntValue();
            case "route_key" -> affinityKey = in.getLongValue();
            case "drop_dead_s" -> deadlineS = in.getDoubleValue();
            case "cores_needed" -> slots = Math.max(1, in.getIntValue());
            case "mem_needed" -> memory = in.getDoubleValue();
            case "round_no" -> attempt = in.getIntValue();
            case "topic" -> topic = in.getIntValue();
            case "reason" -> reason = in.getText();
            case "closed" -> closed = in.getBooleanValue();
            case "load" -> load = readLoadReport(in);
            case "runner" -> worker = in.getText();
            case "label" -> label = in.getText();
            default -> in.skipChildren();
        }
    }

    private static List<WorkerEntry> readWorkers(JsonParser in)
            throws IOException, ConfigurationException {
        List<WorkerEntry> workers = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
            String id = null;
            String status = null;
            int zone = 0;
            int cell = 0;
            int kind = 0;
            long startedUs = Long.MIN_VALUE;
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
                            startedUs =
                                    in.getDoubleValue() == 0
                                            ? Long.MIN_VALUE
                                            : toMicros(in.getDoubleValue());
                    default -> in.skipChildren();
                }
            }
            String worker = required(id, "runner of an entry");
            workers.add(new WorkerEntry(worker, zone, cell, kind, status(status), startedUs));
        }
        return workers;
    }

    private static WorkerStatus status(String text) throws ConfigurationException {
        return switch (required(text, "status of an entry")) {
            case "Running" -> WorkerStatus.RUNNING;
            case "Stopping" -> WorkerStatus.DRAINING;
            case "Deleted" -> WorkerStatus.REMOVED;
            default -> throw new ConfigurationException("unknown status: " + text);
        };
    }

    private static LoadReport readLoadReport(JsonParser in) throws IOException {
        double freeSlots = Double.NaN;
        double freeMemory = Double.NaN;
        double reservedMemory = Double.NaN;
        double errorsPerSecond = Double.NaN;
        while (in.nextToken() != JsonToken.END_OBJECT) {
            String name = in.currentName();
            if (!in.nextToken().isNumeric()) {
                in.skipChildren();
                continue;
            }
            switch (name) {
                case "x0" -> freeSlots = in.getDoubleValue();
                case "x1" -> freeMemory = in.getDoubleValue();
                case "inflight" -> reservedMemory = in.getDoubleValue();
                case "eps" -> errorsPerSecond = in.getDoubleValue();
                default -> {}
            }
        }
        return new LoadReport(freeSlots, freeMemory, reservedMemory, Double.NaN, errorsPerSecond);
    }

    String cmd() throws ConfigurationException {
        return required(cmd, "cmd");
    }

    int dispatcher() throws ConfigurationException {
        return required(dispatcher, "dispatcher");
    }

    long clock() throws ConfigurationException {
        return toMicros(required(timeS, "ts_s"));
    }

    long seed() throws ConfigurationException {
        return required(seed, "prng");
    }

    JsonNode conf() {
        return conf;
    }

    /** Returns the line's event, or null if the scheduling policy does not use it. */
    Event event() throws ConfigurationException {
        return switch (cmd()) {
            case "sync" -> new WorkerListUpdate(listMode(), workers == null ? List.of() : workers);
            case "job_in" ->
                    new JobArrived(
                            required(job, "op_id"),
                            required(jobClass, "lane"),
                            tenant,
                            affinityKey,
                            toMicros(required(deadlineS, "drop_dead_s")),
                            slots,
                            memory);
            case "signal" ->
                    topic == TOPIC_STARTED
                            ? new AttemptStarted(
                                    required(job, "op_id"), required(attempt, "round_no"))
                            : null;
            case "result" ->
                    new AttemptEnded(
                            required(job, "op_id"),
                            required(attempt, "round_no"),
                            attemptOutcome(),
                            closed,
                            load);
            case "vanished" -> new ClientDisconnected(required(job, "op_id"));
            case "probe_result" ->
                    new ProbeEnded(
                            required(worker, "runner"),
                            attemptOutcome() == AttemptOutcome.SERVED
                                    ? ProbeResult.HEALTHY
                                    : ProbeResult.UNREACHABLE,
                            load);
            case "deadline_hit" -> new TimerDue(required(label, "label"));
            case "ack_first", "memo" -> null;
            default -> throw new ConfigurationException("unknown cmd: " + cmd);
        };
    }

    private WorkerListChange listMode() throws ConfigurationException {
        return switch (required(mode, "mode")) {
            case "Partial" -> WorkerListChange.CHANGES;
            case "Complete" -> WorkerListChange.COMPLETE;
            case "Persisted" -> WorkerListChange.CACHED;
            case "Error" -> WorkerListChange.FAILED;
            default -> throw new ConfigurationException("unknown mode: " + mode);
        };
    }

    private AttemptOutcome attemptOutcome() throws ConfigurationException {
        return switch (required(reason, "reason")) {
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

    private static long toMicros(double seconds) {
        return Math.round(seconds * 1e6);
    }

    private static <T> T required(T value, String name) throws ConfigurationException {
        if (value == null) {
            throw new ConfigurationException("lacks " + name);
        }
        return value;
    }
}
