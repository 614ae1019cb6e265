package org.carobdoor.internal.claims;

import java.util.Optional;
import org.carobdoor.message.ClaimReply;

/**
 * The effect of a message on the record of its key.
 *
 * @param change the new record, if the message changes it
 * @param reply the reply, valid once the change and the record that it depends on are written
 */
record Decision(Optional<ClaimRecord> change, ClaimReply reply) {}
