package org.carobdoor.node.gateway.control;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.carobdoor.node.gateway.log.DecisionLog;

/**
 * A task of the event loop whose errors are logged. The loop drops an error silently, and never
 * runs a periodic task again that has thrown one.
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

    /** Runs {@code task} each {@code periodMillis}, also after it has failed. */
    static void repeat(
            EventLoop loop, String name, Runnable task, long periodMillis, DecisionLog log) {
        GuardedTask guarded = new GuardedTask(name, task, log);
        loop.scheduleWithFixedDelay(guarded, periodMillis, periodMillis, TimeUnit.MILLISECONDS);
    }

    /** Runs {@code task} now. */
    static void run(String name, Runnable task, DecisionLog log) {
        new GuardedTask(name, task, log).run();
    }

    @Override
    public void run() {
        try {
            task.run();
        } catch (RuntimeException e) {
            log.failed(name, e);
        }
    }
}
