package damsonslip.platform;

import com.fasterxml.jackson.databind.JsonNode;
import damsonslip.config.ConfigurationException;
import damsonslip.platform.codec.EndpointList;
import damsonslip.platform.codec.EndpointListDecoder;
import damsonslip.platform.codec.MalformedListException;

/** The endpoint list that the configuration holds, as this scheduler had it before a restart. */
final class CachedWorkerList {
    private CachedWorkerList() {}

    /**
     * Decodes the cached list.
     *
     * @return the list, which is empty if the configuration holds none
     * @throws ConfigurationException if it holds something else
     */
    static EndpointList decode(JsonNode cached, EndpointListDecoder decoder)
            throws ConfigurationException {
        if (cached.isMissingNode() || cached.isNull()) {
            return EndpointList.EMPTY;
        }
        try {
            return decoder.decode(cached).asComplete();
        } catch (MalformedListException e) {
            throw new ConfigurationException("config: known: " + e.getMessage());
        }
    }
}
