package org.magnoliavane.http;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntConsumer;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests that an executor goes on after the failure of a task, and that tasks do not nest without limit. */
public class SerialExecutorTest {
    /** Stack of the threads of a deployment. */
    private static final long STACK_BYTES = 256 << 10;

    @DataProvider
    public Object[][] failures() {
        return new Object[][] {
            {new IllegalStateException()}, {new OutOfMemoryError()}, {new StackOverflowError()}, {new AssertionError()}
        };
    }

    /** Guards against requests that nobody ends, because an error of one task kept all later tasks from running. */
    @Test(dataProvider = "failures")
    public void tasksRunAfterATaskHasFailed(Throwable failure) {
        List<String> calls = new ArrayList<>();
        List<Throwable> reported = new ArrayList<>();
        SerialExecutor executor = SerialExecutor.create(reported::add);
        runIgnoringFailure(executor, () -> {
            executor.execute(() -> calls.add("submitted before the failure"));
            throwUnchecked(failure);
        });
        executor.execute(() -> calls.add("submitted after the failure"));
        assertEquals(calls, List.of("submitted before the failure", "submitted after the failure"));
        assertEquals(reported.size(), 1);
        assertTrue(reported.get(0) == failure);
    }

    /** Guards against requests that nobody ends, because the logger failed as well, such as for lack of memory. */
    @Test
    public void tasksRunAfterAFailureThatCannotBeLogged() {
        tasksRunAfterATaskHasFailed(new IllegalStateException() {
            @Override
            public String getMessage() {
                throw new StackOverflowError();
            }
        });
    }

    /**
     * Guards against a stack overflow, and state that is left half changed by it, when many requests cause each other's tasks, as
     * when each of them hands on capacity to the next one.
     */
    @Test
    public void theDepthOfCallsDoesNotGrowWithTheNumberOfExecutorsThatCauseEachOthersTasks()
            throws InterruptedException {
        int shallow = measureDepth(10);
        assertEquals(measureDepth(100_000), shallow);
    }

    /** Guards against a part of a response that is passed on only after the next one has been read. */
    @Test
    public void tasksOfAnExchangeItsRequestAndItsWriterRunBeforeTheSubmissionReturns() {
        List<String> calls = new ArrayList<>();
        SerialExecutor request = SerialExecutor.create();
        SerialExecutor writer = SerialExecutor.create();
        SerialExecutor.create().execute(() -> {
            request.execute(() -> {
                writer.execute(() -> calls.add("written"));
                calls.add("handled");
            });
            calls.add("delivered");
        });
        assertEquals(calls, List.of("written", "handled", "delivered"));
    }

    /** Guards against tasks that nobody runs, because the task that caused them has failed. */
    @Test
    public void tasksBeyondTheDepthRunAlsoIfTheOnesBeforeFail() throws InterruptedException {
        List<Integer> calls = new ArrayList<>();
        runOnSmallStack(() -> submitChain(100, i -> {
            calls.add(i);
            throw new IllegalStateException("test");
        }));
        assertEquals(calls.size(), 100);
    }

    /** Runs tasks of a number of executors, each of which submits the next one, and returns the largest number of stack frames. */
    private static int measureDepth(int executors) throws InterruptedException {
        int[] depth = {0, 0};
        runOnSmallStack(() -> submitChain(executors, i -> {
            depth[0] = Math.max(depth[0], countFrames());
            depth[1]++;
        }));
        assertEquals(depth[1], executors, "number of tasks that ran");
        return depth[0];
    }

    private static void submitChain(int executors, IntConsumer onTask) {
        SerialExecutor.create().execute(() -> {
            if (executors > 1) {
                submitChain(executors - 1, onTask);
            }
            onTask.accept(executors);
        });
    }

    private static int countFrames() {
        return StackWalker.getInstance().walk(s -> (int) s.count());
    }

    private static void runOnSmallStack(Runnable task) throws InterruptedException {
        Thread thread = new Thread(null, task, "test", STACK_BYTES);
        thread.start();
        thread.join();
    }

    private static void runIgnoringFailure(SerialExecutor executor, Runnable task) {
        try {
            executor.execute(task);
        } catch (Throwable e) {
            // What the executor does afterwards is what the test is about.
            return;
        }
    }

    @SuppressWarnings("unchecked")
    private static <T extends Throwable> void throwUnchecked(Throwable failure) throws T {
        throw (T) failure;
    }
}
