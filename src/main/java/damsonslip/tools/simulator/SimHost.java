package damsonslip.tools.simulator;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import damsonslip.config.ConfigurationException;
import damsonslip.config.SettingsReader;
import damsonslip.policy.SchedulingPolicy;
import damsonslip.policy.api.Action;
import damsonslip.policy.api.Cancel;
import damsonslip.policy.api.Event;
import damsonslip.policy.api.Fail;
import damsonslip.policy.api.Log;
import damsonslip.policy.api.ProbeWorker;
import damsonslip.policy.api.Reject;
import damsonslip.policy.api.Send;
import damsonslip.policy.api.SetTimer;
import damsonslip.policy.api.WatchWorkerList;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Adapter that runs the scheduling policies of many simulated dispatchers. It reads batches of
 * events as JSON lines and writes, for each batch, the resulting actions and a closing {@code
 * done}.
 */
public final class SimHost {
    private static final int OUTPUT_BUFFER_BYTES = 1 << 16;

    private final JsonParser in;
    private final OutputStream out;
    private final JsonGenerator json;
    private final WireLine line = new WireLine();
    private final Map<Integer, SchedulingPolicy> policies = new HashMap<>();
    private final List<Action> actions = new ArrayList<>();

    public SimHost(InputStream in, OutputStream out) throws IOException {
        ObjectMapper mapper = JsonMapper.builder().build();
        this.in = mapper.getFactory().createParser(in);
        this.out = new BufferedOutputStream(out, OUTPUT_BUFFER_BYTES);
        this.json = mapper.getFactory().createGenerator(this.out);
        this.json.setRootValueSeparator(null);
    }

    /**
     * Processes batches until the input ends.
     *
     * @throws ConfigurationException if a line or the settings of a dispatcher are invalid
     */
    public void run() throws IOException, ConfigurationException {
        try {
            while (readLine()) {
                if (!line.cmd().equals("begin_batch")) {
                    throw new ConfigurationException("expected begin_batch, got " + line.cmd());
                }
                processBatch(line.clock());
            }
        } catch (ConfigurationException e) {
            throw withLineNumber(e.getMessage());
        } catch (JsonProcessingException e) {
            throw withLineNumber(
                    "not as expected in JSON: "
                            + e.getOriginalMessage().lines().findFirst().orElse(""));
        }
    }

    private ConfigurationException withLineNumber(String message) {
        return new ConfigurationException(
                "line " + in.currentLocation().getLineNr() + ": " + message);
    }

    private boolean readLine() throws IOException, ConfigurationException {
        JsonToken token = in.nextToken();
        if (token == null) {
            return false;
        }
        if (token != JsonToken.START_OBJECT) {
            throw new ConfigurationException("not a JSON object");
        }
        line.read(in);
        return true;
    }

    private void processBatch(long clock) throws IOException, ConfigurationException {
        while (true) {
            if (!readLine()) {
                throw new ConfigurationException("the input ends within a batch");
            }
            if (line.cmd().equals("end")) {
                break;
            }
            int dispatcher = line.dispatcher();
            switch (line.cmd()) {
                case "create" ->
                        policies.put(
                                dispatcher,
                                new SchedulingPolicy(
                                        SettingsReader.read(line.conf()), line.seed()));
                case "kill" -> policies.remove(dispatcher);
                default -> handle(dispatcher, clock, line.event());
            }
        }
        json.writeStartObject();
        json.writeStringField("cmd", "done");
        writeLineEnd();
        json.flush();
        out.flush();
    }

    private void handle(int dispatcher, long clock, Event event)
            throws IOException, ConfigurationException {
        SchedulingPolicy policy = policies.get(dispatcher);
        if (policy == null || event == null) {
            return;
        }
        actions.clear();
        try {
            policy.handle(clock, event, actions);
        } catch (IllegalArgumentException e) {
            throw new ConfigurationException(e.getMessage());
        } catch (RuntimeException e) {
            write("internal_error", dispatcher);
            json.writeStringField("body_text", e + " at " + e.getStackTrace()[0]);
            writeLineEnd();
            return;
        }
        for (Action action : actions) {
            writeAction(dispatcher, action);
        }
    }

    private void writeAction(int dispatcher, Action action) throws IOException {
        if (action instanceof Send send) {
            writeJob("place", dispatcher, send.job());
            json.writeStringField("runner", send.worker());
            json.writeFieldName("try_for_s");
            writeSeconds(send.timeoutUs());
        } else if (action instanceof Cancel cancel) {
            writeJob("undo_send", dispatcher, cancel.job());
            json.writeNumberField("round_no", cancel.attempt());
        } else if (action instanceof Reject reject) {
            writeJob("deny", dispatcher, reject.job());
            json.writeFieldName("retry_after_s");
            writeSeconds(reject.retryAfterUs());
        } else if (action instanceof Fail fail) {
            writeJob("drop_request", dispatcher, fail.job());
        } else if (action instanceof ProbeWorker probe) {
            write("sound_out", dispatcher);
            json.writeStringField("runner", probe.worker());
        } else if (action instanceof SetTimer timer) {
            write("notify_me", dispatcher);
            json.writeFieldName("moment_s");
            writeSeconds(timer.atUs());
            json.writeStringField("label", timer.label());
        } else if (action instanceof WatchWorkerList) {
            write("stream_changes", dispatcher);
            json.writeBooleanField("want", true);
        } else if (action instanceof Log log) {
            write("write_log", dispatcher);
            json.writeStringField("body_text", log.text());
        }
        writeLineEnd();
    }

    private void write(String cmd, int dispatcher) throws IOException {
        json.writeStartObject();
        json.writeStringField("cmd", cmd);
        json.writeNumberField("dispatcher", dispatcher);
    }

    private void writeJob(String cmd, int dispatcher, String job) throws IOException {
        write(cmd, dispatcher);
        json.writeStringField("op_id", job);
    }

    /** Writes seconds with six decimal places, exact to the microsecond. */
    private void writeSeconds(long micros) throws IOException {
        long whole = Math.floorDiv(micros, 1_000_000L);
        String fraction = Long.toString(1_000_000L + Math.floorMod(micros, 1_000_000L));
        json.writeNumber(whole + "." + fraction.substring(1));
    }

    private void writeLineEnd() throws IOException {
        json.writeEndObject();
        json.writeRaw('\n');
    }
}
