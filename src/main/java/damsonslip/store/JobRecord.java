package damsonslip.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * What the store holds of one job.
 *
 * @param id         the job's id
 * @param state      how far it is
 * @param job        the job as it was pushed, as JSON
 * @param deadlineMs when nobody waits for it any more, in Unix time
 * @param worker     who has it reserved, or had it last; may be empty
 * @param detail     how it ended, in words; may be empty
 * @param updatedMs  when this was written, in Unix time
 */
public record JobRecord(String id, State state, String job, long deadlineMs, String worker, String detail,
                        long updatedMs) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** How far a job may be; the last three are final. */
    public enum State {
        /** Taken in and not with any worker. */
        QUEUED,
        /** With a worker, or about to be: from here on it may have run. */
        RESERVED,
        SUCCESS, REFUSED, FAILED;

        public boolean isFinal() {
            return compareTo(SUCCESS) >= 0;
        }
    }

    public JobRecord to(State next, String by, String words, long nowMs) {
        return new JobRecord(id, next, job, deadlineMs, by, words, nowMs);
    }

    String encode() {
        ObjectNode node = JSON.createObjectNode().put("id", id).put("state", state.name()).put("job", job)
            .put("deadline_ms", deadlineMs).put("worker", worker).put("detail", detail).put("updated_ms", updatedMs);
        return node.toString();
    }

    /** Reads what {@link #encode} wrote; anything else is an error of the store's. */
    static JobRecord decode(String text) throws StoreException {
        try {
            JsonNode node = JSON.readTree(text);
            return new JobRecord(node.path("id").asText(), State.valueOf(node.path("state").asText()),
                node.path("job").asText(), node.path("deadline_ms").asLong(), node.path("worker").asText(),
                node.path("detail").asText(), node.path("updated_ms").asLong());
        } catch (JsonProcessingException | IllegalArgumentException e) {
            throw new StoreException("a record in the store cannot be read", e);
        }
    }
}
