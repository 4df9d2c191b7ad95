package damsonslip.platform.client;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Remembers the ids of the latest requests, more than can arrive within the longest deadline. */
final class RecentRequestIds {
    private static final int MAX_IDS = 4_000;

    private final Set<String> ids = Collections.newSetFromMap(new BoundedMap());

    boolean contains(String id) {
        return ids.contains(id);
    }

    void add(String id) {
        ids.add(id);
    }

    private static final class BoundedMap extends LinkedHashMap<String, Boolean> {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_IDS;
        }
    }
}
