package damsonslip.tools.lab.soak;

import damsonslip.tools.lab.soak.FaultProxy.Condition;
import damsonslip.tools.lab.soak.InjectedFault.Kind;
import damsonslip.tools.lab.soak.Membership.Lifecycle;
import damsonslip.tools.lab.soak.SoakWorker.Mood;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One run of a plan: starts the fleet, lets clients and troubles loose, and hands what was seen to
 * the judge.
 */
final class SoakRun {
    /** Behind the ports that the tests use, before those that the system gives by itself. */
    private static final int FIRST_PORT = 20_000;

    private static final int PORTS = 12_000;
    private static final int MOST_PORTS = 64;
    private static final int CLIENTS_A_SCHEDULER = 3;
    private static final long LONGEST_STOP_US = 4 * Clock.SECOND;
    private static final long SETTLE_US = 3 * Clock.SECOND;
    private static final int USUAL_LEAVERS_PERCENT = 2;

    /**
     * A scheduler may be held up for 0.15 s (STANDING); the signals themselves take some of that.
     */
    private static final long LONGEST_PAUSE_US = 120 * Clock.MILLISECOND;

    /**
     * While all accepts fail nobody can be answered: shorter than the shortest time of a client.
     */
    private static final long LONGEST_SHUT_OUT_US = 400 * Clock.MILLISECOND;

    private static final List<Errno> ACCEPT_ERRORS =
            List.of(Errno.ENOBUFS, Errno.ENFILE, Errno.EMFILE, Errno.ENOMEM, Errno.EPROTO);
    private static final List<Errno> SOCKET_ERRORS =
            List.of(Errno.ENOBUFS, Errno.ENFILE, Errno.EMFILE, Errno.ENOMEM);
    private static final List<Errno> CONNECT_ERRORS =
            List.of(Errno.EADDRNOTAVAIL, Errno.ENETUNREACH, Errno.ECONNREFUSED, Errno.ETIMEDOUT);

    private final SoakPlan plan;
    private final long lengthUs;
    private final Path folder;
    private final Optional<Path> library;
    private final SchedulerProcess.Setup shared;
    private final Ledger ledger = new Ledger();
    private final Membership membership = new Membership();
    private final List<SoakWorker> workers = new ArrayList<>();
    private final List<SchedulerProcess> schedulers = new ArrayList<>();
    private final AtomicInteger leavePercent = new AtomicInteger(USUAL_LEAVERS_PERCENT);
    private final StallMonitor holdUps = new StallMonitor();

    /**
     * @param shared the setup whose folder and settings each scheduler replaces by its own
     */
    SoakRun(
            SoakPlan plan,
            long lengthUs,
            Path folder,
            Optional<Path> library,
            SchedulerProcess.Setup shared) {
        this.plan = plan;
        this.lengthUs = lengthUs;
        this.folder = folder;
        this.library = library;
        this.shared = shared;
    }

    /** Plays it, and gives what the judge found. */
    Verdict play() throws IOException, InterruptedException {
        try {
            for (int i = 0; i < plan.workers(); i++) {
                boolean behindProxy = i % 4 < 2; // half of each zone's
                workers.add(
                        new SoakWorker(
                                "w" + i,
                                "z" + i % 2,
                                ledger,
                                membership,
                                plan.seed() * 100 + i,
                                behindProxy));
            }
            startSchedulers();
            long cpuUs = cpuUs();
            load();
            cpuUs = cpuUs() - cpuUs;
            for (SchedulerProcess scheduler : schedulers) {
                scheduler.checkAlive();
            }
            return new SoakVerifier(plan, ledger, membership, schedulers, workers, holdUps)
                    .verdict(cpuUs);
        } finally {
            for (SchedulerProcess scheduler : schedulers) {
                scheduler.close();
            }
            for (SoakWorker worker : workers) {
                worker.close();
            }
            holdUps.stop();
        }
    }

    /** Means something only where no process is replaced. */
    private long cpuUs() {
        return schedulers.stream().mapToLong(SchedulerProcess::cpuUs).sum();
    }

