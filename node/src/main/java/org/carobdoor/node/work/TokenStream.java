package org.carobdoor.node.work;

/** An open token stream. */
@FunctionalInterface
public interface TokenStream extends AutoCloseable {

    /** Cancels the stream; has no effect on one that has ended. */
    @Override
    void close();
}
