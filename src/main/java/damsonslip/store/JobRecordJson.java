package damsonslip.store;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

/** The stored JSON form of {@link JobRecord}; properties with default values are omitted. */
final class JobRecordJson {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .defaultPropertyInclusion(
                            JsonInclude.Value.construct(
                                    JsonInclude.Include.NON_DEFAULT, JsonInclude.Include.ALWAYS))
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .build();

    private JobRecordJson() {}

    static String encode(JobRecord record) {
        try {
            return MAPPER.writeValueAsString(record);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a job record cannot be encoded as JSON", e);
        }
    }

    static JobRecord decode(String text) throws StoreException {
        try {
            JobRecord record = MAPPER.readValue(text, JobRecord.class);
            if (record.id() == null || record.state() == null || record.options() == null) {
                throw new StoreException("a record in the store has no id, state or options", null);
            }
            return record;
        } catch (JsonProcessingException | IllegalArgumentException e) {
            throw new StoreException("a record in the store cannot be read", e);
        }
    }
}
