package org.carobdoor.node.logging;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import org.carobdoor.node.settings.LogSettings;
import org.slf4j.LoggerFactory;

/** Configures logging. The log is written to standard output, since the VMs have no disk. */
public final class LogSetup {
    private static final String PATTERN =
            "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX,UTC} %-5level %logger{20} %msg%kvp%n%ex{5}";

    private static final String CONSOLE = "console";

    /** Maximum number of log lines queued for standard output. */
    private static final int MAX_QUEUED_LINES = 2048;

    private LogSetup() {}

    /**
     * Applies {@code settings} as {@link #apply} does, but drops log lines while standard output is
     * blocked, so that logging never blocks the calling thread.
     */
    public static void applyNonBlocking(LogSettings settings) {
        apply(settings);
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        AsyncAppender async = new AsyncAppender();
        async.setContext(context);
        async.setNeverBlock(true);
        async.setQueueSize(MAX_QUEUED_LINES);
        async.setDiscardingThreshold(0);
        Appender<ILoggingEvent> console = root.getAppender(CONSOLE);
        root.detachAppender(console);
        async.addAppender(console);
        async.start();
        root.addAppender(async);
    }

    /** Replaces the logging configuration with {@code settings}. */
    public static void apply(LogSettings settings) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        addConsole(context, settings.json());
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.WARN);
        context.getLogger("org.carobdoor").setLevel(Level.toLevel(settings.level()));
    }

    /** Adds an appender that writes to standard output. */
    static void addConsole(LoggerContext context, boolean json) {
        Encoder<ILoggingEvent> encoder = encoder(context, json);
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setName(CONSOLE);
        appender.setEncoder(encoder);
        appender.start();
        context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME).addAppender(appender);
    }

    private static Encoder<ILoggingEvent> encoder(LoggerContext context, boolean json) {
        if (json) {
            JsonEncoder encoder = new JsonEncoder();
            encoder.setContext(context);
            encoder.setWithFormattedMessage(true);
            encoder.setWithMessage(false);
            encoder.setWithArguments(false);
            encoder.start();
            return encoder;
        }
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern(PATTERN);
        encoder.start();
        return encoder;
    }
}
