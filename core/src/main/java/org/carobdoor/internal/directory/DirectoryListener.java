package org.carobdoor.internal.directory;

/** Receives the changes of an {@link EndpointDirectory}, on the thread that makes them. */
public interface DirectoryListener {

    /** An endpoint was added, or was restarted with the same identifier. */
    void started(EndpointEntry entry, EndpointNews news);

    /** The entry of an endpoint has changed. */
    void changed(EndpointEntry before, EndpointEntry after, EndpointNews news);

    /** An endpoint was removed from the directory. */
    void removed(EndpointEntry last, EndpointNews news);
}
