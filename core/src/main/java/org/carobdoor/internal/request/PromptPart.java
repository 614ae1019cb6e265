package org.carobdoor.internal.request;

/**
 * A part of a prompt. Requests with the same leading parts share their cached tokens.
 *
 * @param id identifies the text of the part
 * @param tokens the number of tokens of the part
 */
public record PromptPart(long id, int tokens) {}
