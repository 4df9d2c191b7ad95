package damsonslip.tools.lab.soak;

import damsonslip.tools.lab.soak.FaultProxy.Condition;
import damsonslip.tools.lab.soak.InjectedFault.Kind;
import damsonslip.tools.lab.soak.Membership.Lifecycle;
import damsonslip.tools.lab.soak.SoakWorker.Behavior;
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
 * One run of a plan: starts the fleet, runs the clients, injects the faults and verifies the
 * records.
 */
final class SoakRun {
    /** Above the ports that the tests use and below the ephemeral ports of the system. */
    private static final int FIRST_PORT = 20_000;

    private static final int PORTS = 12_000;
    private static final int MOST_PORTS = 64;
    private static final int CLIENTS_PER_SCHEDULER = 3;
    private static final long MAX_STOP_US = 4 * Clock.SECOND;
    private static final long SETTLE_US = 3 * Clock.SECOND;
    private static final int DEFAULT_DISCONNECT_PERCENT = 2;

    /**
     * A scheduler may be stalled for up to 0.15 s (STANDING); sending the signals takes part of
     * that.
     */
    private static final long MAX_PAUSE_US = 120 * Clock.MILLISECOND;

    /**
     * While all accepts fail no client can be answered, so this is less than the shortest time
     * limit of a request.
     */
    private static final long MAX_ACCEPT_OUTAGE_US = 400 * Clock.MILLISECOND;

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
    private final AtomicInteger disconnectPercent = new AtomicInteger(DEFAULT_DISCONNECT_PERCENT);
    private final StallMonitor stallMonitor = new StallMonitor();

    /**
     * @param shared common setup; each scheduler has its own folder and settings
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

    /** Runs the plan and returns the verdict. */
    Verdict run() throws IOException, InterruptedException {
        try {
            for (int i = 0; i < plan.workers(); i++) {
                boolean behindProxy = i % 4 < 2; // half of the workers of each zone
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
            return new SoakVerifier(plan, ledger, membership, schedulers, workers, stallMonitor)
                    .verdict(cpuUs);
        } finally {
            for (SchedulerProcess scheduler : schedulers) {
                scheduler.close();
            }
            for (SoakWorker worker : workers) {
                worker.close();
            }
            stallMonitor.stop();
        }
    }

    /** Valid only if no process is restarted meanwhile. */
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
     * Finds a free port below the ephemeral range: a restarted scheduler needs the same port again.
     */
    private static int freePort(int number) throws IOException {
        int port = FIRST_PORT + (int) (ProcessHandle.current().pid() * MOST_PORTS + number) % PORTS;
        for (int tries = 0; tries < PORTS; tries++, port++) {
            try (ServerSocket free = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return free.getLocalPort();
            } catch (BindException e) {
                continue; // in use
            }
        }
        throw new IOException("lab: no port is free from " + FIRST_PORT);
    }

    private void load() throws InterruptedException {
        long fromUs = Clock.nowUs();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS_PER_SCHEDULER * plan.processes(); i++) {
            SoakClient client =
                    new SoakClient(
                            "c" + i,
                            schedulers,
                            ledger,
                            plan.seed() * 1_000 + i,
                            disconnectPercent);
            threads.add(Threads.start("client", () -> client.run(fromUs + lengthUs)));
        }
        for (InjectedFault fault : plan.faults()) {
            threads.add(
                    Threads.start(
                            fault.kind().name(),
                            () -> {
                                Clock.sleepUs(fromUs + fault.fromUs() - Clock.nowUs());
                                inject(fault);
                            }));
        }
        for (Thread thread : threads) {
            thread.join(
                    Math.max(
                            1,
                            (fromUs + lengthUs + SETTLE_US + MAX_STOP_US - Clock.nowUs())
                                    / Clock.MILLISECOND));
        }
    }

    private void inject(InjectedFault fault) throws IOException, InterruptedException {
        switch (fault.kind()) {
            case DRAIN, WORKER_DIES, WORKER_MOOD, NETWORK ->
                    injectInto(workers.get(fault.target()), fault);
            case DISCOVERY_DOWN, DISCOVERY_SLOW -> injectIntoDiscovery(fault);
            case CLIENTS_LEAVE -> {
                disconnectPercent.set(40);
                Clock.sleepUs(fault.forUs());
                disconnectPercent.set(DEFAULT_DISCONNECT_PERCENT);
            }
            case BAD_CLIENTS -> badClients(fault);
            case STOP, KILL, PAUSE, RELOAD, WATCH_SILENT, WATCH_RESET ->
                    injectInto(schedulers.get(fault.target()), fault);
            default -> {
                if (library.isPresent()) {
                    failCalls(schedulers.get(fault.target()).faults(), fault);
                }
            }
        }
    }

