package damsonslip.mgmt;

import damsonslip.core.Loop;
import damsonslip.net.Lines;
import damsonslip.net.Link;
import java.nio.ByteBuffer;
import java.util.List;
import org.eclipse.jetty.io.EndPoint;

/** One caller: its line, its answer, and the end. */
final class MgmtLink extends Link {
    /** No call is longer than a verb and a worker's id. */
    private static final int LONGEST_LINE = 512;
    /** Who has not said a whole call by then is let go: twice what an answer may take, and half of what holders hold. */
    private static final long WHOLE_US = 2_000_000;

    private final Mgmt mgmt;
    private final Lines lines = new Lines(LONGEST_LINE);
    private Loop.Timer overdue;
    private boolean answered;
    long openedUs;

    MgmtLink(EndPoint endPoint, Mgmt mgmt) {
        super(endPoint, mgmt.loop());
        this.mgmt = mgmt;
    }

    @Override
    protected void opened() {
        openedUs = mgmt.loop().now();
        overdue = mgmt.loop().in(WHOLE_US, () -> finish(Reply.no("no whole call came")));
        mgmt.opened(this);
    }

    @Override
    protected void received(ByteBuffer bytes) {
        byte[] part = new byte[bytes.remaining()];
        bytes.get(part);
        if (answered) {
            return;
        }
        List<String> whole = lines.take(part);
        if (whole == null || whole.stream().anyMatch(line -> line.length() > LONGEST_LINE)) {
            finish(Reply.no("the line is too long"));
        } else if (!whole.isEmpty()) {
            finish(mgmt.answer(whole.get(0)));
        }
    }

    private void finish(ByteBuffer reply) {
        if (!answered && !isClosed()) {
            answered = true;
            write(() -> { }, reply);
            endWhenWritten();
            mgmt.loop().in(WHOLE_US, this::end); // who does not read it has had as long as for the call
        }
    }

    @Override
    protected void lost() { }

    @Override
    protected void released() {
        if (overdue != null) {
            overdue.cancel();
        }
        mgmt.closed(this);
    }

    /** The order in which they go when there is no room: who is leaving anyway, then the oldest. */
    static int compareMissed(MgmtLink one, MgmtLink other) {
        int leaves = Boolean.compare(other.isLingering(), one.isLingering());
        return leaves != 0 ? leaves : Long.compare(one.openedUs, other.openedUs);
    }
}
