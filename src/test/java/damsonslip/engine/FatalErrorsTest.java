package damsonslip.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import damsonslip.testkit.ChildProcess;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a process that neither serves nor ends: after an error that it cannot recover from
 * it has to end, so that it is noticed and started again.
 */
class FatalErrorsTest {
    /** What fails in the process. */
    enum Failure {
        TASK_OF_EVENT_LOOP {
            @Override
            void cause() {
                new EventLoop().execute(FatalErrorsTest::failWithoutMemory);
            }
        },
        THREAD_OF_POOL {
            @Override
            void cause() {
                new Thread(FatalErrorsTest::failWithoutMemory).start();
            }
        },
        ESSENTIAL_THREAD {
            @Override
            void cause() {
                Runnable work =
                        () -> {
                            throw new IllegalStateException("planted by the test");
                        };
                new Thread(() -> FatalErrors.runEssential("store", work)).start();
            }
        };

        abstract void cause();
    }

    private static void failWithoutMemory() {
        throw new OutOfMemoryError("planted by the test");
    }

    /** The process that fails; it would otherwise run for good. */
    static final class FailingProcess {
        public static void main(String[] args) throws InterruptedException {
            FatalErrors.handleUncaught();
            Failure.valueOf(args[0]).cause();
            new CountDownLatch(1).await();
        }
    }

    /** A process whose task overflows its stack, and which then ends itself. */
    static final class RecursiveProcess {
        private static int depth;

        public static void main(String[] args) {
            EventLoop loop = new EventLoop();
            loop.execute(RecursiveProcess::recurse);
            loop.execute(() -> System.exit(0));
        }

        private static void recurse() {
            depth++;
            if (depth > 0) {
                recurse();
            }
        }
    }

    @ParameterizedTest
    @EnumSource(Failure.class)
    void endsProcess(Failure failure) throws Exception {
        assertEquals(FatalErrors.EXIT_CODE, ChildProcess.run(FailingProcess.class, failure.name()));
    }

    @Test
    void goesOnAfterStackOverflowOfOneTask() throws Exception {
        assertEquals(0, ChildProcess.run(RecursiveProcess.class));
    }
}
