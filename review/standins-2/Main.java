package review2;

import java.io.IOException;

/** Runs one case: {@code Main CASE RECORD_FILE}, from the root of the repository. */
final class Main {
    private Main() {}

    public static void main(String[] args) {
        Case chosen =
                switch (args[0]) {
                    case "WipedRepeat" -> new WipedRepeatCase();
                    case "StoreOutage" -> new StoreOutageCase();
                    case "DiscoveryCut" -> new DiscoveryCutCase();
                    case "CrowdedHeap" -> new CrowdedHeapCase();
                    case "CopiedId" -> new CopiedIdCase();
                    default -> throw new IllegalArgumentException(args[0]);
                };
        try {
            chosen.run(args[1]);
        } catch (IOException e) {
            System.err.println("not played: " + e);
            System.exit(Case.COULD_NOT_RUN);
        }
    }
}
