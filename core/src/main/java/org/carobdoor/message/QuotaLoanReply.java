package org.carobdoor.message;

/**
 * Answers a {@link QuotaLoanRequest}.
 *
 * @param number the number of the request
 * @param granted whether all its units were granted; they count as granted by the lender
 */
public record QuotaLoanReply(long number, boolean granted) implements NodeMessage {}
