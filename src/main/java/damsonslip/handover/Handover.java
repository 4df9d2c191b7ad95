package damsonslip.handover;

import damsonslip.bans.Bans;
import damsonslip.core.Driver;
import damsonslip.core.Loop;
import damsonslip.kin.Kin;
import java.io.IOException;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Keeps this process in step with the others of its scheduler; every method but the first is called on the loop. */
public final class Handover {
    private static final Logger LOG = LoggerFactory.getLogger(Handover.class);
    /** The folder is looked at this often: a fifth of the grace that a ban told to another process has to hold in. */
    private static final long LOOK_US = 100_000;

    private final Folder folder;
    private final Loop loop;
    private final Driver driver;
    private final Consumer<Kin> changed;
    private Kin kin = Kin.ALONE;
    private boolean over;

    /**
     * Takes up what is in the folder.
     *
     * @param changed told whenever this process stands otherwise among its kin
     */
    public Handover(Folder folder, Loop loop, Driver driver, Consumer<Kin> changed) {
        this.folder = folder;
        this.loop = loop;
        this.driver = driver;
        this.changed = changed;
    }

    /** Looks at once, and from then on again and again. */
    public void begin() {
        look();
        if (!over) {
            loop.in(LOOK_US, this::begin);
        }
    }

    /** Looks now; tells how this process stands. */
    public Kin look() {
        if (over) {
            return kin;
        }
        try {
            takeOver();
            Kin now = folder.kin();
            if (!now.equals(kin)) {
                kin = now;
                LOG.info("processes of this scheduler: {}, this one is number {}{}", now.processes(), now.index(),
                    now.succeeded() ? ", a successor serves" : "");
                changed.accept(now);
            }
        } catch (IOException e) {
            LOG.warn("the folder of marks and bans cannot be read: {}", e.getMessage());
        }
        return kin;
    }

    private void takeOver() throws IOException {
        String news = folder.news();
        if (news != null) {
            try {
                driver.takeOver(news);
                LOG.info("took over the operators' bans");
            } catch (Bans.Unreadable e) {
                LOG.warn("the kept bans cannot be used: {}", e.getMessage());
            }
        }
    }

    /** Makes a change of the bans hold in every process: on top of what the others have kept, and whole. */
    public void change(Runnable change) throws IOException {
        folder.guarded(() -> {
            takeOver();
            change.run();
            folder.keep(driver.bans());
        });
    }

    /** From now on this process is the successor of those before it. */
    public void serving() throws IOException {
        folder.serving();
    }

    /** This process ends. */
    public void close() {
        over = true;
        try {
            folder.close();
        } catch (IOException e) {
            LOG.warn("the mark stays behind: {}", e.getMessage());
        }
    }
}
