package org.carobdoor.internal.request;

/**
 * A part of a prompt. Requests with the same leading parts share their cached tokens.
 *
 * @param id identifies the part's text
 * @param tokens its length
 */
public record PromptPart(long id, int tokens) {}
