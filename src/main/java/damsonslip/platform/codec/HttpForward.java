package damsonslip.platform.codec;

import damsonslip.engine.Request;

/** What of a query goes on to a worker as it came. */
public record HttpForward(String method, String target, String key, String contentType, byte[] body)
        implements Request.Cargo {}
