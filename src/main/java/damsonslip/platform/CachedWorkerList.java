package damsonslip.platform;

import com.fasterxml.jackson.databind.JsonNode;
import damsonslip.config.ConfigurationException;
import damsonslip.platform.codec.EndpointList;
import damsonslip.platform.codec.EndpointListDecoder;
import damsonslip.platform.codec.MalformedListException;

/** The endpoint list that is cached in the configuration: the last one before a restart. */
final class CachedWorkerList {
    private CachedWorkerList() {}

    /**
     * Decodes the cached list.
     *
     * @return the list, which is empty if the configuration holds none
     * @throws ConfigurationException if the cached value is not an endpoint list
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
