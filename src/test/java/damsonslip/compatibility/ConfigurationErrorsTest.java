package damsonslip.compatibility;

import damsonslip.testkit.FaktoryServer;
import damsonslip.testkit.Program;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Messages and exit codes when the configuration or the command line is invalid. */
class ConfigurationErrorsTest {
    private static final Pattern LOG_LINE =
            Pattern.compile("^[0-9]{2}:[0-9]{2}:[0-9]{2}\\.[0-9]{3} ");
    private static final Map<String, String> NO_ADDRESSES =
            Map.of(
                    "ROUTER_CONFIG",
                    "",
                    "ROUTER_LISTEN",
                    "",
                    "ROUTER_DISCOVERY",
                    "",
                    "ROUTER_NAME",
                    "",
                    "ROUTER_MGMT",
                    "");
    private static final String VALID =
            "{\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:1\","
                    + "\"settings\":{\"instances\":1,\"lanes\":[{\"name\":\"read\"}]}}";

    private static final List<String> INVALID_PLATFORM_FILES =
            List.of(
                    "",
                    "{",
                    "[]",
                    "{}",
                    "nonsense",
                    VALID.replace("\"listen\":\"127.0.0.1:1\",", ""),
                    VALID.replace("\"discovery\":\"127.0.0.1:1\",", ""),
                    VALID.replace("\"listen\":\"127.0.0.1:1\"", "\"listen\":\"nowhere\""),
                    VALID.replace("\"listen\":\"127.0.0.1:1\"", "\"listen\":\"127.0.0.1:99999\""),
                    VALID.replace("\"discovery\":\"127.0.0.1:1\"", "\"discovery\":\"host.name:1\""),
                    VALID.replace("{\"listen\"", "{\"seed\":\"none\",\"listen\""),
                    VALID.replace("{\"listen\"", "{\"mgmt\":\"nowhere\",\"listen\""),
                    VALID.replace("{\"listen\"", "{\"known\":{\"instances\":5},\"listen\""),
                    VALID.replace("\"settings\"", "\"other\""),
                    VALID.replace("\"instances\":1,", ""),
                    VALID.replace("\"instances\":1", "\"instances\":\"one\""),
                    VALID.replace("\"instances\":1", "\"instances\":0"),
                    VALID.replace("\"instances\":1", "\"instances\":1,\"tick_s\":\"short\""),
                    VALID.replace("\"instances\":1", "\"instances\":1,\"registry_mode\":\"other\""),
                    VALID.replace(
                            "\"instances\":1", "\"instances\":1,\"reporting\":{\"how\":\"other\"}"),
                    VALID.replace("\"read\"", "\"read\",\"semantics\":\"twice\""),
                    VALID.replace("\"read\"", "\"read\",\"dedup_scope\":\"street\""),
                    VALID.replace("\"read\"", "\"read\",\"aim_s\":\"soon\""));

    @TempDir Path dir;

    /** Waits for the exit; returns the exit code and the output without log lines (time first). */
    private static String awaitExit(Program program) throws InterruptedException {
        try (program) {
            int code = program.exit();
            String messages =
                    program.output()
                            .lines()
                            .filter(line -> !LOG_LINE.matcher(line).find())
                            .map(line -> line + "\n")
                            .collect(Collectors.joining());
            return "exit " + code + "\n" + messages;
        }
    }

    private String startPlatform(Path file) throws Exception {
        return awaitExit(new Program(file, "serve"));
    }

    private String startFaktory(Path file) throws Exception {
        return awaitExit(new Program(null, "serve", file.toString()));
    }

    @Test
    void reportsErrorsOfThePlatformsFile() throws Exception {
        Recording recording =
                new Recording("errors-platform")
                        .masking("config: " + dir + "/[^:]*:", "config: <file>:");
        recording.add(
                "no file is named", awaitExit(new Program(null, NO_ADDRESSES, List.of(), "serve")));
        recording.add("file missing", startPlatform(dir.resolve("missing.json")));
        recording.add("a folder", startPlatform(Files.createDirectory(dir.resolve("folder"))));
        for (String text : INVALID_PLATFORM_FILES) {
            recording.add(text, startPlatform(Program.file(dir, text)));
        }
        recording.verify();
    }

