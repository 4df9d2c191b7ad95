package damsonslip.faktory;

import damsonslip.core.Exchange;
import damsonslip.core.Query;
import damsonslip.faktory.sets.Fate;
import damsonslip.faktory.sets.Ledger.Entry;
import damsonslip.store.JobRecord;
import java.util.function.Consumer;

/** A job while the module has it: what a worker gets of it, and what is seen of its runs there. */
final class Handover implements Query.Cargo {
    final Entry entry;
    final long sinceUs;
    /** Its way through the core; set once the core has taken it. */
    Exchange exchange;
    /** Whether a worker may have had it before this. */
    final boolean ranBefore;
    /** Whether a worker has been given it since; and how the last of these runs failed, as far as is known. */
    boolean ran;
    Fate.Words failure;
    /** Whoever has told of its end and waits to hear that the store knows of it: gets an error, or null; or null. */
    Consumer<String> teller;

    Handover(Entry entry, long sinceUs) {
        this.entry = entry;
        this.sinceUs = sinceUs;
        this.ranBefore = !entry.record().neverRan();
    }

    String jid() {
        return entry.id();
    }

    String queue() {
        return entry.record().facts().queue();
    }

    JobRecord record() {
        return entry.record();
    }
}
