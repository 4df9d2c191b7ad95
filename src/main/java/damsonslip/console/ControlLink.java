package damsonslip.console;

import damsonslip.net.Lines;
import damsonslip.net.Link;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.eclipse.jetty.io.EndPoint;

/** An operator's connection: a line in, some lines out, and a full stop on a line of its own. */
final class ControlLink extends Link {
    static final String STOP = ".";
    private static final int MOST_LINE = 4 * 1024;

    private final Control control;
    private final Lines lines = new Lines(MOST_LINE);

    ControlLink(EndPoint endPoint, Control control) {
        super(endPoint, control.loop());
        this.control = control;
    }

    @Override
    protected void opened() {
        // it was counted when it was admitted
    }

    @Override
    protected void received(ByteBuffer bytes) {
        byte[] part = new byte[bytes.remaining()];
        bytes.get(part);
        List<String> whole = lines.take(part);
        if (whole == null) {
            end();
            return;
        }
        for (String line : whole) {
            String told = control.answer(line).stripTrailing() + "\n" + STOP + "\n";
            write(() -> { }, ByteBuffer.wrap(told.getBytes(StandardCharsets.UTF_8)));
        }
    }

    @Override
    protected void lost() { }

    @Override
    protected void released() {
        control.closed();
    }
}
