package damsonslip.platform.codec;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import damsonslip.config.JsonTreeReader;
import damsonslip.policy.api.LoadReport;
import java.util.Optional;

/**
 * One line of a worker's response to a job, decoded.
 *
 * @param state what has become of the job
 * @param result what the job has produced; meaningful for {@link State#COMPLETED} only
 * @param loadReport the worker's load report, or null
 */
public record JobProgress(State state, String result, LoadReport loadReport) {
    /** What a worker reports of a job; all but the first two are final. */
    public enum State {
        STARTED,
        RUNNING,
        /** It has run and produced a result. */
        COMPLETED,
        /** It may have run, and produced none. */
        FAILED,
        /** The worker hands it back unstarted. */
        HANDED_BACK,
        /** The worker has killed it; it may have run. */
        KILLED
    }

    /**
     * Decodes a line.
     *
     * @return empty if the line is no JSON, concerns another job or names no known state
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
