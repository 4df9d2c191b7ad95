package damsonslip.compatibility;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The contents of a store as a text file with one JSON array per line. The first line holds the
 * time at which the contents were recorded.
 */
final class StoredEntries {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String RECORDED = "recorded";
    private static final String BATCHES_KEY = "damsonslip:batch:" + StoredJobsScenario.SCHEDULER;
    private static final Pattern MILLIS = Pattern.compile("\\b1[0-9]{12}\\b");
    private static final Pattern INSTANT =
            Pattern.compile("[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9:]{8}(\\.[0-9]+)?Z");

    /** The description of a rejected job contains the measured time to wait before a retry. */
    private static final Pattern REJECTION_DELAY = Pattern.compile("after [0-9]+\\.[0-9]{3} s");

    /** Ended jobs are stored by the hour in which they ended. */
    private static final Pattern ENDED_HOUR = Pattern.compile("ended:[0-9]+:");

    private static final Pattern HEARTBEAT = Pattern.compile("heartbeat \\| [0-9]+");

    private static final Pattern SEQUENCE = Pattern.compile("\"seq\":([0-9]+)");

    private StoredEntries() {}

    static void write(Path file, List<List<String>> entries) throws IOException {
        StringBuilder text = new StringBuilder();
        String nowMs = Long.toString(System.currentTimeMillis());
        text.append(JSON.writeValueAsString(List.of(RECORDED, nowMs))).append('\n');
        for (List<String> entry : entries) {
            text.append(JSON.writeValueAsString(entry)).append('\n');
        }
        Files.createDirectories(file.getParent());
        Files.writeString(file, text);
    }

    /** The entries exactly as they were recorded. */
    static List<List<String>> read(Path file) throws IOException {
        List<String> lines = Files.readAllLines(file);
        return parse(lines.subList(1, lines.size()));
    }

    /** The entries with every time shifted as if they had been recorded just now. */
    static List<List<String>> readAsOfNow(Path file) throws IOException {
        List<String> lines = Files.readAllLines(file);
        long recordedMs = Long.parseLong(JSON.readTree(lines.get(0)).get(1).asText());
        long shiftMs = System.currentTimeMillis() - recordedMs;
        List<String> shifted = new ArrayList<>();
        for (String line : lines.subList(1, lines.size())) {
            shifted.add(
                    MILLIS.matcher(line)
                            .replaceAll(
                                    match ->
                                            Long.toString(
                                                    Long.parseLong(match.group()) + shiftMs)));
        }
        return parse(shifted);
    }

    private static List<List<String>> parse(List<String> lines) throws IOException {
        List<List<String>> entries = new ArrayList<>();
        for (String line : lines) {
            List<String> entry = new ArrayList<>();
            JSON.readTree(line).forEach(part -> entry.add(part.asText()));
            entries.add(entry);
        }
        return entries;
    }

    /** The id of the batch with this description. */
    static String batchId(List<List<String>> entries, String description) throws IOException {
        for (List<String> entry : entries) {
            if (entry.get(1).equals(BATCHES_KEY)) {
                JsonNode batch = JSON.readTree(entry.get(3));
                if (batch.path("description").asText().equals(description)) {
                    return entry.get(2);
                }
            }
        }
        throw new AssertionError("no batch '" + description + "' is stored");
    }

    /** The entries as sorted lines in which everything that differs between two runs is masked. */
    static String masked(List<List<String>> entries) throws IOException {
        List<String> lines = new ArrayList<>();
        for (List<String> entry : entries) {
            lines.add(String.join(" | ", entry).replace("\n", "\\n"));
        }
        String text = withSequenceRanks(String.join("\n", lines));
        for (String description : List.of("open", "child", "complete", "ended")) {
            text = text.replace(batchId(entries, description), "BATCH-" + description);
        }
        text = mask(text, MILLIS, "MILLISECONDS");
        text = mask(text, INSTANT, "INSTANT");
        text = mask(text, REJECTION_DELAY, "after DELAY s");
        text = mask(text, ENDED_HOUR, "ended:HOUR:");
        text = mask(text, HEARTBEAT, "heartbeat | NUMBER");
        return String.join("\n", text.lines().sorted().toList());
    }

    /**
     * Replaces the jobs' sequence numbers by their ranks: each process begins above the numbers of
     * earlier ones, and only the order is saved with them.
     */
    private static String withSequenceRanks(String text) {
        List<Long> ascending =
                SEQUENCE.matcher(text)
                        .results()
                        .map(match -> Long.valueOf(match.group(1)))
                        .distinct()
                        .sorted()
                        .toList();
        return SEQUENCE.matcher(text)
                .replaceAll(match -> "\"seq\":" + (rank(ascending, match.group(1)) + 1));
    }

    private static int rank(List<Long> ascending, String sequence) {
        return ascending.indexOf(Long.valueOf(sequence));
    }

    private static String mask(String text, Pattern pattern, String replacement) {
        return pattern.matcher(text).replaceAll(Matcher.quoteReplacement(replacement));
    }
}
