package damsonslip.platform.codec;

import java.util.Map;

/** A complete HTTP request of a client, neither routed nor decoded yet. Immutable. */
public final class HttpRequest {
    private static final String POST = "POST";

    /** The resource that a request addresses, by its path. */
    public enum Route {
        JOB,
        HEALTH
    }

    private final String method;
    private final String target;
    private final Map<String, String> headers;
    private final byte[] body;

    /**
     * @param target path and query, as received
     * @param headers the header fields, by their names in lower case
     */
    HttpRequest(String method, String target, Map<String, String> headers, byte[] body) {
        this.method = method;
        this.target = target;
        this.headers = headers;
        this.body = body;
    }

    /**
     * Determines the route of the request.
     *
     * @throws BadRequestException if no such path or method is served
     */
    public Route route() throws BadRequestException {
        return switch (path()) {
            case WireNames.Path.JOBS -> {
                if (!method.equals(POST)) {
                    throw new BadRequestException(405, "POST only");
                }
                yield Route.JOB;
            }
            case WireNames.Path.HEALTH -> Route.HEALTH;
            default -> throw new BadRequestException(404, "no such path");
        };
    }

    private String path() {
        int end = target.indexOf('?');
        return end < 0 ? target : target.substring(0, end);
    }

    String method() {
        return method;
    }

    String target() {
        return target;
    }

    byte[] body() {
        return body;
    }

    /** The memory that the request's content and texts take, in bytes. */
    public int memoryBytes() {
        int bytes = body.length + target.length();
        for (String value : headers.values()) {
            bytes += value.length();
        }
        return bytes;
    }

    /** The value of a header field; null if the request has none of this name. */
    String header(String name) {
        return headers.get(HttpMessageReader.lowerCase(name));
    }

    /** The value of a header field that has to be present. */
    String requiredHeader(String name) throws BadRequestException {
        String value = header(name);
        if (value == null || value.isBlank()) {
            throw new BadRequestException(400, "lacks " + name);
        }
        return value;
    }
}
