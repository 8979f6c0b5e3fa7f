package passhatch.proxy;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * A task that the event loop runs again and again, for as long as the loop runs. What it throws is logged and
 * does not end the repetition: the event loop would drop the task silently.
 */
final class RepeatingTask {

    private final EventLoop loop;
    private final long intervalUs;
    private final Runnable task;

    private RepeatingTask(EventLoop loop, long intervalUs, Runnable task) {
        this.loop = loop;
        this.intervalUs = intervalUs;
        this.task = task;
    }

    /**
     * Runs a task for the first time now, and then each time that the interval has passed since its last run.
     *
     * @param name what the log calls the task if it throws
     * @param intervalUs from the end of a run to the next one, in microseconds
     */
    static void start(EventLoop loop, EventLog log, String name, long intervalUs, Runnable task) {
        new RepeatingTask(loop, intervalUs, FailureIsolation.isolated(log, "a repeated task: " + name, task))
                .run();
    }

    private void run() {
        task.run();
        loop.schedule(this::run, intervalUs, TimeUnit.MICROSECONDS);
    }
}
