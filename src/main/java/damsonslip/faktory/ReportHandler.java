package damsonslip.faktory;

import damsonslip.engine.Counters;
import damsonslip.engine.Counters.Count;
import damsonslip.faktory.codec.Command;
import damsonslip.faktory.codec.CommandError;
import damsonslip.faktory.codec.Reply;
import damsonslip.faktory.jobs.RetryPolicy.RunFailure;
import java.util.ArrayList;
import java.util.List;

/**
 * Handles ACK and FAIL, workers' reports on their jobs. A report that arrives after the job has
 * ended, or from a worker that no longer holds the job, is acknowledged and counted but changes
 * nothing, since the outcome of that run is settled. Confined to the event loop.
 */
final class ReportHandler {
    /**
     * The maximum number of reports that are queued until the recovery from the store is complete.
     */
    private static final int MAX_EARLY_REPORTS = 10_000;

    /**
     * The maximum length of a failure's type, and below of its message, since failures stay in
     * memory while their jobs wait for a retry.
     */
    private static final int MAX_ERROR_TYPE_CHARACTERS = 256;

    private static final int MAX_ERROR_MESSAGE_CHARACTERS = 2_048;

    private static final CommandError NOT_A_WORKER =
            CommandError.error("only a worker may tell how a job ended");

    private static final CommandError RECOVERING =
            CommandError.error("what is in the store is being taken up; tell it again in a moment");

    private final Reservations reservations;
    private final LateReports lateReports;
    private final Counters counters;

    /** The reports received before the recovery was complete. */
    private final List<Report> earlyReports = new ArrayList<>();

    private boolean recovered;
    private boolean rejectsEarlyReports;

    /**
     * What a worker tells of a job.
     *
     * @param failure how the run failed; null if it succeeded
     */
    private record Report(FaktoryConnection connection, String jid, RunFailure failure) {}

    ReportHandler(Reservations reservations, LateReports lateReports, Counters counters) {
        this.reservations = reservations;
        this.lateReports = lateReports;
        this.counters = counters;
    }

    void acknowledge(FaktoryConnection connection, Command.Ack ack) {
        handle(new Report(connection, ack.jid(), null));
    }

    void fail(FaktoryConnection connection, Command.Fail fail) {
        RunFailure failure =
                new RunFailure(
                        truncate(fail.type(), MAX_ERROR_TYPE_CHARACTERS),
                        truncate(fail.message(), MAX_ERROR_MESSAGE_CHARACTERS),
                        fail.backtrace());
        handle(new Report(connection, fail.jid(), failure));
    }

    private static String truncate(String text, int maxCharacters) {
        return text.length() <= maxCharacters ? text : text.substring(0, maxCharacters);
    }

    private void handle(Report report) {
        if (report.connection.worker() == null) {
            report.connection.reply(Reply.error(NOT_A_WORKER));
        } else if (recovered) {
            handleNow(report);
        } else if (!rejectsEarlyReports && earlyReports.size() < MAX_EARLY_REPORTS) {
            earlyReports.add(report);
        } else {
            reject(report);
        }
    }

    private void handleNow(Report report) {
        Worker worker = report.connection.worker();
        CommandCallback callback = CommandCallback.replyTo(report.connection);
        if (!reservations.report(worker, report.jid, report.failure, callback)
                && !lateReports.report(worker.wid, report.jid, report.failure, callback)) {
            counters.add(Count.WORDS_LATE);
            report.connection.reply(Reply.ok());
        }
    }

    private static void reject(Report report) {
        report.connection.reply(Reply.error(RECOVERING));
    }

    /** Called once the recovery is complete; handles the reports that were queued until then. */
    void recoveryCompleted() {
        recovered = true;
        earlyReports.forEach(this::handleNow);
        earlyReports.clear();
    }

    /** Rejects the reports that wait for the recovery, and further ones until it is complete. */
    void rejectEarlyReports() {
        rejectsEarlyReports = true;
        earlyReports.forEach(ReportHandler::reject);
        earlyReports.clear();
    }
}
