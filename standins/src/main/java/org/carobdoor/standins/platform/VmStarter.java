package org.carobdoor.standins.platform;

/** Starts the process of a VM that was ordered, for example an engine stand-in. */
@FunctionalInterface
public interface VmStarter {

    /** Starts the process and returns its IP address and port. */
    String start(CloudVm vm);
}
