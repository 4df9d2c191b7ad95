package damsonslip.platform;

import damsonslip.testkit.Program;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * The configuration of one scheduler of a large fleet with three zones and two machine types, only
 * one of which runs the class {@code special}.
 *
 * @param schedulers number of schedulers that share the workers
 * @param number slot of this scheduler among them
 * @param registryMode how lists are delivered: {@code on_request} or {@code pushed}
 * @param reporting how load reports are delivered: {@code piggyback}, or {@code pull} by probes
 * @param sockets number of descriptors that the scheduler may hold
 * @param idleS seconds after which workers close idle connections
 */
record FleetConfig(
        int schedulers, int number, String registryMode, String reporting, int sockets, int idleS) {
    private static final int ZONES = 3;

    FleetConfig withProbes() {
        return new FleetConfig(schedulers, number, registryMode, "pull", sockets, idleS);
    }

    FleetConfig withSockets(int most) {
        return new FleetConfig(schedulers, number, registryMode, reporting, most, idleS);
    }

    /** Writes the file; {@code more} holds further keys, each followed by a comma. */
    Path write(Path dir, int port, int discoveryPort, String known, String more)
            throws IOException {
        return Program.file(
                dir,
                "{"
                        + more
                        + "\"name\":\"n"
                        + number
                        + "\",\"listen\":\"127.0.0.1:"
                        + port
                        + "\",\"discovery\":\"127.0.0.1:"
                        + discoveryPort
                        + "\",\"seed\":\"8c1f30d2"
                        + number
                        + "\",\"limits\":{\"sockets\":"
                        + sockets
                        + "},\"known\":"
                        + known
                        + ",\"settings\":"
                        + settings()
                        + "}");
    }

    private String settings() {
        return "{\"instances\":"
                + schedulers
                + ",\"slot_no\":"
                + number
                + ",\"azs\":[\"zone-0\",\"zone-1\",\"zone-2\"],\"zone\":"
                + number % ZONES
                + ",\"shapes\":[\"k\",\"special\"],\"registry_mode\":\""
                + registryMode
                + "\",\"lanes\":["
                + lane("read", "repeatable")
                + ","
                + lane("submit", "once")
                + ","
                + lane("special", "once")
                + "],\"limits\":{\"send_cap\":5,\"may_cancel\":true,\"may_probe\":true,\"conn_idle_s\":"
                + idleS
                + ",\"dial_timeout_s\":0.25},\"reporting\":{\"how\":\""
                + reporting
                + "\",\"fields\":[\"x0\"]},"
                + "\"guarantees\":{\"drain_grace_s\":0.5,\"cold_share\":0.2,\"cold_s\":20,\"fall_multiple\":4,\"fall_s\":2},"
                + "\"specifics\":{\"tells_start\":true,\"class_kind\":[0,0,1]}}";
    }

    private static String lane(String name, String semantics) {
        return "{\"name\":\""
                + name
                + "\",\"aim_s\":0.5,\"hard_limit_s\":5,\"semantics\":\""
                + semantics
                + "\",\"value\":1}";
    }

    /** An entry of the list; entries are assigned to the zones in turn. */
    static String entry(String id, int place, int port, String kind) {
        return PlatformStage.entry(id, port, "ready")
                .replace("\"zone\":\"z\"", "\"zone\":\"zone-" + place % ZONES + "\"")
                .replace("\"machineType\":\"k\"", "\"machineType\":\"" + kind + "\"");
    }

    /** The complete or partial list, indented as discovery may send it. */
    static String indentedList(int generation, boolean whole, List<String> entries) {
        return PlatformStage.list(generation, whole, entries.toArray(String[]::new))
                .replace(",\"", ",\n      \"")
                .replace("{", "{\n      ")
                .replace("}", "\n    }");
    }
}
