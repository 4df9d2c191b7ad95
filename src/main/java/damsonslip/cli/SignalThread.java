package damsonslip.cli;

import damsonslip.engine.FatalErrors;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;

/**
 * A thread, started in advance, that runs the action for a signal. The JDK starts a thread for each
 * signal that it receives, and drops the signal if the system cannot start one (pthread_create(3),
 * EAGAIN). Signals are handled one at a time, in the order in which they were received.
 */
final class SignalThread {
    private static final Logger LOG = LoggerFactory.getLogger(SignalThread.class);

    private final Action action;
    private final BlockingQueue<Received> received = new LinkedBlockingQueue<>();

    /** The action to run on a signal. */
    interface Action {
        /**
         * Handles one signal.
         *
         * @param receivedNs the {@link System#nanoTime} at which the process received it
         */
        void run(Signal signal, long receivedNs);
    }

    private record Received(Signal signal, long atNs) {}

    private SignalThread(Action action) {
        this.action = action;
    }

    /**
     * Runs the action on each of these signals from now on, instead of the JDK's default action. If
     * the JDK's table of handlers cannot be replaced, the action runs on a thread that the JDK
     * starts on each signal.
     *
     * @param names names of signals without their prefix, such as {@code TERM}
     */
    static void handle(Action action, String... names) {
        SignalThread thread = new SignalThread(action);
        thread.start("signals-" + names[0]);
        for (String name : names) {
            Signal signal = new Signal(name);
            Signal.handle(signal, raised -> action.run(raised, System.nanoTime()));
            SignalTable.register(signal, thread);
        }
    }

    private void start(String name) {
        Thread thread = new Thread(this::runActions, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** Queues a signal; called on the JDK's dispatching thread, which must not block. */
    void receive(Signal signal) {
        received.add(new Received(signal, System.nanoTime()));
    }

    private void runActions() {
        while (true) {
            try {
                Received next = received.take();
                action.run(next.signal(), next.atNs());
            } catch (InterruptedException e) {
                return; // nothing but the end of the JVM interrupts this thread
            } catch (RuntimeException | Error e) {
                FatalErrors.endProcessIfFatal(e);
                LOG.error("event=signal_action_failed", e);
            }
        }
    }
}