    @Test
    void reportsAnAddressInUse() throws Exception {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            String address = "127.0.0.1:" + taken.getLocalPort();
            Recording recording =
                    new Recording("errors-address-in-use").replacing(address, "<taken>");
            recording.add(
                    "clients",
                    startPlatform(
                            Program.file(
                                    dir,
                                    VALID.replace(
                                            "\"listen\":\"127.0.0.1:1\"",
                                            "\"listen\":\"" + address + "\""))));
            recording.add(
                    "management",
                    startPlatform(
                            Program.file(
                                    dir,
                                    VALID.replace(
                                            "{\"listen\"",
                                            "{\"mgmt\":\"" + address + "\",\"listen\""))));
            recording.add(
                    "Faktory",
                    startFaktory(
                            Program.file(
                                    dir, FaktoryServer.settings(taken.getLocalPort(), "memory"))));
            recording.verify();
        }
    }

    private Path faktoryFile(String... replacements) throws IOException {
        int port = Program.freePort();
        String text = FaktoryServer.settings(port, "memory", replacements);
        return Program.file(dir, text.replace("127.0.0.1:" + port, "127.0.0.1:1"));
    }

    @Test
    void reportsErrorsOfTheFaktoryFile() throws Exception {
        Recording recording =
                new Recording("errors-faktory")
                        .masking("nowhere:[0-9]+", "nowhere:<port>")
                        .masking("config: " + dir + "/[^:]*:", "config: <file>:");
        recording.add("file missing", startFaktory(dir.resolve("missing.toml")));
        for (String text :
                List.of(
                        "",
                        "name = ",
                        "name = 'n'",
                        "name = 'n'\nlisten = '127.0.0.1:1'",
                        "store = 'disk'")) {
            recording.add(text, startFaktory(Program.file(dir, text)));
        }
        String[][] replacements = {
            {"name = \"school-desk\"", ""},
            {"\"memory\"", "\"redis://nowhere:many\""},
            {"listen = \"127.0.0.1:", "listen = \"nowhere:"},
            {"console = \"127.0.0.1:7420\"", "console = \"nowhere\""},
            {"mgmt = \"\"", "mgmt = \"nowhere\""},
            {"links = 800", "links = 0"},
            {"links = 800", "links = \"many\""},
            {"longest_line = 1048576", "longest_line = 10"},
            {"queue_order = \"strict\"", "queue_order = \"random\""},
            {"default_class = \"background\"", "default_class = \"no-such\""},
            {"class = \"status-read\"", "class = \"no-such\""},
            {"instances = 1 ", "instances = 0 "},
            {"semantics = \"by_key\"", "semantics = \"twice\""},
            {"grace_s = 10", "grace_s = 1.5"},
            {"aim_s = 0.06", "aim_s = \"soon\""},
            {"instances = 1 ", "schedulers = 1 "}
        };
        for (String[] each : replacements) {
            recording.add(String.join(" -> ", each), startFaktory(faktoryFile(each)));
        }
        recording.verify();
    }

    @Test
    void reportsUsage() throws Exception {
        Recording recording = new Recording("errors-command-line");
        for (String line :
                List.of(
                        "",
                        "jump",
                        "serve a b",
                        "simhost a",
                        "fleet",
                        "fleet a b",
                        "conformance",
                        "conformance nowhere",
                        "conformance --jump",
                        "bench",
                        "bench nowhere",
                        "lab",
                        "lab jump",
                        "console nowhere phase")) {
            String[] words = line.isEmpty() ? new String[0] : line.split(" ");
            recording.add(line, awaitExit(new Program(null, words)));
        }
        recording.verify();
    }
}
