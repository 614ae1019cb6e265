package org.carobdoor.node.logging;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ConfiguratorRank;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Configures logging until the settings file is read and {@link LogSetup} replaces the
 * configuration: warnings go to standard output.
 *
 * <p>Logback finds this class as a service. Without it, logback would load its XML parser, which
 * takes more processor time than the rest of the logging setup.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
public final class InitialLogging extends ContextAwareBase implements Configurator {

    /** Creates an instance; called by logback. */
    public InitialLogging() {}

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        LogSetup.addConsole(context, false);
        context.getLogger(Logger.ROOT_LOGGER_NAME).setLevel(Level.WARN);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }
}
