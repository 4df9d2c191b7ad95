package damsonslip.mgmt;

import damsonslip.core.Loop;
import damsonslip.net.Address;
import damsonslip.net.Link;
import damsonslip.net.Links;
import damsonslip.net.Room;
import damsonslip.operations.Operations;
import damsonslip.settings.BadInput;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.EndPoint;

/** Listens where the operators' tools call, on a selector of its own, beside whatever the clients do. */
public final class Mgmt implements Links.Accepting {
    /** Callers at a time; of more, the one that has held its connection longest without a whole call goes. */
    private static final int MOST_LINKS = 12;
    /** Callers that were accepted in a rush, before the loop has let others go: a whole call may be among them. */
    private static final int OVERFLOW = 24;
    /** Descriptors that all of this takes: the callers, the listener, and its selector's three. */
    public static final int SOCKETS = MOST_LINKS + OVERFLOW + 4;
    /** Nothing is connected to from here. */
    private static final long CONNECT_MS = 1_000;

    private final Loop loop;
    private final Room<MgmtLink> room = new Room<>(MOST_LINKS, OVERFLOW, link -> true, MgmtLink::compareMissed);
    private Operations operations;

    public Mgmt(Loop loop) {
        this.loop = loop;
    }

    /** Listens from now on; calls are answered with no until {@link #serves}. */
    public void listen(String address) throws BadInput {
        try {
            Links.start(loop, CONNECT_MS).listen(Address.parse(address), this);
        } catch (IllegalArgumentException e) {
            throw new BadInput("config: mgmt: " + e.getMessage());
        } catch (IOException e) {
            throw new BadInput("config: mgmt: cannot listen on " + address + ": " + e.getMessage());
        }
    }

    /** From now on calls are carried out; called on the loop. */
    public void serves(Operations by) {
        operations = by;
    }

    ByteBuffer answer(String line) {
        if (operations == null) {
            return Reply.no("starting");
        }
        try {
            Call call = Call.read(line);
            return switch (call.verb()) {
                case READY -> Reply.of(operations.ready());
                case STATS -> Reply.of(operations.figures());
                case DISABLE -> Reply.of(operations.disable(call.id()));
                case ENABLE -> Reply.of(operations.enable(call.id()));
                case DRAIN -> Reply.of(operations.drain());
                case UNDRAIN -> Reply.of(operations.undrain());
            };
        } catch (Call.Malformed e) {
            return Reply.no(e.getMessage());
        }
    }

    @Override
    public boolean admit() {
        return room.admit();
    }

    @Override
    public void turnedBack() {
        room.turnedBack();
    }

    @Override
    public Link open(EndPoint endPoint) {
        return new MgmtLink(endPoint, this);
    }

    void opened(MgmtLink link) {
        room.opened(link);
    }

    void closed(MgmtLink link) {
        room.closed(link);
    }

    Loop loop() {
        return loop;
    }
}
