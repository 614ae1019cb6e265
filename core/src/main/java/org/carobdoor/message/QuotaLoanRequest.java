package org.carobdoor.message;

/**
 * Asks the lender of an availability zone to grant a request for which the sender's own part of the
 * quota is too small. The answer is a {@link QuotaLoanReply}.
 *
 * @param number identifies the request at its sender
 * @param account the client account
 * @param units the units of the request
 */
public record QuotaLoanRequest(long number, String account, double units) implements NodeMessage {}
