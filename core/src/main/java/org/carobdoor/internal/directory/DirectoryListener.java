package org.carobdoor.internal.directory;

/** Is told of changes of the directory, on the thread that made them. */
public interface DirectoryListener {

    /** An endpoint is new, or has started again under the identifier that it had. */
    void started(EndpointEntry entry);

    /** What an endpoint says of itself has changed. */
    void changed(EndpointEntry before, EndpointEntry after);

    /** An endpoint is gone from the directory. */
    void removed(EndpointEntry last);
}
