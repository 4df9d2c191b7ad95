package damsonslip.program;

import sun.misc.Signal;

/**
 * SIGHUP: read the settings again. Guards against the JVM's own way with this signal, which is to exit; it is in
 * place from the first moment to the last, so that one that comes during the start or a stop ends nothing either.
 */
final class HangUp {
    private Runnable reload;
    private boolean pending;

    private HangUp() { }

    /** Catches the signal from now on; what comes before {@link #then} is remembered for it. */
    static HangUp caught() {
        HangUp hangUp = new HangUp();
        Signal.handle(new Signal("HUP"), signal -> hangUp.came());
        return hangUp;
    }

    private synchronized void came() {
        if (reload == null) {
            pending = true;
        } else {
            reload.run();
        }
    }

    /** What to do about it. */
    synchronized void then(Runnable action) {
        reload = action;
        if (pending) {
            pending = false;
            action.run();
        }
    }
}
