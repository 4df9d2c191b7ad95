package damsonslip.policy;

import damsonslip.policy.api.Action;
import damsonslip.policy.api.SetTimer;
import damsonslip.policy.api.Settings;
import java.util.List;
import java.util.SplittableRandom;

/**
 * What all decisions on one event share: its time, the current settings, the random numbers, and
 * the list to which actions are appended.
 *
 * <p>Times are microseconds of the events' clock. Not safe for use by several threads.
 */
final class DecisionContext {
    private final SplittableRandom random;
    private Settings settings;
    private long nowUs = Long.MIN_VALUE;
    private List<Action> actions;

    DecisionContext(Settings settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
    }

    /** Starts to handle an event, whose actions go to this list. */
    void begin(long eventUs, List<Action> eventActions) {
        nowUs = eventUs;
        actions = eventActions;
    }

    /** Moves the time forward without an event. */
    void advanceTo(long timeUs) {
        nowUs = Math.max(nowUs, timeUs);
    }

    long nowUs() {
        return nowUs;
    }

    Settings settings() {
        return settings;
    }

    void replaceSettings(Settings newSettings) {
        settings = newSettings;
    }

    SplittableRandom random() {
        return random;
    }

    /** Appends an action. */
    void emit(Action action) {
        actions.add(action);
    }

    /** Appends a timer that is due after this delay. */
    void setTimerIn(long delayUs, String label) {
        setTimerAt(nowUs + delayUs, label);
    }

    /** Appends a timer that is due at this time. */
    void setTimerAt(long timeUs, String label) {
        actions.add(new SetTimer(timeUs, label, null));
    }

    /** Appends a timer that is due at this time, unless the job has its final answer by then. */
    void setJobTimerAt(long timeUs, String label, Job job) {
        actions.add(new SetTimer(timeUs, label, job.id()));
    }
}
