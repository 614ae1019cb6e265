package org.carobdoor.internal.claims;

import java.util.Optional;
import org.carobdoor.message.ClaimReply;

/**
 * What a message does to the record of its key.
 *
 * @param change the new record, if it changes
 * @param reply the reply, valid once the change and the record it rests on are written
 */
record Decision(Optional<ClaimRecord> change, ClaimReply reply) {}
