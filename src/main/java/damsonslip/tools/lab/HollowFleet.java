package damsonslip.tools.lab;

import com.fasterxml.jackson.core.JsonProcessingException;
import damsonslip.config.ConfigurationException;
import damsonslip.config.JsonTreeReader;
import damsonslip.config.SiteSettings;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Generates the endpoint list and settings of a simulated fleet of a given size. The same seed
 * gives the same worker ids.
 *
 * @param workers number of workers in the list
 * @param schedulers schedulers that share them
 * @param teams tenants with quotas
 * @param zones zones that the workers are spread over
 * @param seed seed of the worker ids
 */
record HollowFleet(int workers, int schedulers, int teams, int zones, long seed) {
    /**
     * Two machine types and three job classes, one for each kind of retry semantics, as on the
     * operators' sites.
     */
    private static final String SETTINGS =
            """
            {"instances":%d,"slot_no":0,"zone":0,"azs":[%s],"shapes":["k0","k1"],"registry_mode":"on_request",
            "lanes":[{"name":"read","aim_s":30,"hard_limit_s":60,"semantics":"repeatable","value":1},
            {"name":"key","aim_s":30,"hard_limit_s":60,"semantics":"by_key","dedup_scope":"all","window_s":60,"value":2},
            {"name":"submit","aim_s":30,"hard_limit_s":60,"semantics":"once","value":3}],
            "realms":[%s],"limits":{"send_cap":5,"may_cancel":true,"conn_idle_s":15,"dial_timeout_s":0.25},
            "guarantees":{"grace_to_answer_s":0.016,"drain_grace_s":0.5,"ask_every_s":10,"cold_share":0.25,"cold_s":15,
            "fall_multiple":4,"fall_s":2},"reporting":{"how":"piggyback"},"specifics":{"tells_start":true},"tick_s":0.004}\
            """;

    static final int CLASSES = 3;
    private static final int CELL_SIZE = 6;
    private static final int FIRST_PORT = 7_070;

    String settingsText() {
        String names = names("z", zones);
        String quotas =
                IntStream.range(0, teams)
                        .mapToObj(
                                team ->
                                        String.format(
                                                Locale.ROOT,
                                                "{\"name\":\"t%d\",\"quota_per_s\":%.3f}",
                                                team,
                                                2 * Goal.JOB_STARTS_PER_SECOND / teams))
                        .collect(Collectors.joining(","));
        return SETTINGS.formatted(schedulers, names, quotas);
    }

    SiteSettings site() throws ConfigurationException {
        try {
            return SiteSettings.read(JsonTreeReader.read(settingsText()));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(
                    "generated settings of the simulated fleet are invalid", e);
        }
    }

    /** Returns an id like those that orchestrators assign: opaque and unordered. */
    String id(int worker) {
        return "s-"
                + String.format(
                        Locale.ROOT,
                        "%08x",
                        new SplittableRandom(seed * 1_000_003 + worker).nextInt());
    }

    int zone(int worker) {
        return worker % zones;
    }

    /** Returns an entry of the endpoint list in the wire format of discovery. */
    String entry(int worker, String lifecycle) {
        return entry(
                worker,
                lifecycle,
                "10.%d.%d.%d:%d"
                        .formatted(
                                1 + worker / 62_500,
                                worker / 250 % 250,
                                1 + worker % 250,
                                FIRST_PORT));
    }

    String entry(int worker, String lifecycle, String address) {
        return "{\"instanceId\":\""
                + id(worker)
                + "\",\"hostPort\":\""
                + address
                + "\",\"zone\":\"z"
                + zone(worker)
                + "\",\"machineType\":\"k"
                + worker % 2
                + "\",\"cell\":"
                + worker / CELL_SIZE
                + ",\"lifecycle\":\""
                + lifecycle
                + "\",\"weight\":1.0,\"startedAtMs\":0}";
    }

    String fullList(int generation) {
        return list(generation, true, "ready", 0, workers);
    }

    /**
     * Returns an incremental update for the workers from {@code from} (inclusive) to {@code to}
     * (exclusive).
     */
    String changes(int generation, String lifecycle, int from, int to) {
        return list(generation, false, lifecycle, from, to);
    }

    private String list(int generation, boolean full, String lifecycle, int from, int to) {
        return envelope(
                generation,
                full,
                IntStream.range(from, to)
                        .mapToObj(worker -> entry(worker, lifecycle))
                        .collect(Collectors.joining(",")));
    }

    static String envelope(int generation, boolean full, String entries) {
        return "{\"generation\":"
                + generation
                + ",\"reset\":"
                + full
                + ",\"instances\":["
                + entries
                + "]}";
    }

    private static String names(String prefix, int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> '"' + prefix + i + '"')
                .collect(Collectors.joining(","));
    }
}
