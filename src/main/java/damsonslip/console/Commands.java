package damsonslip.console;

import java.util.List;

/** What can be asked, and how it is explained. */
final class Commands {
    static final List<String> NAMES = List.of("workers", "pools", "queues", "counters", "phase", "drain", "help", "quit");
    static final String HELP = """
        workers    each worker: its state, what it has of ours, its free slots, its pool
        pools      each class's pool: its workers and slots, the rate and length of its jobs
        queues     each class: jobs present and held, and the threshold on those present
        counters   what was taken in, sent and answered since the start
        phase      where the program stands between its start and its exit
        drain ID   nothing new goes to this worker from now on
        quit       leaves the console; the scheduler goes on""";

    private Commands() { }
}
