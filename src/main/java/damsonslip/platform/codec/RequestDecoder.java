package damsonslip.platform.codec;

import damsonslip.config.SiteSettings;
import damsonslip.engine.Request;

/** Decodes a client's HTTP request for a job into the engine's {@link Request}. */
public final class RequestDecoder {
    /** No worker has more slots or units of memory; a larger demand would distort estimates. */
    private static final int MAX_DEMAND = 64;

    private final SiteSettings site;

    /** Creates a decoder for the names of classes and tenants in these settings. */
    public RequestDecoder(SiteSettings site) {
        this.site = site;
    }

    /**
     * Decodes a request for a job.
     *
     * @param latestUs upper bound of the request's deadline
     * @throws BadRequestException if a header field is missing or cannot be read
     */
    public Request decode(HttpRequest request, ArrivalTime arrival, long latestUs)
            throws BadRequestException {
        String id =
                requirePrintable(
                        WireNames.Header.REQUEST_ID,
                        request.requiredHeader(WireNames.Header.REQUEST_ID),
                        ' ');
        int jobClass = jobClass(request);
        int tenant = tenant(request);
        long timeBudgetUs;
        Demands demands;
        try {
            timeBudgetUs = timeBudgetUs(request, jobClass);
            demands = Demands.parse(request.header(WireNames.Header.DEMANDS));
        } catch (IllegalArgumentException e) {
            throw new BadRequestException(400, "not a figure: " + e.getMessage());
        }
        return new Request(
                id,
                jobClass,
                tenant,
                Math.min(arrival.countedUs() + timeBudgetUs, latestUs),
                arrival.earliestUs() + timeBudgetUs,
                demands.slots(),
                demands.memory(),
                null,
                Integer.MAX_VALUE,
                null,
                forwardedRequest(request));
    }

    private int jobClass(HttpRequest request) throws BadRequestException {
        String name = request.requiredHeader(WireNames.Header.JOB_CLASS);
        int jobClass = site.classNames().indexOf(name);
        if (jobClass < 0) {
            throw new BadRequestException(400, "unknown class: " + name);
        }
        return jobClass;
    }

    /** The index of the tenant; 0 where the settings name none. */
    private int tenant(HttpRequest request) throws BadRequestException {
        if (site.tenantNames().isEmpty()) {
            return 0;
        }
        String name = request.requiredHeader(WireNames.Header.TENANT);
        int tenant = site.tenantNames().indexOf(name);
        if (tenant < 0) {
            throw new BadRequestException(400, "unknown account: " + name);
        }
        return tenant;
    }

    private long timeBudgetUs(HttpRequest request, int jobClass) {
        String budget = request.header(WireNames.Header.TIME_BUDGET);
        return budget == null ? site.maxTimeBudgetUs(jobClass) : WireFormat.parseMicros(budget);
    }

    private static ForwardedRequest forwardedRequest(HttpRequest request)
            throws BadRequestException {
        String key = request.header(WireNames.Header.IDEMPOTENCY_KEY);
        String contentType = request.header(WireNames.Header.CONTENT_TYPE);
        return new ForwardedRequest(
                request.method(),
                requirePrintable("target", request.target(), '!'),
                requirePrintable(WireNames.Header.IDEMPOTENCY_KEY, key, ' '),
                requirePrintable(WireNames.Header.CONTENT_TYPE, contentType, ' '),
                request.body());
    }

    /**
     * Checks that a text is printable ASCII. Other characters could reach the worker in another
     * form than the client sent, since their encoding is not defined.
     *
     * @param first the first character that is allowed
     */
    private static String requirePrintable(String what, String text, char first)
            throws BadRequestException {
        if (text != null && !text.chars().allMatch(c -> c >= first && c <= '~')) {
            throw new BadRequestException(400, "not plain ASCII: " + what);
        }
        return text;
    }

    /** The resources that a job requires of a worker. */
    private record Demands(int slots, double memory) {
        static Demands parse(String header) {
            int slots = 1;
            double memory = 0;
            for (String demand : header == null ? new String[0] : header.split(",", -1)) {
                int separator = demand.indexOf('=');
                String name = separator < 0 ? "" : demand.substring(0, separator).trim();
                String value = demand.substring(separator + 1).trim();
                switch (name) {
                    case WireNames.Demand.SLOTS, WireNames.Demand.SLOTS_LONG ->
                            slots = Math.max(1, (int) WireFormat.parseDecimal(value, MAX_DEMAND));
                    case WireNames.Demand.MEMORY, WireNames.Demand.MEMORY_LONG ->
                            memory = WireFormat.parseDecimal(value, MAX_DEMAND);
                    default -> {}
                }
            }
            return new Demands(slots, memory);
        }
    }
}
