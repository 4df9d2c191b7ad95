package damsonslip.platform.codec;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import damsonslip.config.ConfigurationTree;
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
            JsonNode node = ConfigurationTree.read(line);
            if (node == null
                    || !requestId.equals(node.path(WireNames.Progress.REQUEST_ID).asText())) {
                return Optional.empty();
            }
            return state(node).map(state -> decode(node, state));
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

    private static Optional<State> state(JsonNode node) {
        boolean hasResult = !node.path(WireNames.Progress.RESULT).isMissingNode();
        return switch (node.path(WireNames.Progress.STATE).asText("")) {
            case WireNames.Progress.STARTED -> Optional.of(State.STARTED);
            case WireNames.Progress.RUNNING -> Optional.of(State.RUNNING);
            case WireNames.Progress.COMPLETED ->
                    hasResult ? Optional.of(State.COMPLETED) : Optional.empty();
            case WireNames.Progress.FAILED -> Optional.of(State.FAILED);
            case WireNames.Progress.HANDED_BACK -> Optional.of(State.HANDED_BACK);
            case WireNames.Progress.KILLED -> Optional.of(State.KILLED);
            default -> Optional.empty();
        };
    }
}
