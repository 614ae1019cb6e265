package org.carobdoor.message;

/**
 * Answers a {@link WorkRead}.
 *
 * @param known whether the receiver holds the request
 * @param epoch the highest epoch known
 * @param offset the offset asked for
 * @param tokens the number of tokens in {@code text}
 * @param text the text from the offset on, as far as acknowledged
 * @param state {@code "running"}, {@code "done"} or {@code "failed"}
 */
public record WorkReadReply(
        boolean known, int epoch, int offset, int tokens, String text, String state)
        implements WorkMessage {}