    private void startSchedulers() throws IOException, InterruptedException {
        for (int i = 0; i < plan.processes(); i++) {
            Path own = Files.createDirectories(folder.resolve("n" + i));
            FaultControl faults = library.isPresent() ? new FaultControl(library.get(), own) : null;
            SchedulerProcess.Setup setup = shared.of(own, plan.settings(i));
            SchedulerProcess scheduler =
                    new SchedulerProcess(i, setup, freePort(i), faults, ledger, membership);
            schedulers.add(scheduler);
            scheduler.start();
        }
        for (SchedulerProcess scheduler : schedulers) {
            scheduler.awaitReady();
        }
    }

    /**
     * A port below those that the system hands out itself: a scheduler that starts anew needs its
     * own again.
     */
    private static int freePort(int number) throws IOException {
        int port = FIRST_PORT + (int) (ProcessHandle.current().pid() * MOST_PORTS + number) % PORTS;
        for (int tries = 0; tries < PORTS; tries++, port++) {
            try (ServerSocket free = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return free.getLocalPort();
            } catch (BindException e) {
                continue; // somebody else has it
            }
        }
        throw new IOException("lab: no port is free from " + FIRST_PORT);
    }

    private void load() throws InterruptedException {
        long fromUs = Clock.nowUs();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS_A_SCHEDULER * plan.processes(); i++) {
            SoakClient client =
                    new SoakClient(
                            "c" + i, schedulers, ledger, plan.seed() * 1_000 + i, leavePercent);
            threads.add(Threads.start("client", () -> client.run(fromUs + lengthUs)));
        }
        for (InjectedFault trouble : plan.troubles()) {
            threads.add(
                    Threads.start(
                            trouble.kind().name(),
                            () -> {
                                Clock.sleepUs(fromUs + trouble.fromUs() - Clock.nowUs());
                                make(trouble);
                            }));
        }
        for (Thread thread : threads) {
            thread.join(
                    Math.max(
                            1,
                            (fromUs + lengthUs + SETTLE_US + LONGEST_STOP_US - Clock.nowUs())
                                    / Clock.MILLISECOND));
        }
    }

    private void make(InjectedFault trouble) throws IOException, InterruptedException {
        switch (trouble.kind()) {
            case DRAIN, WORKER_DIES, WORKER_MOOD, NETWORK ->
                    happenTo(workers.get(trouble.target()), trouble);
            case DISCOVERY_DOWN, DISCOVERY_SLOW -> happenToDiscovery(trouble);
            case CLIENTS_LEAVE -> {
                leavePercent.set(40);
                Clock.sleepUs(trouble.forUs());
                leavePercent.set(USUAL_LEAVERS_PERCENT);
            }
            case BAD_CLIENTS -> badClients(trouble);
            case STOP, KILL, PAUSE, RELOAD, WATCH_SILENT, WATCH_RESET ->
                    happenTo(schedulers.get(trouble.target()), trouble);
            default -> {
                if (library.isPresent()) {
                    failCalls(schedulers.get(trouble.target()).faults(), trouble);
                }
            }
        }
    }

    private void happenTo(SoakWorker worker, InjectedFault trouble)
            throws IOException, InterruptedException {
        synchronized (worker) { // troubles of one worker come one after the other
            switch (trouble.kind()) {
                case DRAIN -> {
                    worker.list(Lifecycle.DRAINING);
                    Clock.sleepUs(trouble.forUs());
                    worker.list(Lifecycle.READY);
                }
                case WORKER_DIES -> {
                    worker.die();
                    if (trouble.choice() % 2 == 0) {
                        worker.list(Lifecycle.GONE);
                    }
                    Clock.sleepUs(trouble.forUs() / 2);
                    worker.comeBack();
                }
                case NETWORK -> {
                    worker.network(
                            Condition.values()[
                                    1 + trouble.choice() % (Condition.values().length - 1)]);
                    Clock.sleepUs(trouble.forUs());
                    worker.network(Condition.WELL);
                }
                default -> {
                    worker.mood(Mood.values()[1 + trouble.choice() % (Mood.values().length - 1)]);
                    Clock.sleepUs(trouble.forUs());
                    worker.mood(Mood.WELL);
                }
            }
        }
    }

    private void happenTo(SchedulerProcess scheduler, InjectedFault trouble)
            throws IOException, InterruptedException {
        switch (trouble.kind()) {
            case WATCH_SILENT -> scheduler.discovery().silence();
            case WATCH_RESET -> scheduler.discovery().endWatches();
            case PAUSE -> {
                for (long endUs = Clock.nowUs() + trouble.forUs(); Clock.nowUs() < endUs; ) {
                    scheduler.pause(LONGEST_PAUSE_US);
                    Clock.sleepUs(200 * Clock.MILLISECOND);
                }
            }
            default -> {
                synchronized (scheduler) { // one end or reload of a process after the other
                    switch (trouble.kind()) {
                        case STOP -> scheduler.restart(LONGEST_STOP_US);
                        case KILL ->
                                scheduler.killAndStart(
                                        300 * Clock.MILLISECOND + trouble.forUs() / 4);
                        default -> scheduler.reload();
                    }
                }
            }
        }
    }

    private void happenToDiscovery(InjectedFault trouble) throws InterruptedException {
        long waitUs = trouble.choice() % 3 * 500 * Clock.MILLISECOND;
        boolean down = trouble.kind() == Kind.DISCOVERY_DOWN;
        schedulers.forEach(scheduler -> scheduler.discovery().down(down, waitUs));
        Clock.sleepUs(trouble.forUs());
        schedulers.forEach(scheduler -> scheduler.discovery().down(false, 0));
    }

    private void badClients(InjectedFault trouble) throws InterruptedException {
        SchedulerProcess scheduler = schedulers.get(trouble.target());
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            Random random = new Random(trouble.choice() * 100L + i);
            threads.add(
                    Threads.start(
                            "bad client", () -> BadClient.trouble(scheduler, ledger, random)));
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private static void failCalls(FaultControl faults, InjectedFault trouble)
            throws InterruptedException {
        int every = 1 + trouble.choice() % 3;
        SystemCall call =
                switch (trouble.kind()) {
                    case ACCEPT_FAILS, ACCEPT_HELD -> SystemCall.ACCEPT;
                    case SOCKET_FAILS -> SystemCall.SOCKET;
                    case CONNECT_FAILS -> SystemCall.CONNECT;
                    case READ_INTERRUPTED -> SystemCall.SOCKET_READ;
                    case WRITE_SHORT -> SystemCall.SOCKET_WRITE;
                    case MEMORY_SHORT ->
                            trouble.choice() % 2 == 0
                                    ? SystemCall.SOCKET_READ
                                    : SystemCall.SOCKET_WRITE;
                    case WATCHING_FAILS -> SystemCall.EPOLL_CTL;
                    case THREADS_FAIL -> SystemCall.THREAD_CREATE;
                    default -> SystemCall.EPOLL_WAIT;
                };
        switch (trouble.kind()) {
            case ACCEPT_FAILS ->
                    faults.fail(
                            call,
                            ACCEPT_ERRORS.get(trouble.choice() % ACCEPT_ERRORS.size()),
                            every);
            case SOCKET_FAILS ->
                    faults.fail(
                            call,
                            SOCKET_ERRORS.get(trouble.choice() % SOCKET_ERRORS.size()),
                            every);
            case CONNECT_FAILS ->
                    faults.fail(
                            call,
                            CONNECT_ERRORS.get(trouble.choice() % CONNECT_ERRORS.size()),
                            every);
            case READ_INTERRUPTED, WAIT_INTERRUPTED -> faults.fail(call, Errno.EINTR, every + 1);
            case MEMORY_SHORT -> faults.fail(call, Errno.ENOMEM, every + 2);
            case WATCHING_FAILS -> faults.fail(call, Errno.ENOMEM, every + 1);
            case THREADS_FAIL -> faults.fail(call, Errno.EAGAIN, 1);
            case WRITE_SHORT -> faults.shorten(call, 20 + trouble.choice() % 100);
            case ACCEPT_HELD ->
                    faults.hold(
                            call, 10 + trouble.choice() % 30); // a crowd of accepts takes that each
            case WAIT_HELD -> faults.hold(call, 20 + trouble.choice() % 130);
            default -> faults.stepWallClock(Duration.ofHours(trouble.choice() % 2 == 0 ? 1 : -1));
        }
        boolean nobodyGetsIn = trouble.kind() == Kind.ACCEPT_FAILS && every == 1;
        Clock.sleepUs(nobodyGetsIn ? LONGEST_SHUT_OUT_US : trouble.forUs());
        if (trouble.kind() != Kind.WALL_CLOCK) { // a clock stays as it was set
            faults.restore(call);
        }
    }
}
