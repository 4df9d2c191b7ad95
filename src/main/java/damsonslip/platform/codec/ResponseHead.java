package damsonslip.platform.codec;

import damsonslip.policy.api.LoadReport;
import java.util.Map;

/**
 * The decoded head of a worker's or discovery's response.
 *
 * @param status the HTTP status
 * @param loadReport the worker's load report, or null
 * @param notExecuted whether the response states that the job has not run
 */
public record ResponseHead(int status, LoadReport loadReport, boolean notExecuted) {
    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    static ResponseHead of(int status, Map<String, String> headers) {
        String report = headers.get(HttpMessageReader.lowerCase(WireNames.Header.LOAD_REPORT));
        String marker = headers.get(HttpMessageReader.lowerCase(WireNames.Header.NOT_EXECUTED));
        return new ResponseHead(status, LoadReportDecoder.fromHeader(report), "1".equals(marker));
    }

    /** Whether the request was accepted: a job's progress or a list follows. */
    public boolean isOk() {
        return status == OK;
    }

    /** Whether the worker has rejected the job without running it. */
    public boolean isRejection() {
        return notExecuted && (status == SERVICE_UNAVAILABLE || status == GATEWAY_TIMEOUT);
    }
}
