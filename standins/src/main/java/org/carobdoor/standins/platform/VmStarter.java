package org.carobdoor.standins.platform;

/** Starts the process of an ordered VM, for example an engine stand-in. */
@FunctionalInterface
public interface VmStarter {

    /** Starts the process and returns its IP address and port, separated by a colon. */
    String start(CloudVm vm);
}
