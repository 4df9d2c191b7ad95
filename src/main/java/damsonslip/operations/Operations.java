package damsonslip.operations;

import damsonslip.Dispatch.WorkerState;
import damsonslip.core.Answer.Kind;
import damsonslip.core.Counters;
import damsonslip.core.Counters.Count;
import damsonslip.core.Driver;
import damsonslip.core.Front;
import damsonslip.core.Phase;
import damsonslip.core.Phase.State;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The operators' calls; every method is called on the loop. */
public final class Operations {
    private static final Logger LOG = LoggerFactory.getLogger(Operations.class);

    /** Carries out a change of the bans so that it outlives the process, where there is a place for that. */
    public interface Keeper {
        void change(Runnable change) throws IOException;
    }

    private final Phase phase;
    private final Counters counters;
    private final Front front;
    private final Keeper keeper;

    public Operations(Phase phase, Counters counters, Front front, Keeper keeper) {
        this.phase = phase;
        this.counters = counters;
        this.front = front;
        this.keeper = keeper;
    }

    public Verdict ready() {
        State state = phase.state();
        return new Verdict(state == State.SERVING, state.name().toLowerCase(Locale.ROOT));
    }

    /** Nothing more goes to this worker, until {@link #enable}. */
    public Verdict disable(String id) {
        return changed(id, front.driver()::disable, id + " gets nothing new");
    }

    /** The worker is used again, cold. */
    public Verdict enable(String id) {
        return changed(id, front.driver()::enable, id + " is used again");
    }

    private Verdict changed(String id, Predicate<String> change, String done) {
        boolean[] known = new boolean[1];
        try {
            keeper.change(() -> known[0] = change.test(id));
        } catch (IOException e) {
            LOG.warn("the bans cannot be kept: {}", e.getMessage());
            return Verdict.no("it cannot be kept for other processes; say it again");
        }
        if (!known[0]) {
            return Verdict.no("no such worker: " + id);
        }
        LOG.info("operator: {}", done);
        return Verdict.yes(done);
    }

    /** Clients are sent away; the process goes on. */
    public Verdict drain() {
        if (phase.atLeast(State.LEAVING)) {
            return Verdict.yes("leaving already");
        }
        if (!front.drain()) {
            return Verdict.no("this front does not send its clients away");
        }
        return Verdict.yes("clients are sent away");
    }

    public Verdict undrain() {
        if (phase.atLeast(State.LEAVING)) {
            return Verdict.no("leaving");
        }
        front.undrain();
        return Verdict.yes("serving");
    }

    /** All figures at this moment. */
    public List<Figure> figures() {
        Driver driver = front.driver();
        List<Figure> figures = new ArrayList<>();
        for (int i = 0; i < driver.classes(); i++) {
            String name = front.className(i);
            figures.add(Figure.count("success." + name, driver.answers(i, Kind.SERVED)));
            figures.add(Figure.count("overload." + name, driver.answers(i, Kind.THROTTLED)));
            figures.add(Figure.count("error." + name, driver.answers(i, Kind.FAILED)));
        }
        figures.add(Figure.count("dispatches", counters.get(Count.EXECUTIONS_WRITTEN)));
        figures.add(Figure.gauge("concurrent", driver.open()));
        Set<String> targets = driver.targets();
        Map<String, WorkerState> known = driver.workers().stream()
            .collect(Collectors.toMap(WorkerState::id, worker -> worker));
        figures.add(Figure.gauge("targets", targets.size()));
        figures.add(Figure.gauge("targets_disabled", targets.stream().map(known::get)
            .filter(worker -> worker != null && (!worker.running() || worker.paused())).count()));
        figures.add(Figure.count("reload_success", counters.get(Count.RELOADS_DONE)));
        figures.add(Figure.count("reload_failure", counters.get(Count.RELOADS_REFUSED)));
        return figures;
    }
}
