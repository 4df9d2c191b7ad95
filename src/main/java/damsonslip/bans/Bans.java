package damsonslip.bans;

import damsonslip.Dispatch.ListMode;
import damsonslip.Dispatch.Status;
import damsonslip.Dispatch.Worker;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Bans by worker id, laid over discovery's list. A banned worker drains, whatever the list says of it and however often
 * it leaves and returns; one that is put back counts as started at that moment, unless the list names a later start,
 * since operators restart it meanwhile.
 */
public final class Bans {
    private static final String HEAD = "damsonslip bans 1";
    /** A worker put back longer ago than this is warm everywhere; its entry is dropped. */
    private static final long REMEMBERED_US = 600_000_000;

    /** A text that holds no bans; the message is one plain line. */
    public static final class Unreadable extends Exception {
        private static final long serialVersionUID = 1L;

        Unreadable(String message) {
            super(message);
        }
    }

    /** What the list said of each worker last; one that it left out has gone. */
    private final Map<String, Worker> told = new TreeMap<>();
    private final Set<String> banned = new TreeSet<>();
    private final Map<String, Long> back = new TreeMap<>();

    /** Takes a list in and gives it as the decisions shall see it. */
    public List<Worker> listed(ListMode mode, List<Worker> list) {
        if (mode == ListMode.COMPLETE || mode == ListMode.KEPT) {
            told.replaceAll((id, worker) -> with(worker, Status.GONE, worker.startedUs()));
        }
        list.forEach(worker -> told.put(worker.id(), worker));
        return list.stream().map(this::seen).toList();
    }

    private Worker seen(Worker worker) {
        boolean out = banned.contains(worker.id()) && worker.status() == Status.RUNNING;
        Status status = out ? Status.DRAINING : worker.status();
        return with(worker, status, Math.max(worker.startedUs(), back.getOrDefault(worker.id(), Long.MIN_VALUE)));
    }

    private static Worker with(Worker w, Status status, long startedUs) {
        return new Worker(w.id(), w.zone(), w.cell(), w.kind(), status, startedUs);
    }

    /** Whether any list has named this worker, or it is banned. */
    public boolean knows(String id) {
        return told.containsKey(id) || banned.contains(id);
    }

    public boolean bars(String id) {
        return banned.contains(id);
    }

    /** Takes a worker out; gives what the decisions have to be told, which is nothing the second time. */
    public List<Worker> ban(String id) {
        return banned.add(id) ? news(List.of(id)) : List.of();
    }

    /** Puts a worker back, once for however many bans; one that was not out stays as it is. */
    public List<Worker> lift(String id, long nowUs) {
        if (!banned.remove(id)) {
            return List.of();
        }
        back.put(id, nowUs);
        return news(List.of(id));
    }

    private List<Worker> news(Collection<String> ids) {
        return ids.stream().filter(told::containsKey).map(id -> seen(told.get(id))).toList();
    }

    /** The workers that the list holds now, whether they run or drain. */
    public Set<String> targets() {
        return told.values().stream().filter(worker -> worker.status() != Status.GONE).map(Worker::id)
            .collect(Collectors.toCollection(TreeSet::new));
    }

    /** All of it as lines, to be read by {@link #replace}. */
    public String text(long nowUs) {
        back.values().removeIf(at -> at < nowUs - REMEMBERED_US);
        StringBuilder text = new StringBuilder(HEAD).append('\n');
        banned.forEach(id -> text.append("out ").append(id).append('\n'));
        back.forEach((id, at) -> text.append("back ").append(id).append(' ').append(at).append('\n'));
        return text.append("end\n").toString();
    }

    /** Takes over what another process has kept; gives what the decisions have to be told. Half a text changes nothing. */
    public List<Worker> replace(String text) throws Unreadable {
        List<String> lines = text.lines().toList();
        if (lines.size() < 2 || !lines.get(0).equals(HEAD) || !lines.get(lines.size() - 1).equals("end")) {
            throw new Unreadable("not a whole text of '" + HEAD + "'");
        }
        Set<String> out = new TreeSet<>();
        Map<String, Long> returned = new HashMap<>();
        for (String line : lines.subList(1, lines.size() - 1)) {
            String[] words = line.split(" ");
            if (words.length == 2 && words[0].equals("out")) {
                out.add(words[1]);
            } else if (words.length == 3 && words[0].equals("back") && words[2].matches("[0-9]{1,18}")) {
                returned.put(words[1], Long.parseLong(words[2]));
            } else {
                throw new Unreadable("a line that is not understood: " + line);
            }
        }
        Set<String> changed = new TreeSet<>(out);
        changed.addAll(banned);
        changed.removeIf(id -> out.contains(id) && banned.contains(id));
        returned.forEach((id, at) -> {
            if (!at.equals(back.put(id, at))) {
                changed.add(id);
            }
        });
        banned.clear();
        banned.addAll(out);
        return new ArrayList<>(news(changed));
    }
}
