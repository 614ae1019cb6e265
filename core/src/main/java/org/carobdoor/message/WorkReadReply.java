package org.carobdoor.message;

/**
 * Answers a {@link WorkRead}.
 *
 * @param known whether the replying node has the request
 * @param epoch highest known epoch
 * @param offset the requested offset
 * @param tokens the number of tokens in {@code text}
 * @param text the acknowledged text from the offset
 * @param state {@code "running"}, {@code "done"} or {@code "failed"}
 */
public record WorkReadReply(
        boolean known, int epoch, int offset, int tokens, String text, String state)
        implements WorkMessage {}
