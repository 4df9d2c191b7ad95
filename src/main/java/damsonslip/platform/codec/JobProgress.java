package damsonslip.platform.codec;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import damsonslip.config.JsonTreeReader;
import damsonslip.policy.api.LoadReport;
import java.util.Optional;

/**
 * One line of a worker's response to a job, decoded.
 *
 * @param state the state of the job
 * @param result the result of the job; meaningful for {@link State#COMPLETED} only
 * @param loadReport the worker's load report, or null
 */
public record JobProgress(State state, String result, LoadReport loadReport) {
    /** The states of a job that a worker reports; all but the first two are final. */
    public enum State {
        STARTED,
        RUNNING,
        /** The job has run and produced a result. */
        COMPLETED,
        /** The job may have run, and produced no result. */
        FAILED,
        /** The worker has returned the job without starting it. */
        HANDED_BACK,
        /** The worker has killed the job, which may have run. */
        KILLED
    }

    /**
     * Decodes a line.
     *
     * @return empty if the line is not JSON, concerns another job, names no known state or lacks
     *     its result
     */
    public static Optional<JobProgress> decode(String line, String requestId) {
        try {
            JsonNode node = JsonTreeReader.read(line);
            if (node == null
                    || !requestId.equals(node.path(WireNames.Progress.REQUEST_ID).asText())) {
                return Optional.empty();
            }
            State state = state(node);
            return state == null ? Optional.empty() : Optional.of(decode(node, state));
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }

    private static JobProgress decode(JsonNode node, State state) {
        JsonNode result = node.path(WireNames.Progress.RESULT);
        return new JobProgress(
                state,
                result.isTextual() ? result.asText() : result.toString(),
                LoadReportDecoder.fromJson(node.path(WireNames.Progress.LOAD_REPORT)));
    }

    /** The state that a line names; null if it is unknown or lacks its result. */
    private static State state(JsonNode node) {
        boolean hasResult = !node.path(WireNames.Progress.RESULT).isMissingNode();
        return switch (node.path(WireNames.Progress.STATE).asText("")) {
            case WireNames.Progress.STARTED -> State.STARTED;
            case WireNames.Progress.RUNNING -> State.RUNNING;
            case WireNames.Progress.COMPLETED -> hasResult ? State.COMPLETED : null;
            case WireNames.Progress.FAILED -> State.FAILED;
            case WireNames.Progress.HANDED_BACK -> State.HANDED_BACK;
            case WireNames.Progress.KILLED -> State.KILLED;
            default -> null;
        };
    }
}
