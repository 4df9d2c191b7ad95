package review2;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One scheduler of the platform, started by the line {@code run} of the deploy file. */
final class PlatformScheduler implements AutoCloseable {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final long START_TIMEOUT_MS = 30_000;
    private static final int NO_MANAGEMENT = 0;

    final int port;
    private final Path log;
    private final Path config;
    private final Path temporary;
    private final String run;
    private final int management;
    private Process process;

    PlatformScheduler(Path folder, String name, int discoveryPort, String known) throws IOException {
        port = Scheduler.freePort();
        management = NO_MANAGEMENT;
        log = folder.resolve(name + ".log");
        config = folder.resolve(name + ".json");
        temporary = Files.createDirectory(folder.resolve(name + ".tmp"));
        Matcher found = RUN.matcher(Files.readString(Path.of("deploy/balancer.toml")));
        if (!found.find()) {
            throw new IOException("deploy/balancer.toml has no run");
        }
        run = found.group(1);
        Files.writeString(
                config,
                "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port
                        + "\",\"discovery\":\"127.0.0.1:" + discoveryPort
                        + "\",\"seed\":\"1f2e3d4c5b6a7988\","
                        + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                        + "\"known\":" + known + ",\"settings\":" + SETTINGS + "}");
    }

    /** Another process of this scheduler, or its first one, with a second address for operators. */
    private PlatformScheduler(PlatformScheduler other, Path log) throws IOException {
        port = other.port;
        config = other.config;
        temporary = other.temporary;
        run = other.run;
        this.log = log;
        management = Scheduler.freePort();
    }

    /** Returns a process of this scheduler that is not started yet, with a second address. */
    PlatformScheduler process(String name) throws IOException {
        return new PlatformScheduler(this, log.resolveSibling(name + ".log"));
    }

    /** Whether the process says YES to READY at its second address. */
    boolean isReady() throws IOException {
        try (Http http = Http.connect(management)) {
            http.send("READY\n");
            return new String(http.socket.getInputStream().readNBytes(3), UTF_8).equals("YES");
        } catch (java.net.ConnectException e) {
            return false;
        }
    }

    /** Sends SIGTERM. */
    void terminate() {
        process.destroy();
    }

    void start() throws IOException, InterruptedException {
        ProcessBuilder builder =
                new ProcessBuilder("/bin/sh", "-c", run)
                        .redirectErrorStream(true)
                        .redirectOutput(log.toFile());
        builder.environment().put("ROUTER_CONFIG", config.toString());
        builder.environment().put("TMPDIR", temporary.toString());
        if (management != NO_MANAGEMENT) {
            builder.environment().put("ROUTER_MGMT", "127.0.0.1:" + management);
        }
        process = builder.start();
        Process started = process;
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
        long end = System.nanoTime() + START_TIMEOUT_MS * 1_000_000;
        while (management == NO_MANAGEMENT ? !isHealthy() : !isReady()) {
            if (System.nanoTime() > end || !process.isAlive()) {
                throw new IOException("the scheduler did not start: " + Files.readString(log));
            }
            Thread.sleep(50);
        }
    }

    private boolean isHealthy() throws IOException {
        try (Http http = Http.connect(port)) {
            http.send("GET /healthz HTTP/1.1\r\nHost: app.svc\r\n\r\n");
            Http.Message answer = http.read();
            return answer != null && answer.firstLine().contains(" 200 ");
        } catch (java.net.ConnectException e) {
            return false;
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    String log() throws IOException {
        return Files.readString(log);
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    /** Settings of a small deployment that asks discovery, whose workers report with each answer. */
    private static final String SETTINGS =
            """
            {"instances":1,"slot_no":0,"zone":0,"azs":["dc-1"],"shapes":["type-a"],
             "registry_mode":"on_request","tick_s":0.004,"realms":[],
             "reporting":{"how":"piggyback","fields":["util","eps","x0"]},
             "lanes":[
              {"name":"status-read","semantics":"repeatable","dedup_scope":"all","aim_s":0.06,
               "hard_limit_s":5.0,"late_worth":0.0,"stream":false,"value":5.0,"window_s":5.0},
              {"name":"apply-submit","semantics":"once","dedup_scope":"all","aim_s":0.15,
               "hard_limit_s":6.0,"late_worth":0.0,"stream":false,"value":5.0,"window_s":5.0},
              {"name":"offer-reply","semantics":"by_key","dedup_scope":"zone","aim_s":0.25,
               "hard_limit_s":6.0,"late_worth":0.0,"stream":false,"value":3.0,"window_s":10.0}],
             "specifics":{"class_kind":[-1,-1,-1],"class_priority":[1,1,0],
              "class_stretch":[2.5,2.5,2.0],"progress_s":2.0,"queue_order":"fifo",
              "report_x0":"free slots","tells_start":true},
             "limits":{"conn_idle_s":15.0,"cpu_us_per_request":0,"cpu_us_per_s":800000,
              "dial_timeout_s":0.25,"max_open":20000,"max_retry_after_s":2.0,"max_streams":1,
              "may_cancel":true,"may_probe":true,"peers":false,"retry_after":true,
              "second_copies":true,"send_cap":5},
             "prices":{"cross_zone":0.1,"handshake":0.02,"late_fail":0.08,"probe":0.0021,
              "waste":0.25},
             "guarantees":{"ask_every_s":10.0,"cold_s":24.0,"cold_share":0.13,"drain_grace_s":0.5,
              "fall_multiple":4.0,"fall_s":2.0,"grace_to_answer_s":0.016}}
            """;
}
