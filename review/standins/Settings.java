/**
 * The configuration of a small deployment: one scheduler, and classes, limits and guarantees of the
 * size that the operators give for their own.
 */
final class Settings {
    private Settings() {}

    static String config(int port, int discoveryPort, int managementPort) {
        return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port + "\","
                + "\"discovery\":\"127.0.0.1:" + discoveryPort + "\","
                + "\"mgmt\":\"127.0.0.1:" + managementPort + "\","
                + "\"seed\":\"8c1f30d27a5be965\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                + "\"known\":{\"generation\":0,\"reset\":true,\"instances\":[]},"
                + "\"settings\":" + settings() + "}";
    }

    private static String settings() {
        return "{\"instances\":1,\"slot_no\":0,\"zone\":0,\"azs\":[\"dc-1\"],\"shapes\":[\"type-a\"],"
                + "\"kind_of_service\":\"jobs\",\"tick_s\":0.004,\"registry_mode\":\"on_request\","
                + "\"reporting\":{\"fields\":[\"util\",\"eps\",\"x0\"],\"how\":\"piggyback\"},"
                + "\"lanes\":["
                + lane("status-read", 0.06, 5.0, "repeatable", 5.0) + ","
                + lane("list-report", 0.4, 6.0, "repeatable", 2.0) + ","
                + lane("apply-submit", 0.15, 6.0, "once", 5.0) + "],"
                + "\"specifics\":{\"class_kind\":[-1,-1,-1],\"class_priority\":[1,0,1],"
                + "\"class_stretch\":[2.5,2.0,2.5],\"tells_start\":true,\"progress_s\":2.0,"
                + "\"queue_order\":\"fifo\",\"report_x0\":\"free slots\"},"
                + "\"limits\":{\"send_cap\":5,\"may_cancel\":true,\"may_probe\":true,"
                + "\"second_copies\":true,\"retry_after\":true,\"max_retry_after_s\":2.0,"
                + "\"conn_idle_s\":15.0,\"dial_timeout_s\":0.25,\"max_open\":20000,\"max_streams\":1},"
                + "\"guarantees\":{\"grace_to_answer_s\":0.016,\"drain_grace_s\":0.5,"
                + "\"ask_every_s\":10.0,\"cold_share\":0.13,\"cold_s\":24.0,\"fall_multiple\":4.0,"
                + "\"fall_s\":2.0},"
                + "\"prices\":{\"cross_zone\":0.1,\"probe\":0.0021,\"handshake\":0.02}}";
    }

    private static String lane(
            String name, double aimS, double limitS, String semantics, double value) {
        return "{\"name\":\"" + name + "\",\"aim_s\":" + aimS + ",\"hard_limit_s\":" + limitS
                + ",\"semantics\":\"" + semantics + "\",\"dedup_scope\":\"all\",\"window_s\":5.0,"
                + "\"late_worth\":0.0,\"stream\":false,\"value\":" + value + "}";
    }
}
