package damsonslip.platform.codec;

import damsonslip.config.SiteSettings;
import damsonslip.engine.Request;
import java.util.Map;

/**
 * A client's message, decoded once.
 *
 * @param method as it came
 * @param target path and query, as they came
 * @param fields the header fields that matter here, by their names in lower case
 * @param body the content
 */
public record HttpRequest(String method, String target, Map<String, String> fields, byte[] body) {
    /**
     * No worker has more slots, or more units of memory; what claims more would only spoil the
     * estimates.
     */
    private static final int MOST_SLOTS = 64;

    /** A message that cannot be served, and the status that says so. */
    public static final class Bad extends Exception {
        private static final long serialVersionUID = 1L;
        private final int status;

        public Bad(int status, String why) {
            super(why);
            this.status = status;
        }

        public int status() {
            return status;
        }
    }

    public String path() {
        int end = target.indexOf('?');
        return end < 0 ? target : target.substring(0, end);
    }

    private String field(String name) {
        return fields.get(name.toLowerCase(java.util.Locale.ROOT));
    }

    private String needed(String name) throws Bad {
        String value = field(name);
        if (value == null || value.isBlank()) {
            throw new Bad(400, "lacks " + name);
        }
        return value;
    }

    /**
     * What goes on to a worker has to arrive there as it was: an id in another form is a
     * stranger's. Beyond plain ASCII the two messages would be decoded and encoded by rules that
     * nobody has agreed on.
     */
    private static String plain(String what, String text, char first) throws Bad {
        if (text != null && !text.chars().allMatch(c -> c >= first && c <= '~')) {
            throw new Bad(400, "not plain ASCII: " + what);
        }
        return text;
    }

    /**
     * Who it is for, by the names that the settings give; where these have none, nobody in
     * particular.
     */
    private int tenant(SiteSettings site) throws Bad {
        if (site.tenantNames().isEmpty()) {
            return 0;
        }
        int tenant = site.tenantNames().indexOf(needed(WireFormat.TENANT));
        if (tenant < 0) {
            throw new Bad(400, "unknown account: " + field(WireFormat.TENANT));
        }
        return tenant;
    }

    /**
     * The query that this message asks, which came then; it is answered by the latest time at any
     * rate.
     */
    public Request query(SiteSettings site, long arrivedUs, long earliestUs, long latestUs)
            throws Bad {
        String id = plain(WireFormat.ID, needed(WireFormat.ID), ' ');
        int jobClass = site.classNames().indexOf(needed(WireFormat.CLASS));
        if (jobClass < 0) {
            throw new Bad(400, "unknown class: " + field(WireFormat.CLASS));
        }
        int tenant = tenant(site);
        int slots = 1;
        double memory = 0;
        long timeLeft;
        try {
            String told = field(WireFormat.TIME_LEFT);
            timeLeft = told == null ? site.deadlineUs(jobClass) : WireFormat.micros(told);
            for (String fact :
                    field(WireFormat.FACTS) == null
                            ? new String[0]
                            : field(WireFormat.FACTS).split(",")) {
                int at = fact.indexOf('=');
                String value = fact.substring(at + 1).trim();
                switch (at < 0 ? "" : fact.substring(0, at).trim()) {
                    case "cores_needed", "slots" ->
                            slots = Math.max(1, (int) WireFormat.figure(value, MOST_SLOTS));
                    case "mem_needed", "memory" -> memory = WireFormat.figure(value, MOST_SLOTS);
                    default -> {}
                }
            }
        } catch (IllegalArgumentException e) {
            throw new Bad(400, "not a figure: " + e.getMessage());
        }
        HttpForward forward =
                new HttpForward(
                        method,
                        plain("target", target, '!'),
                        plain(WireFormat.KEY, field(WireFormat.KEY), ' '),
                        plain("Content-Type", field("Content-Type"), ' '),
                        body);
        long deadline = Math.min(arrivedUs + timeLeft, latestUs);
        return new Request(
                id,
                jobClass,
                tenant,
                deadline,
                earliestUs + timeLeft,
                slots,
                memory,
                null,
                Integer.MAX_VALUE,
                null,
                forward);
    }
}