    private void injectInto(SoakWorker worker, InjectedFault fault)
            throws IOException, InterruptedException {
        synchronized (worker) { // faults of one worker must not overlap
            switch (fault.kind()) {
                case DRAIN -> {
                    worker.list(Lifecycle.DRAINING);
                    Clock.sleepUs(fault.forUs());
                    worker.list(Lifecycle.READY);
                }
                case WORKER_DIES -> {
                    worker.crash();
                    if (fault.choice() % 2 == 0) {
                        worker.list(Lifecycle.GONE);
                    }
                    Clock.sleepUs(fault.forUs() / 2);
                    worker.restart();
                }
                case NETWORK -> {
                    worker.network(
                            Condition.values()[
                                    1 + fault.choice() % (Condition.values().length - 1)]);
                    Clock.sleepUs(fault.forUs());
                    worker.network(Condition.NORMAL);
                }
                default -> {
                    worker.behavior(
                            Behavior.values()[1 + fault.choice() % (Behavior.values().length - 1)]);
                    Clock.sleepUs(fault.forUs());
                    worker.behavior(Behavior.NORMAL);
                }
            }
        }
    }

    private void injectInto(SchedulerProcess scheduler, InjectedFault fault)
            throws IOException, InterruptedException {
        switch (fault.kind()) {
            case WATCH_SILENT -> scheduler.discovery().silenceWatches();
            case WATCH_RESET -> scheduler.discovery().resetWatches();
            case PAUSE -> {
                for (long endUs = Clock.nowUs() + fault.forUs(); Clock.nowUs() < endUs; ) {
                    scheduler.pause(MAX_PAUSE_US);
                    Clock.sleepUs(200 * Clock.MILLISECOND);
                }
            }
            default -> {
                synchronized (scheduler) { // restarts and reloads of one process must not overlap
                    switch (fault.kind()) {
                        case STOP -> scheduler.restart(MAX_STOP_US);
                        case KILL ->
                                scheduler.killAndStart(300 * Clock.MILLISECOND + fault.forUs() / 4);
                        default -> scheduler.reload();
                    }
                }
            }
        }
    }

    private void injectIntoDiscovery(InjectedFault fault) throws InterruptedException {
        long delayUs = fault.choice() % 3 * 500 * Clock.MILLISECOND;
        boolean down = fault.kind() == Kind.DISCOVERY_DOWN;
        schedulers.forEach(scheduler -> scheduler.discovery().setDown(down, delayUs));
        Clock.sleepUs(fault.forUs());
        schedulers.forEach(scheduler -> scheduler.discovery().setDown(false, 0));
    }

    private void badClients(InjectedFault fault) throws InterruptedException {
        SchedulerProcess scheduler = schedulers.get(fault.target());
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            Random random = new Random(fault.choice() * 100L + i);
            threads.add(
                    Threads.start("bad client", () -> BadClient.run(scheduler, ledger, random)));
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private static void failCalls(FaultControl faults, InjectedFault fault)
            throws InterruptedException {
        int every = 1 + fault.choice() % 3;
        SystemCall call =
                switch (fault.kind()) {
                    case ACCEPT_FAILS, ACCEPT_HELD -> SystemCall.ACCEPT;
                    case SOCKET_FAILS -> SystemCall.SOCKET;
                    case CONNECT_FAILS -> SystemCall.CONNECT;
                    case READ_INTERRUPTED -> SystemCall.SOCKET_READ;
                    case WRITE_SHORT -> SystemCall.SOCKET_WRITE;
                    case MEMORY_SHORT ->
                            fault.choice() % 2 == 0
                                    ? SystemCall.SOCKET_READ
                                    : SystemCall.SOCKET_WRITE;
                    case WATCHING_FAILS -> SystemCall.EPOLL_CTL;
                    case THREADS_FAIL -> SystemCall.THREAD_CREATE;
                    default -> SystemCall.EPOLL_WAIT;
                };
        switch (fault.kind()) {
            case ACCEPT_FAILS ->
                    faults.fail(
                            call, ACCEPT_ERRORS.get(fault.choice() % ACCEPT_ERRORS.size()), every);
            case SOCKET_FAILS ->
                    faults.fail(
                            call, SOCKET_ERRORS.get(fault.choice() % SOCKET_ERRORS.size()), every);
            case CONNECT_FAILS ->
                    faults.fail(
                            call,
                            CONNECT_ERRORS.get(fault.choice() % CONNECT_ERRORS.size()),
                            every);
            case READ_INTERRUPTED, WAIT_INTERRUPTED -> faults.fail(call, Errno.EINTR, every + 1);
            case MEMORY_SHORT -> faults.fail(call, Errno.ENOMEM, every + 2);
            case WATCHING_FAILS -> faults.fail(call, Errno.ENOMEM, every + 1);
            case THREADS_FAIL -> faults.fail(call, Errno.EAGAIN, 1);
            case WRITE_SHORT -> faults.shorten(call, 20 + fault.choice() % 100);
            case ACCEPT_HELD ->
                    faults.hold(call, 10 + fault.choice() % 30); // for each accept of a burst
            case WAIT_HELD -> faults.hold(call, 20 + fault.choice() % 130);
            default -> faults.stepWallClock(Duration.ofHours(fault.choice() % 2 == 0 ? 1 : -1));
        }
        boolean allAcceptsFail = fault.kind() == Kind.ACCEPT_FAILS && every == 1;
        Clock.sleepUs(allAcceptsFail ? MAX_ACCEPT_OUTAGE_US : fault.forUs());
        if (fault.kind() != Kind.WALL_CLOCK) { // the clock keeps its offset
            faults.restore(call);
        }
    }
}
