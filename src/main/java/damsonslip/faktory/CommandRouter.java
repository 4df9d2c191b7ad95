package damsonslip.faktory;

import damsonslip.engine.Counters;
import damsonslip.faktory.codec.Command;
import damsonslip.faktory.codec.CommandError;
import damsonslip.faktory.codec.Reply;
import java.util.function.IntSupplier;

/** Passes each command to the service that handles it. Confined to the event loop. */
final class CommandRouter implements Command.Visitor<FaktoryConnection> {
    private final FaktoryServices services;
    private final ReportHandler reports;
    private final IntSupplier connectionCount;
    private long handledCommands;

    /**
     * Creates a router.
     *
     * @param connectionCount returns the number of open connections
     */
    CommandRouter(FaktoryServices services, Counters counters, IntSupplier connectionCount) {
        this.services = services;
        this.connectionCount = connectionCount;
        this.reports =
                new ReportHandler(
                        services.reservations(), services.coordinator().lateReports(), counters);
    }

    /** Handles a command received after the handshake; each gets exactly one reply. */
    void handle(FaktoryConnection connection, Command command) {
        handledCommands++;
        command.accept(this, connection);
    }

    /** Called once the recovery from the store is complete. */
    void recoveryCompleted() {
        reports.recoveryCompleted();
    }

    /** Replies to the reports that wait for the recovery, since the server shuts down. */
    void stopWaitingForRecovery() {
        reports.rejectEarlyReports();
    }

    @Override
    public void visit(Command.Hello hello, FaktoryConnection connection) {
        connection.reply(Reply.error(CommandError.error("HELLO was said already")));
    }

    @Override
    public void visit(Command.Push push, FaktoryConnection connection) {
        services.producers().push(connection, push);
    }

    @Override
    public void visit(Command.Fetch fetch, FaktoryConnection connection) {
        services.consumers().fetch(connection, fetch.queues());
    }

    @Override
    public void visit(Command.Ack ack, FaktoryConnection connection) {
        reports.acknowledge(connection, ack);
    }

    @Override
    public void visit(Command.Fail fail, FaktoryConnection connection) {
        reports.fail(connection, fail);
    }

    @Override
    public void visit(Command.Heartbeat heartbeat, FaktoryConnection connection) {
        services.workers().heartbeat(connection, heartbeat);
    }

    @Override
    public void visit(Command.TrackGet track, FaktoryConnection connection) {
        services.tracker().get(connection, track.jid());
    }

    /** Records a job's progress and extends its reservation if the command requests that. */
    @Override
    public void visit(Command.TrackSet track, FaktoryConnection connection) {
        services.tracker().set(track);
        if (track.reserveUntilMs() > 0 && !extendReservation(track, connection)) {
            String message = "this worker does not have job " + track.jid();
            connection.reply(Reply.error(CommandError.error(message)));
            return;
        }
        connection.reply(Reply.ok());
    }

    private boolean extendReservation(Command.TrackSet track, FaktoryConnection connection) {
        Worker worker = connection.worker();
        return worker != null
                && services.reservations().extend(worker, track.jid(), track.reserveUntilMs());
    }

    @Override
    public void visit(Command.Info info, FaktoryConnection connection) {
        int connections = connectionCount.getAsInt();
        String text = services.serverInfo().describe(connections, handledCommands);
        connection.reply(Reply.bulk(text));
    }

    @Override
    public void visit(Command.End end, FaktoryConnection connection) {
        connection.closeNow();
    }

    @Override
    public void visit(Command.Flush flush, FaktoryConnection connection) {
        services.queueCommands().flush(connection);
    }

    @Override
    public void visit(Command.Mutate mutate, FaktoryConnection connection) {
        services.mutateCommand().execute(connection, mutate);
    }

    @Override
    public void visit(Command.Queue queue, FaktoryConnection connection) {
        services.queueCommands().queue(connection, queue);
    }

    @Override
    public void visit(Command.BatchNew batch, FaktoryConnection connection) {
        services.batchCommands().create(connection, batch);
    }

    @Override
    public void visit(Command.BatchOpen batch, FaktoryConnection connection) {
        services.batchCommands().open(connection, batch.bid());
    }

    @Override
    public void visit(Command.BatchCommit batch, FaktoryConnection connection) {
        services.batchCommands().commit(connection, batch.bid());
    }

    @Override
    public void visit(Command.BatchStatus batch, FaktoryConnection connection) {
        services.batchCommands().status(connection, batch.bid());
    }
}
