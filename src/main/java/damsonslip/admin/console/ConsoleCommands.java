package damsonslip.admin.console;

import java.util.List;

/** The console's commands and their help text. */
final class ConsoleCommands {
    static final List<String> NAMES =
            List.of(
                    "workers",
                    "pools",
                    "queues",
                    "counters",
                    "waits",
                    "slow",
                    "events",
                    "invariants",
                    "stats",
                    "phase",
                    "disable",
                    "enable",
                    "drain",
                    "undrain",
                    "help",
                    "quit");
    static final String HELP =
            """
            workers    each worker: its state, what it has of ours, its free slots, its pool
            pools      each class's pool: its workers and slots, the rate and length of its jobs
            queues     each class: jobs present and held, and the threshold on those present
            counters   what was taken in, sent and answered since the start
            phase      where the program stands between its start and its exit
            waits      how long the loop has made things wait for their turn, since the start
            slow       peers that something is due from: what waits for them, their pace, \
            how long they may go on
            events [ID] the newest events, or those of one request: taken, sent, ended, \
            answered, closed and why
            invariants how often each rule was broken by what the program did; nought, or \
            there is a fault
            stats      the figures that the second address gives, by class
            disable ID nothing new goes to this worker from now on
            enable ID  this worker is used again, as one that has just started
            drain      clients are sent away, and the scheduler goes on
            undrain    clients are taken again
            quit       leaves the console; the scheduler goes on\
            """;

    private ConsoleCommands() {}
}
