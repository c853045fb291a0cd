package org.magnoliavane.http;

import java.util.ArrayList;
import java.util.List;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests that an executor goes on after the failure of a task. */
public class SerialExecutorTest {
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
