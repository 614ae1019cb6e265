package org.carobdoor.node.gateway.control;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.carobdoor.node.gateway.log.DecisionLog;

/**
 * Logs the exceptions of a task on the event loop. The loop discards exceptions silently, and
 * cancels a periodic task that throws one.
 */
final class GuardedTask implements Runnable {
    private final String name;
    private final Runnable task;
    private final DecisionLog log;

    private GuardedTask(String name, Runnable task, DecisionLog log) {
        this.name = name;
        this.task = task;
        this.log = log;
    }

    /**
     * Runs {@code task} periodically, with {@code delayMillis} after each run, even if it fails.
     */
    static void repeat(
            EventLoop loop, String name, Runnable task, long delayMillis, DecisionLog log) {
        GuardedTask guarded = new GuardedTask(name, task, log);
        loop.scheduleWithFixedDelay(guarded, delayMillis, delayMillis, TimeUnit.MILLISECONDS);
    }

    /** Runs {@code task} immediately. */
    static void run(String name, Runnable task, DecisionLog log) {
        new GuardedTask(name, task, log).run();
    }

    @Override
    public void run() {
        try {
            task.run();
        } catch (RuntimeException e) {
            log.error(name, e);
        }
    }
}
