package damsonslip.cli;

import java.lang.reflect.Field;
import java.lang.reflect.InaccessibleObjectException;
import java.util.Hashtable;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;

/**
 * Replaces the JDK's table of signal handlers. The JDK's dispatcher looks a signal up there and
 * starts a thread for the handler that it finds; this table passes the signal to a {@link
 * SignalThread} instead and returns no handler.
 *
 * <p>It needs {@code java.base/jdk.internal.misc} to be open, which the manifest of the jar
 * requests. If it is not open, or a JDK stores its handlers elsewhere, the JDK's own table stays in
 * place and a warning is logged.
 */
@SuppressWarnings({"JdkObsolete", "UnsynchronizedOverridesSynchronized"}) // the JDK field's type
final class SignalTable extends Hashtable<Object, Object> {
    private static final long serialVersionUID = 1L;
    private static final Logger LOG = LoggerFactory.getLogger(SignalTable.class);
    private static final String JDK_CLASS = "jdk.internal.misc.Signal";
    private static final String JDK_FIELD = "handlers";

    /** The JDK's dispatching thread; others look handlers up only in order to replace them. */
    private static final String DISPATCHER = "Signal Dispatcher";

    /** Installed when this class is first used; null if the JDK's table stays in place. */
    private static final SignalTable INSTALLED = install();

    private record Registration(Signal signal, SignalThread thread) {}

    /** Keyed by the text form of the JDK's signals, such as {@code SIGTERM}. */
    private final transient Map<String, Registration> registrations = new ConcurrentHashMap<>();

    private SignalTable(Map<?, ?> handlers) {
        super(handlers);
    }

    /** Passes this signal to the thread from now on, if the table could be installed. */
    static void register(Signal signal, SignalThread thread) {
        if (INSTALLED != null) {
            INSTALLED.registrations.put(signal.toString(), new Registration(signal, thread));
        }
    }

    private static SignalTable install() {
        try {
            Class<?> jdkSignal = Class.forName(JDK_CLASS);
            Field field = jdkSignal.getDeclaredField(JDK_FIELD);
            field.setAccessible(true);
            synchronized (jdkSignal) { // the lock under which Signal.handle changes the table
                SignalTable table = new SignalTable((Map<?, ?>) field.get(null));
                field.set(null, table);
                return table;
            }
        } catch (ReflectiveOperationException
                | InaccessibleObjectException
                | ClassCastException e) {
            LOG.warn("event=signal_threads_not_reserved error=\"{}\"", e.getMessage());
            return null;
        }
    }

    @Override
    public Object get(Object jdkSignal) {
        Registration registration = registrations.get(jdkSignal.toString());
        if (registration == null || !Thread.currentThread().getName().equals(DISPATCHER)) {
            return super.get(jdkSignal);
        }
        registration.thread().receive(registration.signal());
        return null;
    }

    /** Identity is enough, since the JDK never compares tables. */
    @Override
    public boolean equals(Object other) {
        return this == other;
    }

    @Override
    public int hashCode() {
        return System.identityHashCode(this);
    }
}
